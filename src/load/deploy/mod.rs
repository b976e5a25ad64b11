//! Test deployment in one process: stand-ins and nodes on loopback ports.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use log::LevelFilter;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use crate::clock::Clock;
use crate::core::Name;
use crate::core::config::patch::Patch;
use crate::core::route::servers::Class;
use crate::core::route::servers::Vm;
use crate::error::Error;
use crate::load::caller;
use crate::load::caller::Caller;
use crate::node;
use crate::node::logging::Format;
use crate::node::operator_api::PatchAnswer;
use crate::node::operator_api::StatusAnswer;
use crate::node::settings::Settings;
use crate::standin::Standin;
use crate::standin::cloud::NoticeRequest;
use crate::standin::engine;
use crate::standin::engine::faults::Faults;
use crate::standin::platform;
use crate::standin::proxy;
use crate::standin::service;
use crate::web::client::Client;

pub mod spec;

pub use spec::DeploymentSpec;

/// Timeout for a deployment or a configuration to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which the state of a deployment is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Service name of nodes in the list of VMs.
const NODE_SERVICE: &str = "cassialock";

/// A backend server of a deployment.
pub struct Backend {
    /// Entry in the platform's list of VMs.
    pub vm: Vm,
    /// Address of the server itself, without its proxy.
    pub direct_address: SocketAddr,
    standin: Option<Standin>,
    proxy: proxy::ProxyHandle,
}

/// A running deployment.
pub struct Deployment {
    /// Specification that the deployment was started with.
    pub spec: DeploymentSpec,
    /// Address of the platform stand-in.
    pub platform: SocketAddr,
    /// Nodes, `None` if stopped.
    pub nodes: Vec<Option<node::Running>>,
    /// Backend servers, including those that were killed.
    pub backends: Vec<Backend>,
    /// HTTP client that is shared by all callers.
    pub client: Client,
    clock: Clock,
    patch_count: u64,
    _platform: Standin,
}

fn no_answer(target: &str) -> Error {
    Error::unavailable(target, "did not answer")
}

impl Deployment {
    /// Starts all parts, applies the configuration and waits until it is active.
    ///
    /// # Errors
    ///
    /// Returns an error if a part does not start or is not ready in time.
    pub async fn start(spec: DeploymentSpec) -> Result<Self, Error> {
        let platform = platform::start("127.0.0.1:0")
            .await
            .map_err(|e| Error::io("platform", &e))?;
        let mut deployment = Self {
            platform: platform.address,
            nodes: Vec::new(),
            backends: Vec::new(),
            client: Client::new(),
            clock: Clock::new(),
            patch_count: 0,
            _platform: platform,
            spec,
        };
        for _ in 0..deployment.spec.engines {
            deployment.start_engine("v1", Faults::default()).await?;
        }
        for _ in 0..deployment.spec.portals {
            deployment.start_portal("v1").await?;
        }
        for _ in 0..deployment.spec.nodes {
            deployment.start_node().await?;
        }
        let services = json!({"services": deployment.spec.services()});
        deployment.patch(services).await?;
        let workspaces = json!({"workspaces": deployment.spec.workspaces()});
        deployment.patch(workspaces).await?;
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// Starts another engine and registers it with the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start or cannot be registered.
    pub async fn start_engine(&mut self, version: &str, faults: Faults) -> Result<Name, Error> {
        let options = engine::Options {
            costs: self.spec.costs,
            faults,
            exits: false,
        };
        let standin = engine::start("127.0.0.1:0", options)
            .await
            .map_err(|e| Error::io("engine", &e))?;
        self.register(self.spec.model, version, standin).await
    }

    /// Starts another plain server and registers it with the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start or cannot be registered.
    pub async fn start_portal(&mut self, version: &str) -> Result<Name, Error> {
        let standin = service::start("127.0.0.1:0")
            .await
            .map_err(|e| Error::io("service", &e))?;
        self.register(self.spec.portal, version, standin).await
    }

    async fn register(
        &mut self,
        service: &str,
        version: &str,
        standin: Standin,
    ) -> Result<Name, Error> {
        let at = self.backends.len();
        let any = "127.0.0.1:0";
        let proxy = proxy::start(any, any, &standin.address.to_string())
            .await
            .map_err(|e| Error::io("proxy", &e))?;
        let domain = self.spec.domains[at % self.spec.domains.len()];
        let class = if at.is_multiple_of(3) {
            Class::OnDemand
        } else {
            Class::Reclaimable
        };
        let vm = Vm {
            id: format!("{service}-{at}").into(),
            service: service.into(),
            version: version.into(),
            address: proxy.proxy.address.to_string().into(),
            domain: domain.into(),
            class,
            leaving: false,
        };
        self.post_platform("/vms", &vm).await?;
        let id = vm.id.clone();
        self.backends.push(Backend {
            vm,
            direct_address: standin.address,
            standin: Some(standin),
            proxy,
        });
        Ok(id)
    }

    /// Starts another node and registers it with the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start or cannot be registered.
    pub async fn start_node(&mut self) -> Result<(), Error> {
        let at = self.nodes.len();
        let id: Name = format!("entry-{at}").into();
        let domain: Name = self.spec.domains[at % self.spec.domains.len()].into();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let seeds = self.nodes.iter().flatten().map(|n| n.peer_address);
        let settings = Settings {
            id: id.clone(),
            domain: domain.clone(),
            listen: any,
            peer_listen: any,
            platform: self.platform,
            seeds: seeds.collect(),
            node_service: NODE_SERVICE.into(),
            policy: self.spec.policy,
            drain: Duration::from_secs(10),
            log_format: Format::Text,
            hedge_percent: self.spec.hedge_percent,
            log_level: LevelFilter::Warn,
        };
        let running = node::start(settings).await?;
        let vm = Vm {
            id,
            service: NODE_SERVICE.into(),
            version: "v1".into(),
            address: running.peer_address.to_string().into(),
            domain,
            class: Class::Reclaimable,
            leaving: false,
        };
        self.post_platform("/vms", &vm).await?;
        self.nodes.push(Some(running));
        Ok(())
    }

    /// Posts JSON to the platform stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer or refuses the request.
    pub async fn post_platform<T: serde::Serialize>(
        &self,
        path: &str,
        value: &T,
    ) -> Result<(), Error> {
        let address = self.platform.to_string();
        let answer = caller::post_json(&self.client, &address, path, value).await;
        match answer {
            Some((status, _)) if status.is_success() => Ok(()),
            Some((status, _)) => Err(Error::refused("platform", status.to_string())),
            None => Err(no_answer("platform")),
        }
    }

    /// Sets the faults that a backend server injects.
    ///
    /// # Errors
    ///
    /// Returns an error if the server is unknown or does not accept them.
    pub async fn set_backend_faults<T: serde::Serialize>(
        &self,
        id: &str,
        faults: &T,
    ) -> Result<(), Error> {
        let address = self.backend_address(id).ok_or_else(|| no_answer(id))?;
        match caller::post_json(&self.client, &address, "/control", faults).await {
            Some((status, _)) if status.is_success() => Ok(()),
            _ => Err(no_answer(id)),
        }
    }

    /// Returns the address of a backend server, bypassing its proxy.
    pub fn backend_address(&self, id: &str) -> Option<String> {
        let backend = self.backends.iter().find(|b| *b.vm.id == *id)?;
        Some(backend.direct_address.to_string())
    }

    /// Sets the faults that the proxy of a backend server injects.
    ///
    /// # Errors
    ///
    /// Returns an error if the server is unknown or its proxy does not accept them.
    pub async fn set_proxy_faults(&self, id: &str, faults: &proxy::Faults) -> Result<(), Error> {
        let backend = self.backends.iter().find(|b| *b.vm.id == *id);
        let address = backend
            .map(|b| b.proxy.control.address.to_string())
            .ok_or_else(|| no_answer(id))?;
        match caller::post_json(&self.client, &address, "/control", faults).await {
            Some((status, _)) if status.is_success() => Ok(()),
            _ => Err(no_answer(id)),
        }
    }

    /// Returns the ids of the running backend servers of a service and version.
    pub fn server_ids(&self, service: &str, version: &str) -> Vec<Name> {
        self.backends
            .iter()
            .filter(|b| b.standin.is_some())
            .filter(|b| *b.vm.service == *service && *b.vm.version == *version)
            .map(|b| b.vm.id.clone())
            .collect()
    }

    /// Gives a backend server or node notice that its VM will be reclaimed after `left`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer or refuses the notice.
    pub async fn give_notice(&self, id: &str, left: Duration) -> Result<(), Error> {
        let request = NoticeRequest {
            vm: id.into(),
            until_ms: (self.clock.now() + left).as_millis(),
        };
        self.post_platform("/control/notices", &request).await
    }

    /// Kills a backend server without notice and removes it from the list of VMs.
    pub async fn kill_backend(&mut self, id: &str) {
        let faults = Faults {
            die: true,
            ..Faults::default()
        };
        // The request fails if the server has exited already.
        let _ = self.set_backend_faults(id, &faults).await;
        if let Some(backend) = self.backends.iter_mut().find(|b| *b.vm.id == *id)
            && let Some(standin) = backend.standin.take()
        {
            standin.kill();
        }
        let unreachable = proxy::Faults {
            refuse: true,
            cut: 1,
            ..proxy::Faults::default()
        };
        // The address of the VM is that of the proxy, so the proxy must refuse connections too.
        let _ = self.set_proxy_faults(id, &unreachable).await;
        let request = http::Request::delete(format!("http://{}/vms/{id}", self.platform))
            .body(http_body_util::Full::default());
        if let Ok(request) = request {
            let _ = self.client.send(request, true, READY_TIMEOUT).await;
        }
    }

    /// Drains and stops a node.
    pub async fn drain_node(&mut self, at: usize, limit: Duration) {
        if let Some(running) = self.nodes.get_mut(at).and_then(Option::take) {
            running.drain(limit).await;
        }
    }

    /// Stops a node abruptly, as in a crash.
    pub fn kill_node(&mut self, at: usize) {
        if let Some(running) = self.nodes.get_mut(at).and_then(Option::take) {
            running.kill();
        }
    }

    /// Returns the entry addresses of the running nodes.
    pub fn entries(&self) -> Vec<String> {
        self.nodes
            .iter()
            .flatten()
            .map(|node| node.address.to_string())
            .collect()
    }

    /// Creates a caller that sends its requests to the running node at index `at` first.
    pub fn caller(&self, workspace: &str, at: usize) -> Caller {
        let mut entries = self.entries();
        let count = entries.len().max(1);
        entries.rotate_left(at % count);
        Caller::new(self.client.clone(), entries, workspace)
    }

    /// Returns the status of the system as reported by its first running node.
    pub async fn status(&self) -> Option<StatusAnswer> {
        let address = self.entries().first()?.clone();
        caller::get_json(&self.client, &address, "/v1/status").await
    }

    /// Applies a merge patch to the active configuration and returns the new number.
    ///
    /// It returns once the new configuration is active at every running node.
    ///
    /// # Errors
    ///
    /// Returns an error if the patch is refused, not stored, or not active in time.
    pub async fn patch(&mut self, patch: Value) -> Result<u64, Error> {
        let address = self
            .entries()
            .first()
            .cloned()
            .ok_or_else(|| no_answer("node"))?;
        self.patch_count += 1;
        let number = self
            .nodes
            .iter()
            .flatten()
            .next()
            .map_or(0, |running| running.node.config.number());
        let patch = Patch {
            id: format!("deploy-{}", self.patch_count).into(),
            base: number,
            author: "operator".into(),
            patch,
        };
        let answer = caller::post_json(&self.client, &address, "/v1/config", &patch).await;
        let Some((status, body)) = answer else {
            return Err(no_answer("node"));
        };
        if status != StatusCode::OK {
            let text = String::from_utf8_lossy(&body).into_owned();
            return Err(Error::refused("config", text));
        }
        let answer: PatchAnswer =
            serde_json::from_slice(&body).map_err(|e| Error::refused("config", e.to_string()))?;
        self.wait_for_config(answer.number).await?;
        Ok(answer.number)
    }

    /// Waits until the configuration `number` or a newer one is active at every running node.
    ///
    /// # Errors
    ///
    /// Returns an error on timeout.
    pub async fn wait_for_config(&self, number: u64) -> Result<(), Error> {
        self.wait_for("configuration", |deployment| {
            let mut nodes = deployment.nodes.iter().flatten();
            nodes.all(|running| running.node.config.number() >= number)
        })
        .await
    }

    async fn wait_ready(&self) -> Result<(), Error> {
        let nodes = self.nodes.iter().flatten().count();
        let backends = self.backends.len();
        self.wait_for("deployment", |deployment| {
            deployment.nodes.iter().flatten().all(|running| {
                let sees_nodes = running.node.roster.lock().unwrap().live_members().len() == nodes;
                let sees_servers = running.node.servers.lock().unwrap().iter().count() >= backends;
                sees_nodes && sees_servers
            })
        })
        .await
    }

    /// Waits until `holds` returns true; `what` names the condition in the error.
    ///
    /// # Errors
    ///
    /// Returns an error on timeout.
    pub async fn wait_for(&self, what: &str, holds: impl Fn(&Self) -> bool) -> Result<(), Error> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !holds(self) {
            if Instant::now() > deadline {
                return Err(Error::timed_out(what, "was not ready in time"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the clock of the deployment.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Drains and stops all nodes.
    pub async fn stop(mut self) {
        for at in 0..self.nodes.len() {
            self.drain_node(at, Duration::from_secs(2)).await;
        }
    }
}
