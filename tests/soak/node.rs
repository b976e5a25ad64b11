//! A node process and its proxied connection to the store.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;

use cassialock::standin::proxy;
use cassialock::web::pool::Connection;
use http::Request;
use http_body_util::Full;
use tokio::time::Instant;

/// Maximum time for a node to start.
pub const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between SIGTERM and SIGKILL.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Time spans in which a component was disrupted; a span may end in the future.
#[derive(Debug, Default)]
pub struct Disruptions(Mutex<Vec<(Instant, Instant)>>);

impl Disruptions {
    /// Records a disruption that starts now and lasts for `duration`.
    pub fn add(&self, duration: Duration) {
        let now = Instant::now();
        self.0.lock().unwrap().push((now, now + duration));
    }

    /// Returns whether no disruption overlaps the time from `from` to `to`.
    pub fn is_undisturbed(&self, from: Instant, to: Instant) -> bool {
        let disruptions = self.0.lock().unwrap();
        !disruptions
            .iter()
            .any(|(start, end)| *start <= to && from <= *end)
    }
}

/// A node process and its proxied connection to the store.
pub struct Node {
    /// Address that callers connect to.
    pub front: SocketAddr,
    /// Disruptions other than graceful restarts.
    pub unplanned: Disruptions,
    /// Graceful restarts.
    pub planned: Disruptions,
    settings: PathBuf,
    output: PathBuf,
    child: Mutex<Option<Child>>,
    link: proxy::ProxyHandle,
    link_faults: Mutex<proxy::Faults>,
}

impl Node {
    pub async fn prepare(seed: u64, index: usize, ip: &str, store: SocketAddr) -> Self {
        let (listen, store) = (format!("{ip}:0"), store.to_string());
        let link = proxy::start(&listen, &listen, &store).await.unwrap();
        let name = format!("soak-{seed}-{}", std::process::id());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).unwrap();
        let settings = dir.join(format!("node-{index}.toml"));
        let front = format!("{ip}:8221").parse().unwrap();
        let text = format!(
            "node = \"edge-{index}\"\nrole = \"entry\"\nip = \"{ip}\"\nzone = \"a\"\n\
             port_range = [7600, 7615]\n[listen]\nfront = \"{front}\"\n\
             ready = \"{ip}:8224\"\ndirectory = \"{ip}:8220\"\n\
             [bounds]\ngrace_period_s = 8\nrevoke_ms = 5000\nfail_closed = true\n\
             lease_ms = 3000\nwindow_s = 2\nbudget_slack = 50\n\
             [platform]\naddress = \"{link}\"\n[cloud]\naddress = \"{link}\"\n",
            link = link.proxy.address,
        );
        std::fs::write(&settings, text).unwrap();
        Self {
            front,
            unplanned: Disruptions::default(),
            planned: Disruptions::default(),
            settings,
            output: dir.join(format!("node-{index}.log")),
            child: Mutex::new(None),
            link,
            link_faults: Mutex::default(),
        }
    }

    /// Starts the process unless it is already running, because faults of a node can
    /// overlap.
    pub fn spawn(&self) {
        // The lock is held until the new process is stored, so that only one starts.
        let mut running = self.child.lock().unwrap();
        if is_running(running.as_mut()) {
            return;
        }
        let output = File::options().create(true).append(true).open(&self.output);
        let output = output.unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_cassialockd"))
            .env("CASSIALOCK_CONFIG", &self.settings)
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .stdin(Stdio::null())
            .spawn();
        *running = Some(child.unwrap());
    }

    pub async fn wait_started(&self) {
        let started = Instant::now();
        while Connection::open(self.front, START_TIMEOUT).await.is_err() {
            assert!(
                started.elapsed() < START_TIMEOUT,
                "node {} did not start",
                self.front
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends the signal with this name if the process is running.
    pub fn signal(&self, name: &str) {
        let mut child = self.child.lock().unwrap();
        let Some(child) = child.as_mut() else { return };
        // The id of an exited process is not reused until the process is waited for.
        if child.try_wait().unwrap().is_none() {
            let pid = child.id().to_string();
            let status = Command::new("kill")
                .args([&format!("-{name}"), &pid])
                .status();
            assert!(status.unwrap().success());
        }
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            // An error means that the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn process_id(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    pub fn is_running(&self) -> bool {
        is_running(self.child.lock().unwrap().as_mut())
    }

    pub async fn set_link_faults(&self, change: impl FnOnce(&mut proxy::Faults)) {
        let body = {
            let mut faults = self.link_faults.lock().unwrap();
            change(&mut faults);
            serde_json::to_vec(&*faults).unwrap()
        };
        let control = self.link.control.address;
        let mut connection = Connection::open(control, START_TIMEOUT).await.unwrap();
        let request = Request::post("/control").header("host", "control");
        let request = request.body(Full::new(body.into())).unwrap();
        connection.send(request).await.unwrap();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn is_running(child: Option<&mut Child>) -> bool {
    child.is_some_and(|child| child.try_wait().unwrap().is_none())
}

impl Node {
    /// Shuts the process down gracefully, waits for it to exit and starts it again.
    pub async fn restart(&self) {
        self.planned.add(Duration::from_secs(9));
        let old_process = self.process_id();
        self.signal("TERM");
        let started = Instant::now();
        while self.is_running()
            && started.elapsed() < GRACE_PERIOD
            && self.process_id() == old_process
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // Another fault may have restarted the node in the meantime.
        if self.process_id() == old_process {
            self.kill();
        }
        self.spawn();
    }

    pub async fn disrupt_link(&self, mode: u8, duration: Duration) {
        self.unplanned.add(duration);
        self.set_link_faults(|faults| match mode {
            0 => faults.delay_ms = 300,
            1 => faults.refuse = true,
            2 => faults.silence += 1,
            3 => faults.drop_replies = true,
            _ => faults.cut += 1,
        })
        .await;
        if mode == 1 {
            self.set_link_faults(|faults| faults.cut += 1).await;
        }
        tokio::time::sleep(duration).await;
        self.set_link_faults(|faults| match mode {
            0 => faults.delay_ms = 0,
            1 => faults.refuse = false,
            3 => faults.drop_replies = false,
            _ => {}
        })
        .await;
    }
}
