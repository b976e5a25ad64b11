//! Expected time as a linear function of the sizes of a request.

use std::time::Duration;

use crate::core::route::speed::Work;
use crate::core::route::speed::sum;
use crate::core::time::Time;

/// Time after which the weight of a sample of a service has halved.
pub const HALF_LIFE: Duration = Duration::from_secs(10);

/// Samples below which no expected time is given.
const MIN_SAMPLES: f64 = 20.0;

/// Samples above which outliers are cut, because the expected time is known well.
const MIN_CUT_SAMPLES: f64 = 50.0;

/// Largest deviation from the expected time that a sample counts with, as a factor.
///
/// A few samples that waited for a server that was stopped would dominate the sums.
const MAX_FACTOR: f64 = 8.0;

/// Weight of the prior, which draws all coefficients but the constant to 0, in samples.
const PRIOR_SAMPLES: f64 = 0.5;

/// Shortest time that a sample counts with, in ms.
const MIN_MS: f64 = 0.1;

/// Number of coefficients: a constant and one for each size in [`Work`].
pub const COEFFICIENTS: usize = 5;

/// Number of different products of two sizes.
pub const PRODUCTS: usize = COEFFICIENTS * (COEFFICIENTS + 1) / 2;

/// Largest sum that another node may send.
const MAX_SUM: f64 = 1e24;

type Vector = [f64; COEFFICIENTS];

/// Returns the sizes that the time depends on.
fn sizes(work: &Work) -> Vector {
    [
        1.0,
        work.uncached_tokens,
        work.output_tokens,
        work.running,
        work.waiting,
    ]
}

/// Returns whether all sizes are usable numbers.
pub fn is_valid(work: &Work) -> bool {
    sizes(work)
        .iter()
        .all(|size| (0.0..1e7).contains(size) && size.is_finite())
}

/// The normal equations of a least-squares fit, with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Normal {
    /// Sums of the products of two sizes, by row of the upper triangle.
    pub products: [f64; PRODUCTS],
    /// Sums of the products of a size and the time in ms.
    pub times: [f64; COEFFICIENTS],
    /// Weight of the samples.
    pub samples: f64,
    /// Time to which the sums are decayed.
    pub at: Time,
    /// Time of the newest sample.
    pub newest: Time,
}

impl Normal {
    /// Returns the sums as they are at `now`.
    #[must_use]
    pub fn decayed(&self, now: Time) -> Self {
        let left = sum::decay(now.since(self.at), HALF_LIFE);
        Self {
            products: self.products.map(|value| value * left),
            times: self.times.map(|value| value * left),
            samples: self.samples * left,
            at: now,
            newest: self.newest.min(now),
        }
    }

    /// Adds a sample that took `ms`; its error counts relative to `scale_ms`.
    pub fn add(&mut self, work: &Work, ms: f64, scale_ms: f64, now: Time) {
        let mut sample = Normal {
            samples: 1.0,
            newest: now,
            ..Normal::default()
        };
        let sizes = sizes(work);
        let weight = scale_ms.max(MIN_MS).powi(-2);
        let mut place = 0;
        for (row, size) in sizes.iter().enumerate() {
            sample.times[row] = weight * size * ms;
            for other in &sizes[row..] {
                sample.products[place] = weight * size * other;
                place += 1;
            }
        }
        self.merge(&sample, 1.0, now);
    }

    /// Adds `factor` times the sums of others, which are decayed to `now`.
    pub fn merge(&mut self, other: &Normal, factor: f64, now: Time) {
        *self = self.decayed(now);
        for (sum, value) in self.products.iter_mut().zip(other.products) {
            *sum += factor * value;
        }
        for (sum, value) in self.times.iter_mut().zip(other.times) {
            *sum += factor * value;
        }
        self.samples = (self.samples + factor * other.samples).max(0.0);
        self.newest = self.newest.max(other.newest.min(now));
    }

    fn product(&self, a: usize, b: usize) -> f64 {
        let (a, b) = (a.min(b), a.max(b));
        self.products[a * COEFFICIENTS - a * (a + 1) / 2 + b]
    }

    /// Returns whether the sums can come from samples.
    pub fn is_valid(&self) -> bool {
        let mut values = self.products.iter().chain(&self.times);
        let is_bounded = values.all(|value| (0.0..=MAX_SUM).contains(value));
        // The rounding of the transfer is far below this tolerance.
        let is_consistent = (0..COEFFICIENTS).all(|a| {
            (0..a).all(|b| {
                let square = self.product(a, b).powi(2);
                square <= 1.001 * self.product(a, a) * self.product(b, b)
            })
        });
        is_bounded && is_consistent && self.samples.is_finite() && self.samples >= 0.0
    }

    /// Returns the coefficients, none of them negative, or `None` without samples.
    fn solve(&self) -> Option<Vector> {
        let mut used: Vec<usize> = (0..COEFFICIENTS)
            .filter(|at| self.product(*at, *at) > 0.0)
            .collect();
        while !used.is_empty() {
            let solved = self.solve_for(&used)?;
            // More work does not take less time: such a coefficient comes from noise.
            let lowest = (0..used.len()).min_by(|a, b| solved[*a].total_cmp(&solved[*b]))?;
            if solved[lowest] >= 0.0 {
                let mut coefficients = Vector::default();
                for (value, at) in solved.iter().zip(used) {
                    coefficients[at] = *value;
                }
                return Some(coefficients);
            }
            used.remove(lowest);
        }
        None
    }

    /// Solves the equations for some of the coefficients by the Cholesky decomposition.
    fn solve_for(&self, used: &[usize]) -> Option<Vec<f64>> {
        let scale: Vec<f64> = used
            .iter()
            .map(|at| self.product(*at, *at).sqrt())
            .collect();
        let prior = PRIOR_SAMPLES / self.samples.max(1.0);
        let count = used.len();
        let mut lower = vec![vec![0.0; count]; count];
        for a in 0..count {
            for b in 0..=a {
                let mut value = self.product(used[a], used[b]) / (scale[a] * scale[b]);
                if a == b {
                    value += if used[a] == 0 { 1e-9 } else { prior };
                }
                let dot: f64 = (0..b).map(|at| lower[a][at] * lower[b][at]).sum();
                lower[a][b] = if a == b {
                    let square = value - dot;
                    if square <= 1e-12 {
                        return None;
                    }
                    square.sqrt()
                } else {
                    (value - dot) / lower[b][b]
                };
            }
        }
        let mut solved: Vec<f64> = (0..count)
            .map(|at| self.times[used[at]] / scale[at])
            .collect();
        for a in 0..count {
            let dot: f64 = (0..a).map(|at| lower[a][at] * solved[at]).sum();
            solved[a] = (solved[a] - dot) / lower[a][a];
        }
        for a in (0..count).rev() {
            let dot: f64 = (a + 1..count).map(|at| lower[at][a] * solved[at]).sum();
            solved[a] = (solved[a] - dot) / lower[a][a];
        }
        Some(
            solved
                .iter()
                .zip(&scale)
                .map(|(value, scale)| value / scale)
                .collect(),
        )
    }
}

/// The solution of the normal equations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fit {
    coefficients: Vector,
    samples: f64,
    at: Time,
}

impl Fit {
    /// Solves normal equations, which gives `None` before there are enough samples.
    pub fn new(normal: &Normal, now: Time) -> Option<Self> {
        let normal = normal.decayed(now);
        let is_enough = normal.samples >= MIN_SAMPLES;
        let coefficients = is_enough.then(|| normal.solve()).flatten()?;
        Some(Self {
            coefficients,
            samples: normal.samples,
            at: now,
        })
    }

    /// Returns the time at which the equations were solved.
    pub const fn at(&self) -> Time {
        self.at
    }

    /// Returns the expected time at the usual speed of an average server, in ms.
    pub fn expected_ms(&self, work: &Work) -> f64 {
        let terms = self.coefficients.iter().zip(sizes(work));
        let ms: f64 = terms.map(|(factor, size)| factor * size).sum();
        ms.max(MIN_MS)
    }

    /// Bounds a measured time by what is expected, if that is known well.
    pub fn cut(&self, ms: f64, expected_ms: f64) -> f64 {
        if self.samples < MIN_CUT_SAMPLES {
            return ms;
        }
        ms.clamp(expected_ms / MAX_FACTOR, expected_ms * MAX_FACTOR)
    }
}
