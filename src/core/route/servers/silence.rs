//! Servers that send nothing to any request.
//!
//! A sound server may pause, and then all of its requests wait. One silence counts once,
//! however many requests wait in it, and ends with the first sign of life. Until then
//! single requests find out whether the server goes on.

use crate::core::route::servers::Server;
use crate::core::route::servers::Servers;
use crate::core::route::servers::health;
use crate::core::time::Time;

/// A silence of a server, to all requests of this node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Silence {
    /// Time at which the next request may be sent to the server.
    until: Time,
    /// Number of requests that were sent to find out whether the server goes on.
    probes: u32,
    /// Whether a request ended without an answer.
    was_given_up: bool,
}

/// How a request that waits for a silent server counts against it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// As a part of a silence that may be a pause.
    Silence,
    /// As a failure, because the server answered other requests meanwhile.
    Failure,
}

impl Server {
    /// Returns whether the server is silent and no request is to be sent to it.
    pub(super) fn is_suspected(&self, now: Time) -> bool {
        self.silence.is_some_and(|silence| silence.until > now)
    }

    /// Returns whether the server was heard in the second half of the time since `since`.
    ///
    /// Answers to other requests may still arrive right after the last sign of life to
    /// this one.
    fn was_heard(&self, since: Time, now: Time) -> bool {
        self.heard_at > since + now.since(since) / 2
    }
}

impl Servers {
    /// Suspects a server that has sent nothing to a request since `since`.
    pub fn suspect(&mut self, id: &str, since: Time, now: Time) -> Suspicion {
        let Some(server) = self.by_id.get_mut(id) else {
            return Suspicion::Silence;
        };
        if server.was_heard(since, now) {
            server.health.record_failure(now);
            return Suspicion::Failure;
        }
        server.silence.get_or_insert_with(|| Silence {
            until: now + health::ejection(0),
            probes: 0,
            was_given_up: false,
        });
        Suspicion::Silence
    }

    /// Counts a request to a silent server, after which others wait for its outcome.
    pub fn begin_probe(&mut self, id: &str, now: Time) {
        let server = self.by_id.get_mut(id);
        let Some(silence) = server.and_then(|server| server.silence.as_mut()) else {
            return;
        };
        if silence.until <= now {
            silence.probes += 1;
            silence.until = now + health::ejection(silence.probes);
        }
    }

    /// Records that a request that waited for a silent server ended without an answer.
    ///
    /// It is a failure of its own if the server has gone on meanwhile.
    pub fn give_up(&mut self, id: &str, now: Time) {
        let Some(server) = self.by_id.get_mut(id) else {
            return;
        };
        match &mut server.silence {
            Some(silence) => silence.was_given_up = true,
            None => server.health.record_failure(now),
        }
    }

    /// Records a sign of life of a server, which ends its silence.
    pub fn hear(&mut self, id: &str, now: Time) {
        let Some(server) = self.by_id.get_mut(id) else {
            return;
        };
        server.heard_at = now;
        if server
            .silence
            .take()
            .is_some_and(|ended| ended.was_given_up)
        {
            server.health.record_silence(now);
        }
    }
}
