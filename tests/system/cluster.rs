//! A small cluster of real processes on loopback ports.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use cassialock::core::route::servers::Class;
use cassialock::core::route::servers::Vm;
use cassialock::load::caller;
use cassialock::load::caller::Caller;
use cassialock::node::operators::StatusAnswer;
use cassialock::standin::proxy;
use cassialock::web::client::Client;
use serde_json::Value;
use serde_json::json;

/// Longest wait for something to become true.
const PATIENCE: Duration = Duration::from_secs(30);

/// A process that ends with the test.
pub struct Process {
    child: Child,
    /// The address after `listening`.
    pub address: String,
    /// The other address that it printed, if any.
    pub other: String,
}

impl Process {
    fn start(program: &str, args: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut other = String::new();
        let address = loop {
            let line = lines.next().unwrap().unwrap();
            let words: Vec<&str> = line.split(' ').collect();
            match words[0] {
                "listening" => {
                    if let Some(peers) = words.get(3) {
                        other = (*peers).to_string();
                    }
                    break words[1].to_string();
                }
                "control" => other = words[1].to_string(),
                _ => panic!("unexpected line: {line}"),
            }
        };
        Self {
            child,
            address,
            other,
        }
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(status.unwrap().success());
    }

    /// Waits for the end and returns whether it was a success.
    pub fn wait(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended already need not be ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A backend server behind its proxy.
pub struct Backend {
    /// The server.
    pub server: Process,
    /// The proxy before it.
    pub proxy: Process,
}

/// A platform, nodes and backend servers.
pub struct Cluster {
    /// HTTP client.
    pub client: Client,
    /// The platform.
    pub platform: Process,
    /// The proxy between nodes and platform.
    pub platform_proxy: Process,
    /// The nodes.
    pub nodes: Vec<Process>,
    /// The engines.
    pub engines: Vec<Backend>,
    /// The plain servers.
    pub portals: Vec<Backend>,
}

fn standin(args: &[&str]) -> Process {
    Process::start(env!("CARGO_BIN_EXE_cassialock-standin"), args)
}

const DOMAINS: [&str; 3] = ["seoul-a", "seoul-b", "seoul-c"];

impl Cluster {
    /// Starts a cluster and waits until it serves.
    pub async fn start(engines: usize, portals: usize) -> Self {
        let platform = standin(&["platform"]);
        let platform_proxy = standin(&["proxy", "--target", &platform.address]);
        let mut cluster = Self {
            client: Client::new(),
            platform,
            platform_proxy,
            nodes: Vec::new(),
            engines: Vec::new(),
            portals: Vec::new(),
        };
        for at in 0..engines {
            let backend = cluster.backend("engine", "cassia-pool", at).await;
            cluster.engines.push(backend);
        }
        for at in 0..portals {
            let backend = cluster.backend("service", "label-portal", at).await;
            cluster.portals.push(backend);
        }
        for _ in 0..3 {
            cluster.add_node().await;
        }
        let services = json!({"services": {
            "cassia-pool": {"kind": "llm", "version": "v1", "slots": 8},
            "label-portal": {"kind": "plain", "version": "v1", "slots": 32, "routes": [
                {"method": "GET", "path": "/status", "repeatable": true},
                {"method": "POST", "path": "/approvals", "repeatable": false},
            ]},
        }, "workspaces": {"printers": {"weight": 1, "tokens_per_s": 1_000_000}}});
        cluster.patch("setup", 0, services).await;
        let backends = engines + portals;
        cluster
            .wait_status(|status| {
                status.number == 1
                    && status.servers.len() >= backends
                    && status
                        .nodes
                        .iter()
                        .filter(|n| n.live && n.number == Some(1))
                        .count()
                        == 3
            })
            .await;
        cluster
    }

    async fn backend(&self, kind: &str, service: &str, at: usize) -> Backend {
        let server = standin(&[kind]);
        let proxy = standin(&["proxy", "--target", &server.address]);
        let id = format!("{service}-{at}");
        self.list(&id, service, &proxy.address, at).await;
        Backend { server, proxy }
    }

    async fn list(&self, id: &str, service: &str, address: &str, at: usize) {
        let vm = Vm {
            id: id.into(),
            service: service.into(),
            version: "v1".into(),
            address: address.into(),
            domain: DOMAINS[at % 3].into(),
            class: Class::Reclaimable,
            leaving: false,
        };
        self.post(&self.platform.address, "/vms", &vm).await;
    }

    /// Starts one more node.
    pub async fn add_node(&mut self) {
        let at = self.nodes.len();
        let id = format!("entry-{at}");
        let any = "127.0.0.1:0";
        let args = [
            "--id",
            &id,
            "--domain",
            DOMAINS[at % 3],
            "--listen",
            any,
            "--peer-listen",
            any,
            "--platform",
            &self.platform_proxy.address,
            "--drain-s",
            "10",
            "--log-level",
            "error",
        ];
        let node = Process::start(env!("CARGO_BIN_EXE_cassialockd"), &args);
        self.list(&id, "cassialock", &node.other, at).await;
        self.nodes.push(node);
    }

    /// Posts JSON and requires success.
    pub async fn post<T: serde::Serialize>(&self, address: &str, path: &str, value: &T) {
        let (status, body) = caller::post_json(&self.client, address, path, value)
            .await
            .unwrap();
        assert!(status.is_success(), "{path}: {status} {body:?}");
    }

    /// Applies a patch at the first node that takes it.
    pub async fn patch(&self, id: &str, base: u64, patch: Value) {
        let body = json!({"id": id, "base": base, "author": "test", "patch": patch});
        self.post(&self.nodes[0].address, "/v1/config", &body).await;
    }

    /// Sets the faults of a proxy.
    pub async fn set_proxy(&self, proxy: &Process, faults: &proxy::Faults) {
        self.post(&proxy.other, "/control", faults).await;
    }

    /// Returns how the system stands at one node.
    pub async fn status(&self, at: usize) -> Option<StatusAnswer> {
        caller::get_json(&self.client, &self.nodes[at].address, "/v1/status").await
    }

    /// Waits until the status of every node satisfies `holds`.
    pub async fn wait_status(&self, holds: impl Fn(&StatusAnswer) -> bool) {
        let all = (0..self.nodes.len()).collect::<Vec<_>>();
        self.wait_status_of(&all, holds).await;
    }

    /// Waits until the status of the nodes `of` satisfies `holds`.
    pub async fn wait_status_of(&self, of: &[usize], holds: impl Fn(&StatusAnswer) -> bool) {
        let waiting = async {
            for at in of {
                while !self.status(*at).await.is_some_and(|status| holds(&status)) {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        };
        tokio::time::timeout(PATIENCE, waiting)
            .await
            .expect("the status did not come about");
    }

    /// Creates a caller that begins at node `at`.
    pub fn caller(&self, at: usize) -> Caller {
        let mut entries: Vec<String> = self.nodes.iter().map(|n| n.address.clone()).collect();
        entries.rotate_left(at);
        Caller::new(self.client.clone(), entries, "printers")
    }
}
