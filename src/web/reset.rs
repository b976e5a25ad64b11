//! Ends a connection without delivering what is still queued for its peer.
//!
//! Little is queued for the peer of such a connection, since its own system may already have
//! received what is queued, and lets it read that after the end.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Response;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::web::Body;

/// Maximum number of unsent bytes that the operating system queues of a response that may be
/// reset.
const MAX_UNSENT_BYTES: u32 = 64 * 1024;

/// Value by which the operating system uses its own maximum.
const DEFAULT_UNSENT_BYTES: u32 = 0;

/// Resets the connection of one response.
///
/// It is attached to the response as an extension. Once the response has been sent, it has no
/// effect on the connection.
#[derive(Clone, Debug, Default)]
pub struct Reset(Arc<Notify>);

impl Reset {
    /// Creates a reset that has not been triggered.
    pub fn new() -> Self {
        Self::default()
    }

    /// Resets the connection, whatever its peer has read.
    pub fn trigger(&self) {
        self.0.notify_one();
    }

    /// Waits until the connection is to be reset.
    pub async fn triggered(&self) {
        self.0.notified().await;
    }
}

/// The reset of the response that a connection sends at the moment.
#[derive(Clone, Debug, Default)]
pub(super) struct CurrentReset(Arc<State>);

#[derive(Debug, Default)]
struct State {
    reset: watch::Sender<Reset>,
    /// Whether the response may be reset.
    is_resettable: AtomicBool,
    /// Whether the queue of the connection is limited.
    is_limited: AtomicBool,
    /// Whether the connection is reset when it is closed.
    is_triggered: AtomicBool,
}

impl CurrentReset {
    /// Creates the state of a connection that sends no response.
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Records that `response` is sent next.
    pub(super) fn begin(&self, response: &mut Response<Body>) {
        let reset = response.extensions_mut().remove::<Reset>();
        let is_resettable = reset.is_some();
        self.0.is_resettable.store(is_resettable, Ordering::Relaxed);
        self.0.reset.send_replace(reset.unwrap_or_default());
    }

    /// Limits what is queued on the connection as the current response requires.
    pub(super) fn limit_queue(&self, stream: &TcpStream) {
        let is_limited = self.0.is_resettable.load(Ordering::Relaxed);
        if self.0.is_limited.swap(is_limited, Ordering::Relaxed) == is_limited {
            return;
        }
        let bytes = if is_limited {
            MAX_UNSENT_BYTES
        } else {
            DEFAULT_UNSENT_BYTES
        };
        // Without the option, a slow peer may get the end later.
        let _ = socket2::SockRef::from(stream).set_tcp_notsent_lowat(bytes);
    }

    /// Waits until the reset of the response that is being sent is triggered.
    pub(super) async fn triggered(&self) {
        let mut resets = self.0.reset.subscribe();
        loop {
            let reset = resets.borrow_and_update().clone();
            tokio::select! {
                () = reset.triggered() => break,
                // The sender lives as long as this state.
                _ = resets.changed() => {}
            }
        }
        self.0.is_triggered.store(true, Ordering::Relaxed);
    }

    /// Prepares a connection that is about to be closed.
    pub(super) fn apply(&self, stream: &TcpStream) {
        if self.0.is_triggered.load(Ordering::Relaxed) {
            // If this fails, the peer gets what is queued.
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}
