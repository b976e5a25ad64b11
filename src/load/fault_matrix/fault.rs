//! The faults of the table.

use std::time::Duration;

use serde::Serialize;

use crate::core::Name;
use crate::error::Error;
use crate::load::deploy::Deployment;
use crate::standin::engine::faults::Faults;
use crate::standin::platform;
use crate::standin::proxy;
use crate::standin::service;

/// Notice given before a reclaim.
const NOTICE: Duration = Duration::from_millis(2_000);

/// Notice given to a process that dies before the time.
const SHORT_LIFE: Duration = Duration::from_millis(150);

/// Text that takes down the engine that reads it.
pub const CRASH_TEXT: &str = "unspeakable knot";

/// A fault of the brief.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// One backend server is reclaimed on notice.
    ReclaimServer,
    /// All backend servers of one failure domain are reclaimed on notice.
    ReclaimDomain,
    /// A backend server dies while it is being reclaimed.
    DieMidReclaim,
    /// A backend server goes down without notice.
    KillServer,
    /// The open connections to a backend server go silent for good.
    SilentConnections,
    /// A backend server keeps its streams open and sends nothing.
    FreezeServer,
    /// A backend server gives answers of other requests.
    CrossedAnswers,
    /// A backend server sends chunks twice.
    DoubledChunks,
    /// A backend server leaves chunks out.
    MissingChunks,
    /// A backend server cuts its streams.
    CutStreams,
    /// A backend server refuses requests.
    BusyServer,
    /// A backend server fails part of its requests.
    FailingServer,
    /// The plain servers lose replies after the call ran.
    LostAnswers,
    /// The object store is down.
    StoreDown,
    /// The object store is slow.
    StoreSlow,
    /// The object store loses replies after writes took effect.
    StoreLosesReplies,
    /// The object store answers reads with old versions.
    StoreStale,
    /// A node stops on plan.
    DrainNode,
    /// A node goes down without notice.
    KillNode,
    /// A request takes down every backend server that runs it.
    CrashingRequest,
}

/// All faults.
pub const ALL: [Fault; 20] = [
    Fault::ReclaimServer,
    Fault::ReclaimDomain,
    Fault::DieMidReclaim,
    Fault::KillServer,
    Fault::SilentConnections,
    Fault::FreezeServer,
    Fault::CrossedAnswers,
    Fault::DoubledChunks,
    Fault::MissingChunks,
    Fault::CutStreams,
    Fault::BusyServer,
    Fault::FailingServer,
    Fault::LostAnswers,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::StoreLosesReplies,
    Fault::StoreStale,
    Fault::DrainNode,
    Fault::KillNode,
    Fault::CrashingRequest,
];

impl Fault {
    /// Returns whether requests that a node accepted can end without an answer.
    pub fn kills_node(self) -> bool {
        self == Fault::KillNode
    }

    /// Brings the fault about and returns the servers that were given notice.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in did not take the order.
    pub async fn inject(self, deployment: &mut Deployment) -> Result<Vec<Name>, Error> {
        let model = deployment.spec.model;
        let servers = deployment.server_ids(model, "v1");
        let Some(first) = servers.first().cloned() else {
            return Ok(Vec::new());
        };
        match self {
            Fault::ReclaimServer => {
                deployment.give_notice(&first, NOTICE).await?;
                return Ok(vec![first]);
            }
            Fault::ReclaimDomain => return reclaim_domain(deployment, &servers).await,
            Fault::DieMidReclaim => {
                deployment.give_notice(&first, NOTICE).await?;
                tokio::time::sleep(SHORT_LIFE).await;
                deployment.kill_backend(&first).await;
            }
            Fault::KillServer => deployment.kill_backend(&first).await,
            Fault::SilentConnections => {
                let faults = proxy::Faults {
                    silence: 1,
                    ..proxy::Faults::default()
                };
                deployment.set_proxy_faults(&first, &faults).await?;
            }
            Fault::DrainNode => deployment.drain_node(0, Duration::from_secs(5)).await,
            Fault::KillNode => {
                let last = deployment.nodes.len() - 1;
                deployment.kill_node(last);
            }
            Fault::CrashingRequest => {
                let faults = Faults {
                    crash_on: CRASH_TEXT.into(),
                    ..Faults::default()
                };
                for server in &servers {
                    deployment.set_backend_faults(server, &faults).await?;
                }
            }
            Fault::LostAnswers => set_portals(deployment, 3).await?,
            _ => self.set_engine_or_store(deployment, &first).await?,
        }
        Ok(Vec::new())
    }

    async fn set_engine_or_store(self, deployment: &Deployment, id: &str) -> Result<(), Error> {
        if let Some(faults) = self.engine_faults() {
            return deployment.set_backend_faults(id, &faults).await;
        }
        match self.store_faults() {
            Some(faults) => deployment.post_platform("/control", &faults).await,
            None => Ok(()),
        }
    }

    fn engine_faults(self) -> Option<Faults> {
        let good = Faults::default();
        Some(match self {
            Fault::FreezeServer => Faults {
                freeze: true,
                ..good
            },
            Fault::CrossedAnswers => Faults {
                crossed: true,
                ..good
            },
            Fault::DoubledChunks => Faults {
                doubled: true,
                ..good
            },
            Fault::MissingChunks => Faults {
                skipped: true,
                ..good
            },
            Fault::CutStreams => Faults {
                cut_after: 5,
                ..good
            },
            Fault::BusyServer => Faults { busy: true, ..good },
            Fault::FailingServer => Faults {
                fail_percent: 50,
                ..good
            },
            _ => return None,
        })
    }

    fn store_faults(self) -> Option<platform::Faults> {
        let good = platform::Faults::default();
        Some(match self {
            Fault::StoreDown => platform::Faults { down: true, ..good },
            Fault::StoreSlow => platform::Faults {
                slow_ms: 800,
                ..good
            },
            Fault::StoreLosesReplies => platform::Faults {
                lose_every: 2,
                ..good
            },
            Fault::StoreStale => platform::Faults {
                stale: true,
                ..good
            },
            _ => return None,
        })
    }

    /// Ends the fault, so that what was held back can get through.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in did not take the order.
    pub async fn clear(self, deployment: &Deployment) -> Result<(), Error> {
        if self.store_faults().is_some() {
            let good = platform::Faults::default();
            deployment.post_platform("/control", &good).await?;
        }
        if self == Fault::LostAnswers {
            set_portals(deployment, 0).await?;
        }
        Ok(())
    }
}

async fn set_portals(deployment: &Deployment, lose_every: u64) -> Result<(), Error> {
    let faults = service::Faults {
        lose_every,
        ..service::Faults::default()
    };
    for portal in deployment.server_ids(deployment.spec.portal, "v1") {
        deployment.set_backend_faults(&portal, &faults).await?;
    }
    Ok(())
}

async fn reclaim_domain(deployment: &Deployment, servers: &[Name]) -> Result<Vec<Name>, Error> {
    let domain = deployment.spec.domains[0];
    let mut leaving = Vec::new();
    for backend in &deployment.backends {
        if *backend.vm.domain == *domain && servers.contains(&backend.vm.id) {
            deployment.give_notice(&backend.vm.id, NOTICE).await?;
            leaving.push(backend.vm.id.clone());
        }
    }
    Ok(leaving)
}
