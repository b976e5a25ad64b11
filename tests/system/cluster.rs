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
use cassialock::node::operator_api::StatusAnswer;
use cassialock::standin::proxy;
use cassialock::web::client::Client;
use serde_json::Value;
use serde_json::json;

/// Timeout for a status to be reached.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A child process that is killed when dropped.
pub struct Process {
    child: Child,
    /// Address that the process printed after `listening`.
    pub address: String,
    /// Second address that the process printed: the control address of a stand-in
    /// or the peer address of a node. Empty if there is none.
    pub second_address: String,
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
        let mut second_address = String::new();
        let address = loop {
            let line = lines.next().unwrap().unwrap();
            let words: Vec<&str> = line.split(' ').collect();
            match words[0] {
                "listening" => {
                    if let Some(peers) = words.get(3) {
                        second_address = (*peers).to_string();
                    }
                    break words[1].to_string();
                }
                "control" => second_address = words[1].to_string(),
                _ => panic!("unexpected line: {line}"),
            }
        };
        Self {
            child,
            address,
            second_address,
        }
    }

    /// Sends the signal with this name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(status.unwrap().success());
    }

    /// Waits for the process to exit and returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The kill fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A backend server behind a fault-injecting proxy.
pub struct Backend {
    /// Process of the server.
    pub server: Process,
    /// Proxy in front of the server.
    pub proxy: Process,
}

/// A cluster with a platform, nodes and backend servers.
pub struct Cluster {
    /// HTTP client for the test.
    pub client: Client,
    /// Stand-in for the platform.
    pub platform: Process,
    /// Proxy between the nodes and the platform.
    pub platform_proxy: Process,
    /// The nodes.
    pub nodes: Vec<Process>,
    /// LLM servers.
    pub engines: Vec<Backend>,
    /// Plain HTTP servers.
    pub plain_servers: Vec<Backend>,
}

fn standin(args: &[&str]) -> Process {
    Process::start(env!("CARGO_BIN_EXE_cassialock-standin"), args)
}

const DOMAINS: [&str; 3] = ["seoul-a", "seoul-b", "seoul-c"];

impl Cluster {
    /// Starts a cluster with three nodes and waits until all of them serve.
    pub async fn start(engines: usize, plain_servers: usize) -> Self {
        let platform = standin(&["platform"]);
        let platform_proxy = standin(&["proxy", "--target", &platform.address]);
        let mut cluster = Self {
            client: Client::new(),
            platform,
            platform_proxy,
            nodes: Vec::new(),
            engines: Vec::new(),
            plain_servers: Vec::new(),
        };
        for index in 0..engines {
            let backend = cluster.backend("engine", "cassia-pool", index).await;
            cluster.engines.push(backend);
        }
        for index in 0..plain_servers {
            let backend = cluster.backend("service", "label-portal", index).await;
            cluster.plain_servers.push(backend);
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
        let backends = engines + plain_servers;
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

    async fn backend(&self, kind: &str, service: &str, index: usize) -> Backend {
        let server = standin(&[kind]);
        let proxy = standin(&["proxy", "--target", &server.address]);
        let id = format!("{service}-{index}");
        self.register_vm(&id, service, &proxy.address, index).await;
        Backend { server, proxy }
    }

    async fn register_vm(&self, id: &str, service: &str, address: &str, index: usize) {
        let vm = Vm {
            id: id.into(),
            service: service.into(),
            version: "v1".into(),
            address: address.into(),
            domain: DOMAINS[index % 3].into(),
            class: Class::Reclaimable,
            leaving: false,
        };
        self.post(&self.platform.address, "/vms", &vm).await;
    }

    /// Starts another node.
    pub async fn add_node(&mut self) {
        let index = self.nodes.len();
        let id = format!("entry-{index}");
        let any = "127.0.0.1:0";
        let args = [
            "--id",
            &id,
            "--domain",
            DOMAINS[index % 3],
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
        self.register_vm(&id, "cassialock", &node.second_address, index)
            .await;
        self.nodes.push(node);
    }

    /// Posts JSON and asserts a status of success.
    pub async fn post<T: serde::Serialize>(&self, address: &str, path: &str, value: &T) {
        let (status, body) = caller::post_json(&self.client, address, path, value)
            .await
            .unwrap();
        assert!(status.is_success(), "{path}: {status} {body:?}");
    }

    /// Applies a configuration patch at the first node.
    pub async fn patch(&self, id: &str, base: u64, patch: Value) {
        let body = json!({"id": id, "base": base, "author": "test", "patch": patch});
        self.post(&self.nodes[0].address, "/v1/config", &body).await;
    }

    /// Sets the faults of a proxy.
    pub async fn set_proxy(&self, proxy: &Process, faults: &proxy::Faults) {
        self.post(&proxy.second_address, "/control", faults).await;
    }

    /// Returns the status reported by one node.
    pub async fn status(&self, index: usize) -> Option<StatusAnswer> {
        caller::get_json(&self.client, &self.nodes[index].address, "/v1/status").await
    }

    /// Waits until the status of every node satisfies `condition`.
    pub async fn wait_status(&self, condition: impl Fn(&StatusAnswer) -> bool) {
        let all = (0..self.nodes.len()).collect::<Vec<_>>();
        self.wait_status_of(&all, condition).await;
    }

    /// Waits until the status of the nodes `indices` satisfies `condition`.
    pub async fn wait_status_of(
        &self,
        indices: &[usize],
        condition: impl Fn(&StatusAnswer) -> bool,
    ) {
        let polling = async {
            for index in indices {
                while !self
                    .status(*index)
                    .await
                    .is_some_and(|status| condition(&status))
                {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, polling)
            .await
            .expect("timed out waiting for the status");
    }

    /// Creates a caller that tries node `index` first.
    pub fn caller(&self, index: usize) -> Caller {
        let mut entries: Vec<String> = self.nodes.iter().map(|n| n.address.clone()).collect();
        entries.rotate_left(index);
        Caller::new(self.client.clone(), entries, "printers")
    }
}
