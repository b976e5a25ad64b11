//! Servers that turn requests away for some time.
//!
//! When the time is over, one request at a time is tried until the server has
//! accepted one, so that the waiting callers do not flood it.

use std::fmt;
use std::time::Duration;

use crate::core::Name;
use crate::core::route::servers::Server;
use crate::core::route::servers::Servers;
use crate::core::route::servers::cold::Coldness;
use crate::core::time::Time;

/// Longest time for which one answer closes a server, whatever it states.
pub const MAX_CLOSURE: Duration = Duration::from_secs(3_600);

/// Time without an answer to a trial after which another request may be tried.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait that is reported while a trial is in progress.
const TRIAL_WAIT: Duration = Duration::from_millis(150);

/// The time for which a server turns requests of this node away.
#[derive(Clone, Debug, PartialEq)]
pub struct Closure {
    /// Request whose answer closed the server.
    pub request: Name,
    /// The time that the server stated, in seconds.
    pub stated_s: f64,
    /// Time of the answer.
    pub since: Time,
    /// Time from which requests may be tried.
    pub until: Time,
    /// Start of the trial in progress.
    trial: Option<Time>,
}

impl Closure {
    /// Creates a closure of `stated_s` seconds, at most [`MAX_CLOSURE`], or returns
    /// `None` if this is no length of time.
    pub fn new(request: &str, stated_s: f64, now: Time) -> Option<Self> {
        if stated_s.is_nan() || stated_s.is_sign_negative() {
            return None;
        }
        let length = Duration::from_secs_f64(stated_s.min(MAX_CLOSURE.as_secs_f64()));
        Some(Self {
            request: request.into(),
            stated_s,
            since: now,
            until: now + length,
            trial: None,
        })
    }

    /// Returns the time for which the server is closed.
    pub fn length(&self) -> Duration {
        self.until.since(self.since)
    }

    /// Returns the time until a request may be sent, or zero.
    fn wait(&self, now: Time) -> Duration {
        match self.trial {
            Some(began) if now.since(began) < TRIAL_TIMEOUT => TRIAL_WAIT,
            _ => self.until.since(now),
        }
    }
}

/// The server that is the first to accept a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Opening {
    /// The server.
    pub server: Name,
    /// Time until it accepts a request.
    pub wait: Duration,
    /// Whether it turned away a request, and did not only limit their rate.
    pub is_closed: bool,
    /// Why the server counts as cold, if it does.
    pub cold: Option<Coldness>,
}

impl fmt::Display for Opening {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let wait = self.wait.as_millis();
        let reason = if self.is_closed {
            "turns requests away"
        } else {
            "limits its rate"
        };
        let server = &self.server;
        write!(
            f,
            "next request allowed here in {wait} ms at {server}, which {reason}"
        )?;
        let Some(cold) = &self.cold else {
            return Ok(());
        };
        let (source, age) = (cold.source.as_str(), cold.age.as_millis());
        match cold.left {
            Some(left) => {
                let left = left.as_millis();
                write!(f, " and is cold for {left} ms ({source}, {age} ms ago)")
            }
            None => write!(f, " and may be cold ({source}, {age} ms ago)"),
        }
    }
}

impl Server {
    /// Returns whether the server does not turn requests away.
    pub(super) fn is_open(&self, now: Time) -> bool {
        self.closed_wait(now).is_zero()
    }

    fn closed_wait(&self, now: Time) -> Duration {
        let closure = self.closure.as_ref();
        closure.map_or(Duration::ZERO, |closure| closure.wait(now))
    }
}

impl Servers {
    /// Closes a server that rejected a request sent at `sent`, and returns whether it
    /// was open before.
    ///
    /// Answers on different connections arrive in any order, so the answer to a request
    /// that was sent before the server was closed cannot shorten the time.
    pub(super) fn close(&mut self, id: &str, closure: &Closure, sent: Time) -> bool {
        let now = closure.since;
        self.unlisted.retain(|_, unlisted| unlisted.until > now);
        let Some(server) = self.by_id.get_mut(id) else {
            return false;
        };
        let earlier = server.closure.as_ref();
        let was_open = earlier.is_none_or(|earlier| earlier.until <= now);
        let is_shorter =
            earlier.is_some_and(|earlier| sent < earlier.since && closure.until < earlier.until);
        if !is_shorter {
            server.closure = Some(Box::new(closure.clone()));
        }
        was_open
    }

    /// Opens a server that accepted a request sent at `sent`, and returns how it was
    /// closed if the request was sent after that.
    pub(super) fn open(&mut self, id: &str, sent: Time) -> Option<Closure> {
        let server = self.by_id.get_mut(id)?;
        let closure = server.closure.take_if(|closure| closure.until <= sent)?;
        Some(*closure)
    }

    /// Returns whether a request for which the server was chosen may still be sent.
    ///
    /// `trial` is the start of the trial that the request is, if it is one.
    pub fn accepts(&self, id: &str, trial: Option<Time>) -> bool {
        self.by_id.get(id).is_some_and(|server| {
            let closure = server.closure.as_deref();
            let is_trial = |closure: &Closure| closure.trial.is_some() && closure.trial == trial;
            server.is_choosable(&self.evacuated) && closure.is_none_or(is_trial)
        })
    }

    /// Begins a trial if the server was closed, and returns its start.
    pub fn begin_trial(&mut self, id: &str, now: Time) -> Option<Time> {
        let closure = self.by_id.get_mut(id)?.closure.as_mut()?;
        closure.trial = Some(now);
        closure.trial
    }

    /// Ends the trial that began at `began`, if it is still in progress.
    pub fn end_trial(&mut self, id: &str, began: Time) {
        let server = self.by_id.get_mut(id);
        if let Some(closure) = server.and_then(|server| server.closure.as_mut()) {
            closure.trial.take_if(|trial| *trial == began);
        }
    }

    /// Returns the candidate that is the first to accept a request, or `None` if none
    /// is closed or limits the rate.
    pub fn first_opening(
        &self,
        service: &str,
        version: Option<&str>,
        now: Time,
    ) -> Option<Opening> {
        self.subset(service, version)
            .filter(|server| !server.leaving)
            .filter(|server| server.closure.is_some() || self.is_paced_server(server, now))
            .map(|server| {
                let (closed, paced) = (server.closed_wait(now), self.pacing_of(server, now));
                Opening {
                    server: server.vm.id.clone(),
                    wait: closed.max(paced),
                    is_closed: closed >= paced,
                    cold: self.coldness_of(server, now),
                }
            })
            .min_by_key(|opening| opening.wait)
    }
}
