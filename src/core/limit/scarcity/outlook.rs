//! Predicts the time to the first byte of a route's responses.

use std::time::Duration;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::route::Forecast;
use crate::core::time::Time;

/// Time constant of the recent times.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Weight of samples from which the recent times are used.
const MIN_WEIGHT: f64 = 1.5;

/// Smoothing factor of the usual times.
const USUAL_SMOOTHING: f64 = 0.05;

/// Bounds of the growth by which recent times are scaled.
const GROWTH: (f64, f64) = (0.5, 3.0);

/// Longest time that is recorded, so that one response does not spoil the mean.
const MAX_TIME: Duration = Duration::from_secs(60);

/// Largest number of routes; those beyond it have no forecast.
const MAX_ROUTES: usize = 256;

#[derive(Clone, Debug, Default)]
struct Row {
    /// Decayed sums of the times in seconds, of the time in progress, and of samples.
    first: f64,
    progress: f64,
    weight: f64,
    updated_at: Time,
    /// Mean time in seconds while servers had free slots.
    usual: Option<f64>,
}

/// Recent times to the first byte at one entry, by route.
#[derive(Clone, Debug, Default)]
pub struct Outlook {
    rows: NameMap<Row>,
}

impl Outlook {
    /// Creates an outlook without times.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the time to the first byte of a response.
    ///
    /// `progress` is the mean time in progress of the service in seconds, and `is_usual`
    /// whether its servers have free slots.
    pub fn record(
        &mut self,
        route: &Name,
        took: Duration,
        progress: f64,
        is_usual: bool,
        now: Time,
    ) {
        if self.rows.get(route).is_none() && self.rows.len() >= MAX_ROUTES {
            return;
        }
        let row = self.rows.get_or_insert_with(route, Row::default);
        let seconds = took.min(MAX_TIME).as_secs_f64();
        let kept = row.decay(now);
        row.first = row.first * kept + seconds;
        row.progress = row.progress * kept + progress;
        row.weight = row.weight * kept + 1.0;
        row.updated_at = now;
        if is_usual {
            let usual = row.usual.unwrap_or(seconds);
            row.usual = Some(usual + USUAL_SMOOTHING * (seconds - usual));
        }
    }

    /// Predicts the time to the first byte of a request that is sent now.
    ///
    /// `progress` is the mean time in progress, by whose growth recent times are scaled.
    /// Without recent times it is the usual one plus `wait`, the mean wait at servers.
    pub fn forecast(
        &self,
        route: &str,
        progress: f64,
        wait: Duration,
        now: Time,
    ) -> Option<Forecast> {
        let row = self.rows.get(route)?;
        let age = now.since(row.updated_at);
        if row.weight * row.decay(now) < MIN_WEIGHT {
            let first = Duration::from_secs_f64(row.usual?) + wait;
            return Some(Forecast { first, age });
        }
        let growth = progress / (row.progress / row.weight).max(f64::MIN_POSITIVE);
        let growth = if growth.is_finite() { growth } else { 1.0 };
        let seconds = row.first / row.weight * growth.clamp(GROWTH.0, GROWTH.1);
        let first = Duration::from_secs_f64(seconds);
        Some(Forecast { first, age })
    }
}

impl Row {
    fn decay(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        (-elapsed / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
