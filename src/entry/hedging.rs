//! Limits and telemetry of hedged requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::retry::hedge::Hedges;
use crate::core::retry::hedge::budget;
use crate::core::retry::hedge::decision::Skipped;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::telemetry::events::Event;

/// Tracks what this entry needs to know to hedge requests.
#[derive(Default)]
pub struct Hedging {
    hedges: Mutex<Hedges>,
    /// Services whose limit was reached, and when they were last refused a hedge for it.
    limited: Mutex<NameMap<Time>>,
}

impl Hedging {
    /// Creates a state that knows no requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Calls `f` with what is known of the requests.
    pub fn with<T>(&self, f: impl FnOnce(&mut Hedges) -> T) -> T {
        f(&mut self.hedges.lock().unwrap())
    }
}

/// Counts a request that is late and not hedged.
///
/// A line tells when the limit of the extra work is first reached.
pub fn record_skipped(entry: &Entry, service: &Name, reason: Skipped) {
    metrics::counter!("cassialock_hedges_skipped_total", "reason" => reason.as_str()).increment(1);
    if reason != Skipped::WorkLimit {
        return;
    }
    let now = entry.clock.now();
    let mut limited = entry.hedging.limited.lock().unwrap();
    if limited.insert(service.clone(), now).is_none() {
        drop(limited);
        entry
            .events
            .write(limit_event("hedging_limited", entry, service, now));
    }
}

/// Updates the gauges of the extra work, and tells which services have not reached their
/// limit for a window.
pub fn refresh(entry: &Entry) {
    let percent = entry.settings.load().features.hedge_percent;
    let Some(catalog) = entry.catalog.load().filter(|_| percent > 0.0) else {
        return;
    };
    let now = entry.clock.now();
    metrics::gauge!("cassialock_hedge_limit_percent").set(percent);
    for (service, _) in catalog.services.iter() {
        let (own, extra) = entry.hedging.with(|hedges| hedges.totals(service, now));
        let share = if own > 0.0 { extra / own } else { 0.0 };
        metrics::gauge!("cassialock_hedge_extra_percent", "service" => service.to_string())
            .set(share * 100.0);
    }
    let mut ended = Vec::new();
    let mut limited = entry.hedging.limited.lock().unwrap();
    limited.retain(|service, at| {
        let is_kept = now.since(*at) < budget::WINDOW;
        if !is_kept {
            ended.push(service.clone());
        }
        is_kept
    });
    drop(limited);
    for service in ended {
        entry
            .events
            .write(limit_event("hedging_unlimited", entry, &service, now));
    }
}

/// Returns an event with the work in the window.
fn limit_event(name: &'static str, entry: &Entry, service: &Name, now: Time) -> Event {
    let (own, extra) = entry.hedging.with(|hedges| hedges.totals(service, now));
    Event::new(name)
        .with("service", &**service)
        .with("work", own)
        .with("extra_work", extra)
        .with(
            "limit_percent",
            entry.settings.load().features.hedge_percent,
        )
        .with_ms("window_ms", budget::WINDOW)
}

/// How a hedge ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The second attempt began to answer first.
    Won,
    /// The first attempt began to answer first.
    Lost,
    /// The second attempt failed, and the first one went on alone.
    Failed,
    /// The first attempt failed, and the second one went on alone.
    FirstFailed,
    /// Neither had begun when a stream had to leave one of them, which was the first.
    Moved,
    /// As [`Outcome::Moved`], but the second attempt was cancelled.
    CancelledLate,
    /// Neither had begun at the deadline.
    Deadline,
    /// The caller disconnected.
    Abandoned,
}

impl Outcome {
    /// Returns the label used in events and metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Outcome::Won => "won",
            Outcome::Lost => "lost",
            Outcome::Failed => "failed",
            Outcome::FirstFailed => "first_failed",
            Outcome::Moved => "moved",
            Outcome::CancelledLate => "cancelled_late",
            Outcome::Deadline => "deadline",
            Outcome::Abandoned => "abandoned",
        }
    }
}

/// A hedge in progress; one that is dropped without an outcome was abandoned.
pub struct Running {
    entry: Arc<Entry>,
    event: Option<Event>,
    began: Time,
    outcome: Outcome,
}

impl Running {
    /// Counts a hedge that was sent after `delay`; `event` names the request and servers.
    pub fn new(entry: &Arc<Entry>, event: Event, delay: Duration) -> Self {
        metrics::counter!("cassialock_hedges_sent_total").increment(1);
        Self {
            entry: Arc::clone(entry),
            event: Some(event.with_ms("delay_ms", delay)),
            began: entry.clock.now(),
            outcome: Outcome::Abandoned,
        }
    }

    /// Sets how the hedge ended.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let outcome = self.outcome.as_str();
        metrics::counter!("cassialock_hedges_ended_total", "outcome" => outcome).increment(1);
        let Some(event) = self.event.take() else {
            return;
        };
        let raced = self.entry.clock.now().since(self.began);
        self.entry
            .events
            .write(event.with("outcome", outcome).with_ms("raced_ms", raced));
    }
}
