//! A stream that counts received bytes, limits those before the head of a response, and
//! knows whether a message is still being sent.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::web::pool;
use crate::web::reset::CurrentReset;

/// Maximum number of bytes received before the head of a response is complete.
///
/// The HTTP library limits one head, but not the interim responses before it.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time for which a caller may take nothing of a response that waits for it.
///
/// The operating system does not distinguish a caller that pauses from one that is gone.
const CALLER_PAUSE: Duration = Duration::from_secs(60);

/// Number of bytes that were received and that may still be received.
#[derive(Clone, Debug)]
pub struct Allowance(Arc<Counts>);

#[derive(Debug)]
struct Counts {
    left: AtomicUsize,
    received: AtomicUsize,
    /// Whether the last write was not taken whole.
    is_sending: AtomicBool,
}

impl Default for Allowance {
    fn default() -> Self {
        Self(Arc::new(Counts {
            left: AtomicUsize::new(usize::MAX),
            received: AtomicUsize::new(0),
            is_sending: AtomicBool::new(false),
        }))
    }
}

impl Allowance {
    /// Creates an allowance without a limit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Limits the bytes from now on to those of a head.
    pub fn limit_to_head(&self) {
        self.0.left.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Removes the limit.
    pub fn remove_limit(&self) {
        self.0.left.store(usize::MAX, Ordering::Relaxed);
    }

    /// Returns whether anything was received since the bytes were limited.
    pub fn is_partly_spent(&self) -> bool {
        self.0.left.load(Ordering::Relaxed) < MAX_HEAD_BYTES
    }

    /// Returns the number of bytes received so far, which wraps around.
    pub fn received(&self) -> usize {
        self.0.received.load(Ordering::Relaxed)
    }

    /// Returns whether something waits to be sent, or could not be sent.
    pub fn is_sending(&self) -> bool {
        self.0.is_sending.load(Ordering::Relaxed)
    }

    /// Records what became of a write of `length` bytes.
    fn record_write(&self, length: usize, written: &Poll<io::Result<usize>>) {
        let is_whole = matches!(written, Poll::Ready(Ok(sent)) if *sent == length);
        self.0.is_sending.store(!is_whole, Ordering::Relaxed);
    }

    /// Subtracts received bytes, and returns whether they were allowed.
    fn spend(&self, bytes: usize) -> bool {
        self.0.received.fetch_add(bytes, Ordering::Relaxed);
        let left = self.0.left.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        self.0
            .left
            .store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}

/// A TCP stream that fails when it receives more than its allowance, and that follows the
/// limits of the response that is sent on it, if there is one.
#[derive(Debug)]
pub struct HeadLimited {
    stream: TcpStream,
    allowance: Allowance,
    /// The response to the caller; `None` on a connection to a server.
    reset: Option<CurrentReset>,
    /// Whether a response to the last request has begun.
    is_answering: bool,
}

impl HeadLimited {
    /// Creates a stream that may receive what `allowance` allows.
    pub fn new(stream: TcpStream, allowance: Allowance) -> Self {
        Self {
            stream,
            allowance,
            reset: None,
            is_answering: false,
        }
    }

    /// Sets the state of the responses that are sent to a caller.
    #[must_use]
    pub fn with_reset(mut self, reset: CurrentReset) -> Self {
        self.reset = Some(reset);
        self
    }

    /// Applies the limits of the response before some of it is sent.
    fn begin_write(&mut self) {
        if let Some(reset) = &self.reset {
            reset.limit_queue(&self.stream);
            self.set_answering(true);
        }
    }

    /// Sets for how long the caller may take nothing of what waits for it.
    fn set_answering(&mut self, is_answering: bool) {
        if std::mem::replace(&mut self.is_answering, is_answering) == is_answering {
            return;
        }
        let timeout = if is_answering {
            CALLER_PAUSE
        } else {
            pool::ACK_TIMEOUT
        };
        // Without the option, an unresponsive caller is noticed at another time.
        let _ = socket2::SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout));
    }
}

impl Drop for HeadLimited {
    fn drop(&mut self) {
        if let Some(reset) = &self.reset {
            reset.apply(&self.stream);
        }
    }
}

impl AsyncRead for HeadLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let length = buffer.filled().len() - before;
        if length > 0 {
            // The next request has begun.
            self.set_answering(false);
        }
        if let Poll::Ready(Ok(())) = read
            && !self.allowance.spend(length)
        {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        read
    }
}

impl AsyncWrite for HeadLimited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_write();
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.allowance.record_write(bytes.len(), &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_write();
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        let length = slices.iter().map(|slice| slice.len()).sum();
        self.allowance.record_write(length, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
