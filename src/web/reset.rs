//! Ends a connection without delivering what is still queued for its peer.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Response;
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use tokio::net::TcpStream;

use crate::web::Body;

/// Whether a connection is to be reset when it is closed.
///
/// A peer that reads slowly would otherwise get what the operating system has queued long
/// after the end of a response that is over its time.
#[derive(Clone, Debug, Default)]
pub struct Reset(Arc<AtomicBool>);

impl Reset {
    /// Creates a state in which the connection is closed as usual.
    pub fn new() -> Self {
        Self::default()
    }

    /// Watches for a body that fails with [`io::ErrorKind::TimedOut`], upon which the
    /// connection is reset.
    pub fn watch(&self, response: Response<Body>) -> Response<Body> {
        // A body with a length is not passed on piece by piece until a deadline.
        if response.body().size_hint().exact().is_some() {
            return response;
        }
        let reset = self.clone();
        let note = move |e: io::Error| {
            if e.kind() == io::ErrorKind::TimedOut {
                reset.0.store(true, Ordering::Relaxed);
            }
            e
        };
        response.map(|body| body.map_err(note).boxed_unsync())
    }

    /// Prepares a connection that is about to be closed.
    pub fn apply(&self, stream: &TcpStream) {
        if self.0.load(Ordering::Relaxed) {
            // If this fails, the peer gets what is queued.
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}
