//! The predicted time until a server begins to answer, as the cost of a candidate.

use std::time::Duration;

use crate::core::route::Forecast;
use crate::core::route::servers::LoadReport;
use crate::core::route::servers::standing::Standing;
use crate::core::route::speed::Ratio;
use crate::core::route::speed::Work;
use crate::core::time::Time;

/// Mean time for which a server stays slower than usual, in milliseconds, as long as nothing
/// is measured.
const SLOWNESS_MS: f64 = 600.0;

/// Number of measured ends of slowness that this assumption counts for.
const SLOWNESS_WEIGHT: f64 = 5.0;

/// Number of ends after which the weight of earlier measurements is halved.
const MAX_SLOWNESS_WEIGHT: f64 = 200.0;

/// Stated time of work, in percent of the usual, from which a server counts as slow.
const SLOW_PERCENT: u32 = 150;

/// Longest time between two reports from which the end of slowness is measured.
///
/// In a longer time a server may have recovered and become slow again.
const MAX_GAP: Duration = Duration::from_millis(400);

/// Mean time for which a queue lasts, in milliseconds.
///
/// A queue whose report is older says little about the present one.
const QUEUE_MS: f64 = 300.0;

/// Part of the mean prompt work by which each running request delays a further one, as
/// long as nothing is learned.
const RUNNING_SHARE: f64 = 0.05;

/// Time that a request takes longer in another failure domain, in milliseconds.
const DOMAIN_MS: f64 = 2.0;

/// The same as a part of the mean prompt work, as long as no time is known.
const DOMAIN_SHARE: f64 = 0.02;

/// Expected loss of time if the platform can reclaim the VM, as a part of the time.
const RECLAIM_RISK: f64 = 0.01;

/// Costs that differ by less than this part count as equal.
const NEAR_TIE: f64 = 0.05;

/// Largest number of requests of a report that is believed.
const MAX_REPORTED: f64 = 1_000.0;

/// Age that stands for a missing report and for all older ones.
const MAX_AGE: Duration = Duration::from_secs(3_600);

/// Longest predicted time.
const MAX_FORECAST: Duration = Duration::from_secs(10);

/// Smoothing factor of the means of a service.
const SMOOTHING: f64 = 0.05;

/// Factor by which the weight of earlier responses shrinks with each further one.
const SCALE_DECAY: f64 = 0.98;

/// Weight of the responses from which on times are predicted.
const MIN_SAMPLES: f64 = 5.0;

/// Share of the reports that state the time that work takes, above which a service is
/// placed by predicted time; the policy is left below half of it.
const STATED_SHARE: f64 = 0.5;

/// What a node has learned of the requests and servers of a service.
///
/// It predicts costs until better estimates are available: a plain order by the work
/// before a request, in tokens.
#[derive(Clone, Debug, Default)]
pub struct Prior {
    /// Mean number of uncached tokens of this node's requests; 0 if unknown.
    mean_tokens: f64,
    mean_running: f64,
    mean_waiting: f64,
    /// Share of the reports that state the time that work takes.
    stated_share: Option<f64>,
    is_active: bool,
    /// Decayed sums over the responses of this node.
    took_ms: f64,
    tokens: f64,
    samples: f64,
    /// Time for which slow servers were observed, in milliseconds, and the number of them
    /// that were no longer slow at its end.
    slow_ms: f64,
    slow_ends: f64,
}

/// The inputs of a prediction for one candidate.
#[derive(Clone, Copy, Debug)]
pub struct Inputs {
    /// Prompt tokens that the server is not expected to hold.
    pub uncached_tokens: f64,
    /// Tokens of the response.
    pub output_tokens: f64,
    /// What is known of the server.
    pub standing: Standing,
    /// Uncached tokens of the requests that this node has sent since the last report.
    pub sent_tokens: f64,
    /// Time that work takes at the server, relative to others.
    pub ratio: Ratio,
}

/// A prediction for one candidate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// The sizes on which the time depends.
    pub work: Work,
    /// Cost, comparable with that of the other candidates of the request.
    pub cost: f64,
    /// Predicted time and the age of the load report, if enough is known.
    pub forecast: Option<Forecast>,
}

impl Prior {
    /// Creates the state of a service of which nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether requests are placed by predicted time.
    pub const fn is_active(&self) -> bool {
        self.is_active
    }

    /// Returns the mean number of uncached tokens of a request, at least 1.
    pub fn mean_tokens(&self) -> f64 {
        self.mean_tokens.max(1.0)
    }

    /// Records a load report, and returns whether the policy changes.
    ///
    /// The policy follows most reports, so that a single odd server does not switch it.
    pub fn record_load(&mut self, load: &LoadReport) -> bool {
        let smooth = |mean: &mut f64, value: u32| {
            *mean += SMOOTHING * (f64::from(value).min(MAX_REPORTED) - *mean);
        };
        smooth(&mut self.mean_running, load.running);
        smooth(&mut self.mean_waiting, load.waiting);
        let stated = f64::from(u8::from(load.work_percent.is_some()));
        let share = self.stated_share.get_or_insert(stated);
        *share += SMOOTHING * (stated - *share);
        let limit = STATED_SHARE / if self.is_active { 2.0 } else { 1.0 };
        let was_active = std::mem::replace(&mut self.is_active, *share >= limit);
        was_active != self.is_active
    }

    /// Records two reports of a server that are `gap` apart, to measure how long servers
    /// stay slow.
    pub fn record_slowness(&mut self, before: &LoadReport, after: &LoadReport, gap: Duration) {
        let (Some(was), Some(is)) = (before.work_percent, after.work_percent) else {
            return;
        };
        if was < SLOW_PERCENT || gap > MAX_GAP {
            return;
        }
        let gap_ms = gap.as_secs_f64() * 1_000.0;
        if is < SLOW_PERCENT {
            self.slow_ms += gap_ms / 2.0;
            self.slow_ends += 1.0;
        } else {
            self.slow_ms += gap_ms;
        }
        if self.slow_ends > MAX_SLOWNESS_WEIGHT {
            self.slow_ms /= 2.0;
            self.slow_ends /= 2.0;
        }
    }

    /// Returns the mean time for which a server stays slower than usual, in milliseconds.
    pub fn slowness_ms(&self) -> f64 {
        let assumed_ms = SLOWNESS_MS * SLOWNESS_WEIGHT;
        (self.slow_ms + assumed_ms) / (self.slow_ends + SLOWNESS_WEIGHT)
    }

    /// Records the uncached tokens of a request that was placed.
    pub fn record_request(&mut self, uncached_tokens: f64) {
        if self.mean_tokens == 0.0 {
            self.mean_tokens = uncached_tokens;
        }
        self.mean_tokens += SMOOTHING * (uncached_tokens - self.mean_tokens);
    }

    /// Records the time until a response began.
    pub fn record_first(&mut self, work: &Work, took: Duration) {
        let tokens = self.cost_tokens(work) * percent_factor(work);
        for (sum, value) in [
            (&mut self.took_ms, took.as_secs_f64() * 1_000.0),
            (&mut self.tokens, tokens),
            (&mut self.samples, 1.0),
        ] {
            *sum = *sum * SCALE_DECAY + value;
        }
    }

    /// Returns the work before a response, in tokens.
    fn cost_tokens(&self, work: &Work) -> f64 {
        let others = work.waiting + work.running * RUNNING_SHARE;
        work.uncached_tokens.max(1.0) + others * self.mean_tokens()
    }

    /// Returns the time that a token takes, in milliseconds, once it is known.
    fn token_ms(&self) -> Option<f64> {
        let is_known = self.samples >= MIN_SAMPLES && self.tokens > 0.0;
        is_known.then(|| self.took_ms / self.tokens)
    }

    /// Returns the expected time until a response begins at an average server, once it is
    /// known.
    pub fn expected_first(&self, work: &Work) -> Option<Duration> {
        let ms = self.token_ms()? * self.cost_tokens(work);
        Some(Duration::from_secs_f64(ms / 1_000.0).min(MAX_FORECAST))
    }

    /// Returns the load at which a server is expected to be.
    pub fn work(&self, inputs: &Inputs, now: Time) -> Work {
        let age_ms = |at: Time| now.since(at).as_secs_f64() * 1_000.0;
        let (load, age_ms) = match inputs.standing.load {
            Some((load, at)) => (load, age_ms(at)),
            None => (LoadReport::default(), f64::INFINITY),
        };
        let weight = (-age_ms / QUEUE_MS).exp();
        let blend = |reported: u32, mean: f64| {
            mean + (f64::from(reported).min(MAX_REPORTED) - mean) * weight
        };
        let percent = load.work_percent.map(|percent| {
            let excess = (f64::from(percent) - 100.0) * (-age_ms / self.slowness_ms()).exp();
            (100.0 + excess).round() as u32
        });
        Work {
            uncached_tokens: inputs.uncached_tokens,
            output_tokens: inputs.output_tokens,
            running: blend(load.running, self.mean_running),
            waiting: blend(load.waiting, self.mean_waiting)
                + inputs.sent_tokens / self.mean_tokens(),
            work_percent: percent,
        }
    }

    /// Predicts the time of a request at a candidate.
    ///
    /// `expected` is the learned time of an average server for this work, if known.
    pub fn predict(
        &self,
        work: Work,
        inputs: &Inputs,
        expected: Option<Duration>,
        now: Time,
    ) -> Prediction {
        let known_ms = expected.map(|time| time.as_secs_f64() * 1_000.0);
        let prior_ms = || Some(self.token_ms()? * self.cost_tokens(&work));
        let time_ms = known_ms.or_else(prior_ms);
        let (base, domain) = match time_ms {
            Some(ms) => (ms, DOMAIN_MS),
            None => (self.cost_tokens(&work), self.mean_tokens() * DOMAIN_SHARE),
        };
        let standing = &inputs.standing;
        let domain = if standing.same_domain { 0.0 } else { domain };
        let time = base * percent_factor(&work) * inputs.ratio.value + domain;
        let risk = f64::from(u8::from(standing.reclaimable)) * RECLAIM_RISK;
        let age = standing.load.map_or(MAX_AGE, |(_, at)| now.since(at));
        let forecast = time_ms.map(|_| Forecast {
            first: Duration::from_secs_f64(time / 1_000.0).min(MAX_FORECAST),
            age: age.min(MAX_AGE),
        });
        Prediction {
            work,
            cost: time * (1.0 + risk),
            forecast,
        }
    }
}

/// Returns the factor by which a server states that work takes longer.
fn percent_factor(work: &Work) -> f64 {
    work.work_percent
        .map_or(1.0, |percent| f64::from(percent) / 100.0)
}

/// Returns the index of the prediction with the lowest cost.
///
/// Among nearly equal ones the first is taken, so that the requests of a session stay at
/// the server that holds its prompt parts.
pub fn choose(predictions: &[Prediction]) -> Option<usize> {
    let costs = predictions.iter().map(|prediction| prediction.cost);
    let lowest = costs.min_by(f64::total_cmp)?;
    let limit = lowest * (1.0 + NEAR_TIE);
    predictions.iter().position(|one| one.cost <= limit)
}
