//! Answers of both versions that may be rejections of bad requests or faults of a version.
//!
//! Callers send requests to either version at random. If one version rejects clearly more of
//! them than the other in the same time, it is not the requests.

use crate::core::Name;
use crate::core::moves::detector::RouteCounts;

/// Smallest share of the answers that the new version rejects and the old one would not, from
/// which the difference counts.
const MIN_EXCESS: f64 = 0.08;

/// Maximum number of statuses on a route that are counted apart.
const MAX_STATUSES: usize = 8;

/// Maximum number of intervals that are kept apart.
const MAX_INTERVALS: usize = 16;

/// Answers of the old version from which the intervals with them are compared by themselves.
const MIN_OLD_ANSWERS: u64 = 20;

/// Stands for all statuses beyond [`MAX_STATUSES`].
const OTHER_STATUSES: u16 = 1;

/// Stands for all answers in a row that nodes exchange.
const ALL_ANSWERS: u16 = 0;

/// Separates the route and the status in the name of a row that nodes exchange.
const ROW_SEPARATOR: char = '\u{1f}';

/// Numbers of answers of both versions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pair {
    /// Answers of the new version.
    pub new: u64,
    /// Answers of the old version.
    pub old: u64,
}

impl Pair {
    /// Creates the numbers of a single answer.
    pub const fn one(is_new: bool) -> Self {
        Self {
            new: is_new as u64,
            old: !is_new as u64,
        }
    }

    fn add(&mut self, other: Pair) {
        self.new += other.new;
        self.old += other.old;
    }
}

/// The largest difference between the versions that was found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    /// The status, or `None` for all rejections together.
    pub status: Option<u16>,
    /// Rejections with that status.
    pub rejected: Pair,
    /// Logarithm of the likelihood ratio of two different rates to a common one.
    pub log_ratio: f64,
}

/// Answers that are no failures, and the rejections among them.
///
/// # Invariants
///
/// `statuses` is sorted by status, without repeats.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    answers: Pair,
    statuses: Vec<(u16, Pair)>,
}

impl Counts {
    /// Adds answers, of which none or all are rejections with `status`.
    pub fn add(&mut self, answers: Pair, status: Option<u16>) {
        self.answers.add(answers);
        if let Some(status) = status {
            self.add_rejected(status, answers);
        }
    }

    fn add_rejected(&mut self, status: u16, rejected: Pair) {
        match self.statuses.binary_search_by_key(&status, |row| row.0) {
            Ok(index) => self.statuses[index].1.add(rejected),
            Err(_) if self.statuses.len() >= MAX_STATUSES && status != OTHER_STATUSES => {
                self.add_rejected(OTHER_STATUSES, rejected);
            }
            Err(index) => self.statuses.insert(index, (status, rejected)),
        }
    }

    fn merge(&mut self, other: &Counts) {
        self.answers.add(other.answers);
        for (status, rejected) in &other.statuses {
            self.add_rejected(*status, *rejected);
        }
    }

    /// Returns the numbers of rejections with `status`, or of all.
    fn rejected(&self, status: Option<u16>) -> Pair {
        let mut sum = Pair::default();
        let rows = self.statuses.iter();
        let rows = rows.filter(|row| status.is_none_or(|status| status == row.0));
        rows.for_each(|row| sum.add(row.1));
        sum
    }

    /// Returns the rows of the counters that nodes exchange.
    ///
    /// They have no responses, so that nodes of earlier versions pass over them: `failed`
    /// holds the answers of the new version and `slow` those of the old one.
    pub fn rows(&self, route: &str) -> impl Iterator<Item = (Name, RouteCounts)> {
        let statuses = self.statuses.iter().copied();
        let rows = statuses.chain([(ALL_ANSWERS, self.answers)]);
        rows.map(move |(status, pair)| {
            let counts = RouteCounts {
                responses: 0,
                failed: pair.new,
                slow: pair.old,
            };
            (format!("{route}{ROW_SEPARATOR}{status}").into(), counts)
        })
    }

    /// Adds a row of the counters of another node.
    fn add_row(&mut self, status: u16, counts: &RouteCounts) {
        let pair = Pair {
            new: counts.failed,
            old: counts.slow,
        };
        if status == ALL_ANSWERS {
            self.answers.add(pair);
        } else {
            self.add_rejected(status, pair);
        }
    }
}

/// The answers on one route during a move, by interval.
///
/// The traffic shares of the versions change during a move, and so may what callers send. The
/// versions are compared within intervals, so that only answers of the same time are.
#[derive(Clone, Debug, Default)]
pub struct Rejections {
    total: Counts,
    intervals: Vec<Counts>,
}

impl Rejections {
    /// Adds answers, of which none or all are rejections with `status`.
    pub fn add(&mut self, answers: Pair, status: Option<u16>) {
        self.total.add(answers, status);
        self.interval().add(answers, status);
    }

    /// Adds a row of the counters of another node.
    pub fn add_row(&mut self, status: u16, counts: &RouteCounts) {
        self.total.add_row(status, counts);
        self.interval().add_row(status, counts);
    }

    fn interval(&mut self) -> &mut Counts {
        if self.intervals.is_empty() {
            self.intervals.push(Counts::default());
        }
        let last = self.intervals.len() - 1;
        &mut self.intervals[last]
    }

    /// Begins an interval; the oldest ones become one if there are many.
    pub fn begin_interval(&mut self) {
        if self.intervals.len() >= MAX_INTERVALS {
            let oldest = self.intervals.remove(0);
            self.intervals[0].merge(&oldest);
        }
        self.intervals.push(Counts::default());
    }

    /// Returns the numbers of all answers.
    pub const fn answers(&self) -> Pair {
        self.total.answers
    }

    /// Returns the numbers of rejections.
    pub fn rejected(&self) -> Pair {
        self.total.rejected(None)
    }

    /// Returns whether there are rejections.
    pub fn has_any(&self) -> bool {
        !self.total.statuses.is_empty()
    }

    /// Returns the largest difference by which the new version rejects more.
    ///
    /// The rejections are compared by status and all together, since a version may replace
    /// one status by another, or reject with many.
    pub fn difference(&self) -> Option<Difference> {
        if !self.has_any() {
            return None;
        }
        let strata = self.strata();
        let statuses = self.total.statuses.iter().map(|row| Some(row.0));
        let differences = statuses.chain([None]).map(|status| {
            let rows = strata.iter();
            let rows = rows.map(|row| (row.rejected(status), row.answers));
            Difference {
                status,
                rejected: self.total.rejected(status),
                log_ratio: log_ratio(rows),
            }
        });
        differences
            .filter(|row| row.log_ratio > 0.0)
            .max_by(|a, b| a.log_ratio.total_cmp(&b.log_ratio))
    }

    /// Returns the answers of groups of intervals in which the old version has enough.
    fn strata(&self) -> Vec<Counts> {
        let mut strata: Vec<Counts> = Vec::new();
        let mut open = Counts::default();
        for interval in &self.intervals {
            open.merge(interval);
            if open.answers.old >= MIN_OLD_ANSWERS {
                strata.push(std::mem::take(&mut open));
            }
        }
        match strata.last_mut() {
            Some(last) => last.merge(&open),
            None => strata.push(open),
        }
        strata
    }
}

/// Returns the route and the status of a row that nodes exchange.
pub fn parse_row(name: &str) -> Option<(Name, u16)> {
    let (route, status) = name.rsplit_once(ROW_SEPARATOR)?;
    Some((route.into(), status.parse().ok()?))
}

/// Returns the logarithm of the likelihood ratio of two different rates to a common one, or 0
/// if the new version does not reject clearly more.
///
/// `strata` holds the rejections and the answers of each time. The rate of the old version is
/// the one that it would have with the new version's share of the answers of each time, and
/// counts as that of as many answers as have its variance. The second rate is fitted, so half
/// the logarithm of their number is subtracted (Schwarz, 1978, "Estimating the dimension of a
/// model").
fn log_ratio(strata: impl Iterator<Item = (Pair, Pair)>) -> f64 {
    let (mut hits, mut answers, mut expected, mut spread) = (0.0, 0.0, 0.0, 0.0);
    for (rejected, all) in strata.filter(|(_, all)| all.new > 0 && all.old > 0) {
        let (new, old) = (all.new as f64, all.old as f64);
        hits += (rejected.new as f64).min(new);
        answers += new;
        expected += new * (rejected.old as f64 / old).min(1.0);
        spread += new * new / old;
    }
    if answers == 0.0 {
        return 0.0;
    }
    let (new, old) = (hits / answers, expected / answers);
    if old >= 1.0 || (new - old) / (1.0 - old) < MIN_EXCESS {
        return 0.0;
    }
    let old_answers = answers * answers / spread;
    let all = answers + old_answers;
    let common = (hits + old * old_answers) / all;
    // The logarithm of the likelihood of answers at `rate` instead of `common`.
    let gain = |count: f64, rate: f64| {
        let term = |rate: f64, common: f64| {
            if rate > 0.0 {
                rate * (rate / common).ln()
            } else {
                0.0
            }
        };
        count * (term(rate, common) + term(1.0 - rate, 1.0 - common))
    };
    (gain(answers, new) + gain(old_answers, old) - all.ln() / 2.0).max(0.0)
}
