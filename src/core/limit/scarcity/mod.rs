//! Whether a service can serve what arrives, and whom it serves first if it can't.
//!
//! Each entry derives a [`Level`] for each service from the same sums over all entries, so
//! that all entries decide alike without a message. [`detector::Detector`] holds the level,
//! [`outlook::Outlook`] predicts the time to the first byte, [`mix::Mix`] counts what is
//! asked for, [`plan::Plan`] divides the capacity, and [`gate::Gate`] decides on requests.

use std::fmt;
use std::time::Duration;

use crate::core::fleet::load::Traffic;
use crate::core::route::Forecast;

pub mod detector;
pub mod gate;
pub mod mix;
pub mod outlook;
pub mod plan;

/// Age from which the sums over all entries are not used.
pub const MAX_AGE: Duration = Duration::from_secs(2);

/// How short of capacity a service is.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Level {
    /// All requests pass at once.
    #[default]
    Normal,
    /// Work arrives faster than it completes; requests may be held for a short time.
    Tight,
    /// Requests of the lowest priority would begin past their objective; some are refused.
    Scarce,
}

impl Level {
    /// Returns the label used in events and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Level::Normal => "normal",
            Level::Tight => "tight",
            Level::Scarce => "scarce",
        }
    }
}

/// Whose requests the inputs of a level cover.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// Those of all entries.
    Fleet,
    /// Those of this entry alone, with the load reports of its servers.
    Own,
}

/// What is known of a service at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Inputs {
    /// Requests in progress, arriving and completed.
    pub traffic: Traffic,
    /// Slots of the usable servers, or the part of them that `traffic` can use.
    pub slots: f64,
    /// Number of usable servers.
    pub servers: u32,
    /// Age of the oldest input.
    pub age: Duration,
    /// Whose requests are covered.
    pub source: Source,
}

impl Inputs {
    /// Returns whether a level can be derived from the inputs.
    fn is_usable(&self) -> bool {
        let Traffic {
            in_flight,
            arrival_rate,
            completion_rate,
        } = self.traffic;
        let figures = [in_flight, arrival_rate, completion_rate, self.slots];
        let is_valid = |figure: &f64| figure.is_finite() && (0.0..=MAX_FIGURE).contains(figure);
        self.slots > 0.0 && self.age <= MAX_AGE && figures.iter().all(is_valid)
    }
}

/// Largest figure of the inputs that is believed; 10,000 servers have far fewer slots.
const MAX_FIGURE: f64 = 1e8;

impl fmt::Display for Inputs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Traffic {
            in_flight,
            arrival_rate,
            completion_rate,
        } = self.traffic;
        let source = match self.source {
            Source::Fleet => "all entries",
            Source::Own => "this entry",
        };
        write!(
            f,
            "{in_flight:.0} requests in progress on {:.0} slots of {} servers, \
             {arrival_rate:.0}/s arriving and {completion_rate:.0}/s completed at {source} as \
             of {} ms ago",
            self.slots,
            self.servers,
            self.age.as_millis()
        )
    }
}

/// A change of the level of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Level before.
    pub from: Level,
    /// Level from now on.
    pub to: Level,
    /// Time for which the level before has lasted.
    pub lasted: Duration,
    /// The inputs, or `None` if the level ended because there are none.
    pub inputs: Option<Inputs>,
    /// Mean time in progress now and as usual, if known.
    pub time: Duration,
    /// Usual mean time in progress, if it has been learned.
    pub usual: Option<Duration>,
    /// Requests per second for which there is room.
    pub room: f64,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Its response would begin after the deadline.
    Deadline,
    /// Requests of higher ranks, or as many of the same rank, need the capacity.
    Rank,
}

impl Cause {
    /// Returns the label used in events and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Cause::Deadline => "deadline",
            Cause::Rank => "rank",
        }
    }
}

/// The inputs of a decision to refuse a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Refused {
    /// Why it is refused.
    pub cause: Cause,
    /// Level of the service.
    pub level: Level,
    /// Rank of the request; 0 is first.
    pub rank: u8,
    /// Place of the request among those of its rank and workspace, from 0 to 1.
    pub place: f64,
    /// Fraction of them that is admitted.
    pub share: f64,
    /// Predicted time until the response would begin, if known.
    pub forecast: Option<Forecast>,
    /// Time after which the request has a place that is admitted.
    pub wait: Duration,
    /// Time for which it was held.
    pub held: Duration,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "level {}, rank {}, place {:.2} where those below {:.2} are admitted, held {} ms, ",
            self.level.as_str(),
            self.rank,
            self.place,
            self.share,
            self.held.as_millis()
        )?;
        match &self.forecast {
            Some(forecast) => write!(
                f,
                "forecast {} ms from data of {} ms ago",
                forecast.first.as_millis(),
                forecast.age.as_millis()
            ),
            None => f.write_str("no forecast"),
        }
    }
}
