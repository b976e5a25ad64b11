//! Faults of the matrix.

use std::time::Duration;

use serde::Serialize;

use crate::core::Name;
use crate::error::Error;
use crate::load::deploy::Deployment;
use crate::standin::engine::faults::Faults;
use crate::standin::platform;
use crate::standin::proxy;
use crate::standin::service;

/// Notice period of a reclaimed server.
const NOTICE: Duration = Duration::from_millis(2_000);

/// Time after which a server that dies during its notice period is killed.
const EARLY_DEATH_DELAY: Duration = Duration::from_millis(150);

/// Prompt text that crashes an engine while `Fault::CrashingRequest` is injected.
pub const CRASH_TEXT: &str = "unspeakable knot";

/// A fault that can be injected into a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// One backend server is reclaimed with notice.
    ReclaimServer,
    /// All backend servers of one failure domain are reclaimed with notice.
    ReclaimDomain,
    /// A backend server dies during its notice period.
    DieMidReclaim,
    /// A backend server is killed without notice.
    KillServer,
    /// Open connections to a backend server stop carrying data without being closed.
    SilentConnections,
    /// A backend server keeps its streams open and sends nothing.
    FreezeServer,
    /// A backend server returns responses to other requests.
    CrossedAnswers,
    /// A backend server sends chunks twice.
    DoubledChunks,
    /// A backend server omits chunks.
    MissingChunks,
    /// A backend server closes its streams early.
    CutStreams,
    /// A backend server refuses requests.
    BusyServer,
    /// A backend server fails half of its requests.
    FailingServer,
    /// The plain servers lose responses after running the call.
    LostAnswers,
    /// The object store is down.
    StoreDown,
    /// The object store is slow.
    StoreSlow,
    /// The object store loses responses after applying writes.
    StoreLosesReplies,
    /// The object store returns stale versions.
    StoreStale,
    /// A node is drained and stopped.
    DrainNode,
    /// A node is killed without notice.
    KillNode,
    /// A request crashes every backend server that runs it.
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
    /// Returns whether the fault kills a node, so that accepted requests can be refused.
    pub fn kills_node(self) -> bool {
        self == Fault::KillNode
    }

    /// Injects the fault and returns the servers under notice that keep running.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in does not accept the fault.
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
                tokio::time::sleep(EARLY_DEATH_DELAY).await;
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
            Fault::LostAnswers => set_lost_replies(deployment, 3).await?,
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
        let healthy = Faults::default();
        Some(match self {
            Fault::FreezeServer => Faults {
                freeze: true,
                ..healthy
            },
            Fault::CrossedAnswers => Faults {
                crossed: true,
                ..healthy
            },
            Fault::DoubledChunks => Faults {
                doubled: true,
                ..healthy
            },
            Fault::MissingChunks => Faults {
                skipped: true,
                ..healthy
            },
            Fault::CutStreams => Faults {
                cut_after: 5,
                ..healthy
            },
            Fault::BusyServer => Faults {
                busy: true,
                ..healthy
            },
            Fault::FailingServer => Faults {
                fail_percent: 50,
                ..healthy
            },
            _ => return None,
        })
    }

    fn store_faults(self) -> Option<platform::Faults> {
        let healthy = platform::Faults::default();
        Some(match self {
            Fault::StoreDown => platform::Faults {
                down: true,
                ..healthy
            },
            Fault::StoreSlow => platform::Faults {
                slow_ms: 800,
                ..healthy
            },
            Fault::StoreLosesReplies => platform::Faults {
                lose_every: 2,
                ..healthy
            },
            Fault::StoreStale => platform::Faults {
                stale: true,
                ..healthy
            },
            _ => return None,
        })
    }

    /// Clears faults of the store and of the plain servers, so that pending operations
    /// complete.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in does not accept the fault.
    pub async fn clear(self, deployment: &Deployment) -> Result<(), Error> {
        if self.store_faults().is_some() {
            let healthy = platform::Faults::default();
            deployment.post_platform("/control", &healthy).await?;
        }
        if self == Fault::LostAnswers {
            set_lost_replies(deployment, 0).await?;
        }
        Ok(())
    }
}

async fn set_lost_replies(deployment: &Deployment, lose_every: u64) -> Result<(), Error> {
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
    let mut notified = Vec::new();
    for backend in &deployment.backends {
        if *backend.vm.domain == *domain && servers.contains(&backend.vm.id) {
            deployment.give_notice(&backend.vm.id, NOTICE).await?;
            notified.push(backend.vm.id.clone());
        }
    }
    Ok(notified)
}
