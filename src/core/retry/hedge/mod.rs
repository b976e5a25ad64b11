//! Hedged requests: a second attempt beside one that has not begun to answer in time.
//!
//! [`delays`] learns after which time a response is late, [`decision`] decides whether a
//! second attempt is sent, and [`budget`] limits the extra work. docs/design/hedging.md
//! says why.

use std::time::Duration;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::request::TokenCounts;
use crate::core::retry::hedge::budget::WorkWindow;
use crate::core::retry::hedge::delays::Delays;
use crate::core::retry::hedge::delays::SizeClass;
use crate::core::time::Time;

pub mod budget;
pub mod decision;
pub mod delays;

/// Largest extra work that can be set, in percent of the work of a service.
pub const MAX_PERCENT: f64 = 20.0;

/// Factor by which the time since the first attempt grows until a hedge that was not
/// predicted to be sooner is considered again.
const RECHECK_FACTOR: f64 = 1.25;

/// Maximum number of services whose work is counted.
const MAX_SERVICES: usize = 256;

/// Parses the setting of the extra work, in percent of the work of a service.
///
/// # Errors
///
/// Returns what was expected if this is no number from 0 to [`MAX_PERCENT`].
pub fn parse_percent(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(percent) if (0.0..=MAX_PERCENT).contains(&percent) => Ok(percent),
        _ => Err(format!("expected a percentage from 0 to 20, got {text:?}")),
    }
}

/// Returns the time since the first attempt at which a hedge is considered again that was
/// not predicted to be sooner after `elapsed`.
///
/// A request that is still waiting then is expected to take longer than was predicted.
pub fn next_check(elapsed: Duration) -> Duration {
    elapsed.mul_f64(RECHECK_FACTOR)
}

/// Returns the work of a request: its tokens, or one unit if it has none.
pub fn work(tokens: Option<TokenCounts>) -> f64 {
    let sum = tokens.map_or(0.0, |tokens| {
        f64::from(tokens.prompt) + f64::from(tokens.max_output)
    });
    sum.max(1.0)
}

/// A request as hedging sees it.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// Service of the request.
    pub service: &'a Name,
    /// Route of the request.
    pub route: &'a Name,
    /// Tokens of the request, if it has any.
    pub tokens: Option<TokenCounts>,
}

impl Subject<'_> {
    fn class(&self) -> SizeClass {
        SizeClass::new(self.tokens.map(|tokens| tokens.prompt))
    }
}

/// What a node knows of its requests to hedge them.
#[derive(Clone, Debug, Default)]
pub struct Hedges {
    delays: Delays,
    windows: NameMap<WorkWindow>,
}

impl Hedges {
    /// Creates a state that knows no requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the work of a request that is sent for the first time.
    pub fn count(&mut self, subject: &Subject<'_>, now: Time) {
        let name = subject.service;
        if self.windows.get(name).is_some() || self.windows.len() < MAX_SERVICES {
            let window = self.windows.get_or_insert_with(name, WorkWindow::new);
            window.count(work(subject.tokens), now);
        }
    }

    /// Records that a response began `took` after the request was first sent.
    pub fn record(&mut self, subject: &Subject<'_>, took: Duration, now: Time) {
        let class = subject.class();
        self.delays.record(subject.route, class, took, now);
    }

    /// Returns the time after which the response to a request is late, if it is known.
    pub fn delay(&self, subject: &Subject<'_>, now: Time) -> Option<Duration> {
        self.delays.delay(subject.route, subject.class(), now)
    }

    /// Returns the mean time until a response begins that has not begun after `elapsed`,
    /// or `None` if it took longer than all that are known.
    pub fn remaining(&self, subject: &Subject<'_>, elapsed: Duration) -> Option<Duration> {
        let class = subject.class();
        self.delays.remaining(subject.route, class, elapsed)
    }

    /// Returns whether the extra work of a hedge keeps within `percent` of the work.
    pub fn fits(&self, subject: &Subject<'_>, percent: f64, now: Time) -> bool {
        let window = self.windows.get(subject.service);
        window.is_some_and(|window| window.fits(work(subject.tokens), percent, now))
    }

    /// Counts the extra work of a hedge if it keeps within `percent` of the work.
    pub fn spend(&mut self, subject: &Subject<'_>, percent: f64, now: Time) -> bool {
        let window = self.windows.get_mut(subject.service);
        window.is_some_and(|window| window.spend(work(subject.tokens), percent, now))
    }

    /// Returns the work of a service and the extra work of its hedges in the window.
    pub fn totals(&self, service: &str, now: Time) -> (f64, f64) {
        let window = self.windows.get(service);
        window.map_or((0.0, 0.0), |window| window.totals(now))
    }
}
