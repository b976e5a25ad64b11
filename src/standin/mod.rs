//! Small stand-ins for the systems that cassialock works with.
//!
//! Each runs on a loopback port of its own, in the demo's process or as a
//! process started by `cassialock-standin`. Faults are switched on by HTTP
//! control calls.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub mod cloud;
pub mod engine;
pub mod generator;
pub mod platform;
pub mod proxy;
pub mod service;

/// A running stand-in.
#[derive(Debug)]
pub struct Standin {
    /// The address it listens on.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Standin {
    fn new(address: SocketAddr, stop: watch::Sender<bool>, task: JoinHandle<()>) -> Self {
        Self {
            address,
            stop,
            task,
        }
    }

    /// Stops the stand-in and waits for its open requests.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        // The task only fails if it panicked, which its own test reports.
        let _ = self.task.await;
    }

    /// Ends the stand-in without finishing anything.
    pub fn kill(self) {
        self.task.abort();
    }

    /// Waits until the stand-in ends by itself.
    pub async fn join(self) {
        let _ = self.task.await;
    }
}

/// Opens a listener on `address`, for instance `127.0.0.1:0`.
async fn listen(address: &str) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
