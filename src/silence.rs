//! Silent servers: another one is looked for while the silent one may still go on.
//!
//! A sound server may pause, so silence alone never ends an answer. The silent server
//! keeps the request until another one has begun to answer it.

use std::future::Future;
use std::time::Duration;

/// Time for which a stream may be at two servers at once.
///
/// The protocol allows 400 ms, in which the cancellation must reach the server too.
pub const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Makes attempts at other servers.
pub trait Others: Send {
    /// An attempt at another server; dropping it cancels it.
    type Attempt: Send;

    /// Starts an attempt, as soon as there is a server and one is allowed.
    fn start(&mut self) -> impl Future<Output = Self::Attempt> + Send;

    /// Waits until an attempt has begun to answer, or returns false if it failed.
    fn begin(&mut self, attempt: &mut Self::Attempt) -> impl Future<Output = bool> + Send;

    /// Ends and records an attempt that failed.
    fn give_up(&mut self, attempt: Self::Attempt) -> impl Future<Output = ()> + Send;
}

/// How the silence of a server ended.
#[derive(Debug, Eq, PartialEq)]
pub enum Race<T, A> {
    /// The server sent something, or failed while no other server had the request.
    Resumed(T),
    /// The server failed with this result while another one, which has not begun to
    /// answer yet, had the request too.
    Failed(T, A),
    /// Another server has begun to answer.
    Replaced(A),
}

impl<T, A> Race<T, A> {
    /// Returns the label used in metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Race::Resumed(_) => "resumed",
            Race::Failed(..) => "failed",
            Race::Replaced(_) => "replaced",
        }
    }
}

/// Waits until a silent server or another one has a usable result.
///
/// `next` ends when the silent server sends something or fails; `is_usable` tells which
/// of both. A server that fails leaves the request to the other one.
pub async fn race<T, O: Others>(
    mut next: impl Future<Output = T> + Unpin,
    is_usable: impl Fn(&T) -> bool,
    others: &mut O,
) -> Race<T, O::Attempt> {
    loop {
        let mut attempt = tokio::select! {
            biased;
            result = &mut next => return Race::Resumed(result),
            attempt = others.start() => attempt,
        };
        let has_begun = tokio::select! {
            biased;
            result = &mut next => return if is_usable(&result) {
                Race::Resumed(result)
            } else {
                Race::Failed(result, attempt)
            },
            has_begun = others.begin(&mut attempt) => has_begun,
        };
        if has_begun {
            return Race::Replaced(attempt);
        }
        others.give_up(attempt).await;
    }
}
