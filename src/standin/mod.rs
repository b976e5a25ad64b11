//! Stand-ins (fake servers with fault injection) for the systems that cassialock
//! depends on.
//!
//! Each listens on its own loopback port, either inside the demo's process or in a
//! process started by `cassialock-standin`. Faults are set through an HTTP control
//! API.

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

/// A handle to a running stand-in.
#[derive(Debug)]
pub struct Standin {
    /// Address that the stand-in listens on.
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

    /// Shuts the stand-in down gracefully, waiting for open requests to finish.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        // Joining only fails if the task panicked, which the test of the stand-in reports.
        let _ = self.task.await;
    }

    /// Stops the stand-in immediately, without finishing open requests.
    pub fn kill(self) {
        self.task.abort();
    }

    /// Waits until the stand-in ends on its own.
    pub async fn join(self) {
        let _ = self.task.await;
    }
}

/// Binds a TCP listener to `address`, for example `127.0.0.1:0`.
async fn listen(address: &str) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
