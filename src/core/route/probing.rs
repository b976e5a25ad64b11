//! Which candidates are probed for their load before a request is placed.

use std::time::Duration;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::route::servers::standing::Standing;
use crate::core::time::Time;

/// Time within which a server must answer a probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(25);

/// Time after which further candidates are probed although the first has not answered.
pub const FIRST_TIMEOUT: Duration = Duration::from_millis(10);

/// Maximum number of probes for one request.
pub const MAX_PROBES: usize = 3;

/// Age up to which a load report is used without a probe.
const FRESH_TIME: Duration = Duration::from_millis(100);

/// Multiple of the time of a probe below which the expected time of a request makes no
/// probe worth it.
const MIN_BENEFIT: u32 = 20;

/// Shortest expected time of a request that is worth probes, while the time of a probe is
/// not known.
const MIN_EXPECTED: Duration = Duration::from_millis(20);

/// Smoothing factor of the time of a probe.
const SMOOTHING: f64 = 0.1;

/// Time after which the time of a probe is forgotten.
///
/// Otherwise a few slow answers could end all probes, and so all further measurements.
const MEASURE_RETENTION: Duration = Duration::from_secs(5);

/// Number of consecutive probes without an answer after which a server is not probed for
/// a while.
const MAX_MISSES: u32 = 3;

/// Time for which such a server is not probed.
const PAUSE: Duration = Duration::from_secs(1);

/// Part of the lowest cost by which another candidate must be able to undercut it to be worth
/// a probe.
const MIN_GAIN: f64 = 0.2;

/// What is known of a candidate before a probe.
#[derive(Clone, Copy, Debug)]
pub struct Known<'a> {
    /// The server.
    pub id: &'a Name,
    /// What is known of it.
    pub standing: &'a Standing,
    /// Cost by what is known.
    pub cost: f64,
    /// Cost if the server were idle.
    pub lowest_cost: f64,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// The server stated its load.
    Answered,
    /// The answer holds no load.
    NoLoad,
    /// The answer names another server, or none.
    OtherServer,
    /// The connection failed, or what arrived is no valid answer.
    Failed,
    /// No answer arrived in time.
    TimedOut,
}

impl ProbeOutcome {
    /// Returns the label used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            ProbeOutcome::Answered => "answered",
            ProbeOutcome::NoLoad => "no_load",
            ProbeOutcome::OtherServer => "other_server",
            ProbeOutcome::Failed => "failed",
            ProbeOutcome::TimedOut => "timed_out",
        }
    }
}

/// Consecutive probes of a server without a usable answer.
#[derive(Clone, Copy, Debug, Default)]
struct Misses {
    count: u32,
    last: Time,
}

/// Decides which servers are probed.
#[derive(Clone, Debug, Default)]
pub struct Probing {
    /// Mean time of a probe, in milliseconds, and the time of the last one.
    measured: Option<(f64, Time)>,
    /// Servers whose last probe failed.
    misses: NameMap<Misses>,
}

impl Probing {
    /// Creates a state without measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a request is worth probes that is expected to take this time.
    pub fn is_worth(&self, expected: Duration, now: Time) -> bool {
        let measured = self.measured;
        let measured = measured.filter(|(_, at)| now.since(*at) < MEASURE_RETENTION);
        let limit = measured.map_or(MIN_EXPECTED, |(ms, _)| {
            Duration::from_secs_f64(ms / 1_000.0) * MIN_BENEFIT
        });
        expected >= limit
    }

    /// Returns the candidates that are to be probed at the same time.
    ///
    /// `best` is the index of the one with the lowest cost, and `asked` are those that were
    /// probed for the request before. The best is probed first; the others are worth a probe
    /// only if they can be better by [`MIN_GAIN`].
    pub fn select(
        &self,
        candidates: &[Known<'_>],
        best: usize,
        asked: &[Name],
        now: Time,
    ) -> Vec<Name> {
        let Some(first) = candidates.get(best) else {
            return Vec::new();
        };
        if asked.is_empty() && self.may_probe(first, now) {
            return vec![first.id.clone()];
        }
        let limit = first.cost * (1.0 - MIN_GAIN);
        let is_worth = |index: usize, known: &Known<'_>| index == best || known.lowest_cost < limit;
        candidates
            .iter()
            .enumerate()
            .filter(|(index, known)| is_worth(*index, known) && !asked.contains(known.id))
            .filter(|(_, known)| self.may_probe(known, now))
            .take(MAX_PROBES.saturating_sub(asked.len()))
            .map(|(_, known)| known.id.clone())
            .collect()
    }

    /// Returns whether a candidate has no fresh report and may be probed.
    fn may_probe(&self, known: &Known<'_>, now: Time) -> bool {
        let is_fresh = |at: Time| now.since(at) < FRESH_TIME;
        let load = known.standing.load;
        known.standing.can_probe
            && !load.is_some_and(|(_, at)| is_fresh(at))
            && !self.rests(known.id, now)
    }

    fn rests(&self, id: &str, now: Time) -> bool {
        let misses = self.misses.get(id);
        misses.is_some_and(|misses| misses.count >= MAX_MISSES && now.since(misses.last) < PAUSE)
    }

    /// Records the outcome of a probe that took `took`.
    pub fn record(&mut self, id: &Name, outcome: ProbeOutcome, took: Duration, now: Time) {
        if outcome != ProbeOutcome::Answered {
            let misses = self.misses.get_or_insert_with(id, Misses::default);
            misses.count += 1;
            misses.last = now;
            return;
        }
        self.misses.remove(id);
        let ms = took.as_secs_f64() * 1_000.0;
        let mean = match self.measured {
            Some((mean, at)) if now.since(at) < MEASURE_RETENTION => mean + SMOOTHING * (ms - mean),
            _ => ms,
        };
        self.measured = Some((mean, now));
    }

    /// Forgets the servers that are not in a list any more.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.misses.retain(|id, _| is_listed(id));
    }
}
