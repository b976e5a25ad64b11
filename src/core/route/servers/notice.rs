//! What servers state about themselves in their answers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::route::servers::LoadReport;
use crate::core::route::servers::Servers;
use crate::core::route::servers::closure::Closure;
use crate::core::route::servers::cold::Source;
use crate::core::route::servers::cold::Stated;
use crate::core::time::Time;

/// Time after which a server that announced its end and is no longer listed is
/// forgotten.
///
/// An older listing may show such a server again.
const ANNOUNCED_RETENTION: Duration = Duration::from_secs(3_600);

/// Time for which nodes tell each other that a server has announced its end.
const NEWS_TIME: Duration = Duration::from_secs(10);

/// Maximum number of departures in one message.
const MAX_NEWS: usize = 256;

/// A statement of a server that can be ignored as invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Statement {
    /// The server is leaving.
    Leaving,
    /// The server turns requests away for some time.
    TurnedAway,
    /// How long work takes at the server at the moment.
    WorkTime,
    /// For how long the server stays cold.
    Cold,
}

impl Statement {
    /// Returns the label used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Statement::Leaving => "leaving",
            Statement::TurnedAway => "turned_away",
            Statement::WorkTime => "work_time",
            Statement::Cold => "cold",
        }
    }
}

/// A statement that is not acted on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ignored {
    /// The kind of the statement.
    pub statement: Statement,
    /// The text received.
    pub value: Name,
}

impl Ignored {
    fn turned_away(closed_s: f64) -> Self {
        Self {
            statement: Statement::TurnedAway,
            value: closed_s.to_string().into(),
        }
    }
}

/// What a server states about itself in the head of an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Notice {
    /// Load of the server.
    pub load: Option<LoadReport>,
    /// Requests per second that it accepts from all nodes together, if it limits them.
    pub rate_limit: Option<f64>,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Seconds for which it wants no requests of this node, as stated.
    pub closed_s: Option<f64>,
    /// Whether the address now belongs to another server.
    pub is_misdirected: bool,
    /// Time for which the server stays cold, if it states one.
    pub cold: Stated,
    /// Statements that cannot be understood.
    pub invalid: Vec<Ignored>,
}

/// The request that an answer names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// The request that was sent.
    Own,
    /// None.
    Unnamed,
    /// Another request.
    Other,
}

/// The circumstances in which a notice was received.
#[derive(Clone, Debug)]
pub struct Receipt {
    /// The request that was sent.
    pub request: Name,
    /// Time at which it was sent.
    pub sent: Time,
    /// Whether the server accepted it.
    pub is_accepted: bool,
    /// The request that the answer names.
    pub origin: Origin,
    /// Whether the answer is signed, which one to a rejected request need not be.
    pub is_signed: bool,
    /// Random number from 0 to 1.
    pub random: f64,
    /// Current time.
    pub now: Time,
}

/// A change that a notice makes.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The server has another rate limit, or none.
    RateLimit(Option<f64>),
    /// The server is leaving and gets no more requests.
    Leaving,
    /// The server was open and turns requests away from now on.
    Closed(Closure),
    /// The server accepts requests again.
    Opened(Closure),
    /// Nothing, because the statement is invalid or not about this server.
    Ignored(Ignored),
}

/// A server that has announced that it leaves, as nodes tell each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// Incarnation of the server.
    pub server: Name,
    /// Time since the announcement.
    pub age: Duration,
}

impl Notice {
    /// Returns the statements that can close a server, as ignored ones.
    fn closing(&self) -> Vec<Ignored> {
        let leaving = self.is_leaving.then(|| Ignored {
            statement: Statement::Leaving,
            value: "1".into(),
        });
        let closed = self.closed_s.map(Ignored::turned_away);
        leaving.into_iter().chain(closed).collect()
    }
}

impl Servers {
    /// Records what a server states about itself and returns the changes.
    ///
    /// An answer that names another request or none may come from an earlier exchange,
    /// so it changes nothing.
    pub fn record_notice(&mut self, id: &str, notice: &Notice, receipt: &Receipt) -> Vec<Change> {
        let mut changes: Vec<Change> = notice
            .invalid
            .iter()
            .cloned()
            .map(Change::Ignored)
            .collect();
        if receipt.origin != Origin::Own || notice.is_misdirected {
            changes.extend(notice.closing().into_iter().map(Change::Ignored));
        }
        if receipt.origin != Origin::Own {
            return changes;
        }
        if notice.is_misdirected {
            self.set_leaving(id);
            return changes;
        }
        let now = receipt.now;
        if let Some(load) = notice.load {
            self.record_load(id, load, now);
        }
        self.record_cold(id, &notice.cold, Source::Health, now);
        let limit = notice.rate_limit;
        if (limit.is_some() || receipt.is_signed)
            && self.record_rate_limit(id, limit, receipt.random, now)
        {
            changes.push(Change::RateLimit(limit));
        }
        if notice.is_leaving && self.announce_leaving(id, now, now) {
            changes.push(Change::Leaving);
        }
        changes.extend(self.record_closure(id, notice, receipt));
        changes
    }

    /// Closes a server that turned a request away, or opens it if it accepted one.
    fn record_closure(&mut self, id: &str, notice: &Notice, receipt: &Receipt) -> Option<Change> {
        let Some(closed_s) = notice.closed_s else {
            let is_accepted = receipt.is_accepted;
            let opened = is_accepted.then(|| self.open(id, receipt.sent)).flatten();
            return opened.map(Change::Opened);
        };
        let Some(closure) = Closure::new(&receipt.request, closed_s, receipt.now) else {
            return Some(Change::Ignored(Ignored::turned_away(closed_s)));
        };
        let was_open = self.close(id, &closure, receipt.sent);
        was_open.then_some(Change::Closed(closure))
    }

    /// Records that a server announced at `at` that it leaves, and returns whether it was
    /// not known to leave.
    pub(super) fn announce_leaving(&mut self, id: &str, at: Time, now: Time) -> bool {
        let Some((name, _)) = self.by_id.get_key_value(id) else {
            return false;
        };
        let name = name.clone();
        if self.announced.get(id).is_none() {
            let by_id = &self.by_id;
            self.announced
                .retain(|id, at| now.since(*at) < ANNOUNCED_RETENTION || by_id.get(id).is_some());
            self.announced.insert(name, at);
        }
        self.set_leaving(id)
    }

    /// Records what another node tells and returns whether the server was not known to
    /// leave.
    pub fn record_departure(&mut self, departure: &Departure, now: Time) -> bool {
        let age = departure.age.as_micros() as u64;
        let at = Time(now.0.saturating_sub(age));
        self.announce_leaving(&departure.server, at, now)
    }

    /// Returns the recent departures, for other nodes.
    ///
    /// If one message does not hold them all, each message goes on where the one before
    /// it ended.
    pub fn departures(&mut self, now: Time) -> Vec<Departure> {
        let mut recent: Vec<Departure> = self
            .announced
            .iter()
            .map(|(server, at)| Departure {
                server: server.clone(),
                age: now.since(*at),
            })
            .filter(|departure| departure.age < NEWS_TIME)
            .collect();
        let last_told = self.last_told.as_ref();
        let told = recent.partition_point(|departure| Some(&departure.server) <= last_told);
        recent.rotate_left(told);
        recent.truncate(MAX_NEWS);
        self.last_told = recent.last().map(|departure| departure.server.clone());
        recent
    }

    /// Returns whether a server has announced that it leaves.
    pub fn has_announced(&self, id: &str) -> bool {
        self.announced.get(id).is_some()
    }
}
