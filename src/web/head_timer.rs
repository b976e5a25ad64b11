//! Timer of connections that wait for the head of a request.
//!
//! The HTTP library has one timeout from the end of an answer to the end of the next
//! head, which it reads when it accepts a connection. Here the time until the first byte
//! and the time until the last one are separate, and both follow the limits in force.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::rt::Sleep;
use hyper::rt::Timer;
use hyper_util::rt::TokioTimer;
use tokio::time::Instant;

use crate::web::ConnectionLimits;
use crate::web::head_limit::Allowance;

/// Longest wait that is timed; a longer timeout is cut to it.
const MAX_WAIT: Duration = Duration::from_secs(24 * 60 * 60);

/// Returns the limits in force.
pub type LimitSource = Arc<dyn Fn() -> ConnectionLimits + Send + Sync>;

/// Times the waits of one connection for the head of a request.
pub struct HeadTimer {
    limits: LimitSource,
    allowance: Allowance,
}

impl HeadTimer {
    /// Creates the timer of a connection whose bytes are counted by `allowance`.
    pub fn new(limits: LimitSource, allowance: Allowance) -> Self {
        Self { limits, allowance }
    }
}

impl Timer for HeadTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        TokioTimer::new().sleep(duration)
    }

    /// Returns a wait that begins now; its end follows the limits.
    fn sleep_until(&self, _deadline: std::time::Instant) -> Pin<Box<dyn Sleep>> {
        let began = Instant::now();
        let idle_timeout = (self.limits)().idle_timeout.min(MAX_WAIT);
        Box::pin(HeadWait {
            limits: Arc::clone(&self.limits),
            allowance: self.allowance.clone(),
            received_before: self.allowance.received(),
            began,
            idle_timeout,
            head_began: None,
            sleep: Box::pin(tokio::time::sleep_until(began + idle_timeout)),
        })
    }
}

/// Ends when the head of a request has not arrived in time.
struct HeadWait {
    limits: LimitSource,
    allowance: Allowance,
    received_before: usize,
    began: Instant,
    /// Longest idle timeout that was in force during the wait, on which the caller may
    /// rely.
    idle_timeout: Duration,
    head_began: Option<Instant>,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl HeadWait {
    fn deadline(&mut self) -> Instant {
        let limits = (self.limits)();
        self.idle_timeout = self.idle_timeout.max(limits.idle_timeout.min(MAX_WAIT));
        if self.head_began.is_none() && self.allowance.received() != self.received_before {
            self.head_began = Some(Instant::now());
        }
        let idle_until = self.began + self.idle_timeout;
        let head_timeout = limits.head_timeout.min(MAX_WAIT);
        let head_until = self.head_began.map(|began| began + head_timeout);
        head_until.map_or(idle_until, |until| until.max(idle_until))
    }
}

impl Sleep for HeadWait {}

impl Future for HeadWait {
    type Output = ();

    /// The library polls this whenever bytes arrive that do not complete the head.
    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            let deadline = self.deadline();
            if deadline != self.sleep.deadline() {
                self.sleep.as_mut().reset(deadline);
            }
            if self.sleep.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            if self.deadline() <= Instant::now() {
                return Poll::Ready(());
            }
        }
    }
}
