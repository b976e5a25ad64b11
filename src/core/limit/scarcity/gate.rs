//! Decides on the requests for one service at one entry.

use std::time::Duration;

use crate::core::Name;
use crate::core::limit::PendingRequest;
use crate::core::limit::queue::AdmissionQueue;
use crate::core::limit::queue::SubmitOutcome;
use crate::core::limit::scarcity::Cause;
use crate::core::limit::scarcity::Change;
use crate::core::limit::scarcity::Inputs;
use crate::core::limit::scarcity::Level;
use crate::core::limit::scarcity::Refused;
use crate::core::limit::scarcity::detector::Detector;
use crate::core::limit::scarcity::detector::Lowest;
use crate::core::limit::scarcity::mix::Mix;
use crate::core::limit::scarcity::outlook::Outlook;
use crate::core::limit::scarcity::plan::Plan;
use crate::core::route::Forecast;
use crate::core::time::Time;

/// Part of its route's objective for which a request may be held.
const HOLD_FRACTION: u32 = 8;

/// Interval at which held requests are looked at; they are released that much earlier.
pub const RELEASE_INTERVAL: Duration = Duration::from_millis(10);

/// Largest number of held requests of a service; their bodies are bounded by the memory
/// reserved for open requests.
const MAX_HELD: u64 = 1_024;

/// Time in which each request has had each place once.
const ROTATION: Duration = Duration::from_secs(4);

/// Part of the admitted places to which callers that return are spread.
const RETURN_PLACES: (f64, f64) = (0.05, 0.25);

/// Shortest time after which a refused caller is told to return.
const MIN_WAIT: Duration = Duration::from_millis(150);

/// Longest time after which a refused caller is told to return.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Time at the admitted rate whose requests may start at once after a lull.
const BURST_TIME: f64 = 0.1;

/// Number of requests that may start beyond the admitted rate before it is kept again.
const MAX_DEBT: f64 = 4.0;

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identifies the request within this entry.
    pub id: u64,
    /// Route of the request.
    pub route: Name,
    /// Workspace of the request, or an empty name.
    pub workspace: Name,
    /// Rank of the request; 0 is first.
    pub rank: u8,
    /// Objective of the route for the time to the first byte.
    pub objective: Duration,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// A number that repetitions of the request share.
    pub draw: u64,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Ruling {
    /// It may be sent to a server.
    Pass,
    /// It waits until [`Gate::release`] returns its id.
    Hold,
    /// It is refused and did not run.
    Refuse(Box<Refused>),
}

/// A held request and the time since when it is held.
#[derive(Clone, Debug)]
struct Held {
    arrival: Arrival,
    since: Time,
}

/// Admission to one service at one entry.
#[derive(Debug)]
pub struct Gate {
    detector: Detector,
    mix: Mix,
    outlook: Outlook,
    plan: Plan,
    queue: AdmissionQueue,
    /// Held requests, sorted by id.
    held: Vec<Held>,
    /// Requests that may start now at the level [`Level::Tight`].
    credit: f64,
    refilled_at: Time,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            detector: Detector::new(),
            mix: Mix::new(),
            outlook: Outlook::new(),
            plan: Plan::default(),
            queue: AdmissionQueue::new().with_max_work(MAX_HELD),
            held: Vec::new(),
            credit: 0.0,
            refilled_at: Time::default(),
        }
    }
}

impl Gate {
    /// Creates a gate at [`Level::Normal`].
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the level of the service.
    pub const fn level(&self) -> Level {
        self.detector.level()
    }

    /// Returns the number of held requests.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Records new inputs, or that there are none, and returns the change of the level.
    pub fn refresh(&mut self, inputs: Option<Inputs>, now: Time) -> Option<Change> {
        self.mix.decay(now);
        let lowest = match self.mix.lowest() {
            Some(row) => Lowest {
                objective: Some(row.objective),
                forecast: self
                    .forecast(&row.route, now)
                    .map(|forecast| forecast.first),
                shortest: self.mix.shortest_objective(),
                higher: self.mix.higher(),
            },
            None => Lowest::default(),
        };
        let change = self.detector.record(inputs, &lowest, now);
        self.plan = match self.level() {
            Level::Normal => Plan::default(),
            _ => Plan::new(
                &self.mix,
                self.detector.arrival_rate(),
                self.detector.room(),
                self.detector.higher_room(),
            ),
        };
        change
    }

    /// Records the time from sending a request to the first byte of its response.
    pub fn record_first(&mut self, route: &Name, took: Duration, now: Time) {
        let progress = self.detector.progress();
        let is_usual = self.detector.is_usual();
        self.outlook.record(route, took, progress, is_usual, now);
    }

    /// Predicts the time to the first byte of a request that is sent now.
    pub fn forecast(&self, route: &str, now: Time) -> Option<Forecast> {
        let progress = self.detector.progress();
        let wait = self.detector.wait();
        self.outlook.forecast(route, progress, wait, now)
    }

    /// Decides on a request that arrives; `random` is a random number from 0 to 1.
    pub fn offer(&mut self, arrival: Arrival, random: f64, now: Time) -> Ruling {
        self.mix.count(
            arrival.rank,
            &arrival.workspace,
            &arrival.route,
            arrival.objective,
        );
        match self.level() {
            Level::Normal => Ruling::Pass,
            Level::Tight => self.hold(arrival, now),
            Level::Scarce => self.select(&arrival, random, Duration::ZERO, now),
        }
    }

    /// Returns the held requests whose outcome is known now, with their time held.
    pub fn release(&mut self, random: f64, now: Time) -> Vec<(u64, Duration, Ruling)> {
        if self.held.is_empty() {
            return Vec::new();
        }
        let ids = match self.level() {
            Level::Tight => {
                self.refill(now);
                let mut ids = self.queue.expire(now);
                ids.extend(self.queue.dequeue(self.credit.max(0.0) as u32));
                self.spend(ids.len());
                ids
            }
            Level::Normal | Level::Scarce => self.queue.dequeue(u32::MAX),
        };
        let taken = ids.into_iter().filter_map(|id| self.take(id));
        let taken: Vec<Held> = taken.collect();
        let decide = |held: Held| {
            let waited = now.since(held.since);
            let ruling = match self.level() {
                Level::Scarce => self.select(&held.arrival, random, waited, now),
                _ => Ruling::Pass,
            };
            (held.arrival.id, waited, ruling)
        };
        taken.into_iter().map(decide).collect()
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, id: u64) {
        self.queue.cancel(id);
        self.take(id);
    }

    /// Removes and returns all held requests, because the entry stops.
    pub fn drain(&mut self) -> Vec<u64> {
        self.held.clear();
        self.queue.dequeue(u32::MAX)
    }

    fn take(&mut self, id: u64) -> Option<Held> {
        let index = self
            .held
            .binary_search_by_key(&id, |held| held.arrival.id)
            .ok()?;
        Some(self.held.remove(index))
    }

    /// Starts a request if the rate allows it, and holds it for a short time otherwise.
    fn hold(&mut self, arrival: Arrival, now: Time) -> Ruling {
        self.refill(now);
        let limit = arrival.objective / HOLD_FRACTION;
        if limit <= RELEASE_INTERVAL {
            self.spend(1);
            return Ruling::Pass;
        }
        let pending = PendingRequest {
            id: arrival.id,
            workspace: arrival.workspace.clone(),
            weight: 1,
            work: 1,
            deadline: now + limit,
            service_time: RELEASE_INTERVAL,
            rank: arrival.rank,
        };
        match self.queue.submit(pending, self.credit.max(0.0) as u32, now) {
            SubmitOutcome::Queued => {
                let at = self
                    .held
                    .partition_point(|held| held.arrival.id < arrival.id);
                let since = now;
                self.held.insert(at, Held { arrival, since });
                Ruling::Hold
            }
            // Nothing is refused for lack of places to wait.
            SubmitOutcome::Start | SubmitOutcome::Refused(_) => {
                self.spend(1);
                Ruling::Pass
            }
        }
    }

    /// Adds the requests that may start since the last time at this entry's part of the
    /// rate.
    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let all = self.detector.arrival_rate().max(f64::MIN_POSITIVE);
        let rate = self.detector.room() * (self.mix.rate() / all).min(1.0);
        let most = (rate * BURST_TIME).max(1.0);
        self.credit = (self.credit + rate * elapsed).min(most);
    }

    fn spend(&mut self, count: usize) {
        self.credit = (self.credit - count as f64).max(-MAX_DEBT);
    }

    /// Passes or refuses a request by its rank and its place.
    ///
    /// The place of a request moves at the same rate at all entries, so that a caller who
    /// returns after the stated time has a place that is admitted, at any entry.
    fn select(&self, arrival: &Arrival, random: f64, held: Duration, now: Time) -> Ruling {
        let (share, floor) = self.plan.share(arrival.rank, &arrival.workspace);
        let place = place(arrival.draw, now);
        if place < floor {
            return Ruling::Pass;
        }
        let forecast = self.forecast(&arrival.route, now);
        let left = arrival.deadline.since(now);
        let late = forecast.map_or(Duration::ZERO, |forecast| {
            forecast.first.saturating_sub(left)
        });
        if late.is_zero() && place < share {
            return Ruling::Pass;
        }
        let admitted = if late.is_zero() { share } else { floor };
        let (first, last) = RETURN_PLACES;
        let target = admitted * (first + (last - first) * random);
        let wait = ROTATION.mul_f64((place - target).max(0.0)).max(late);
        Ruling::Refuse(Box::new(Refused {
            cause: match late.is_zero() {
                true => Cause::Rank,
                false => Cause::Deadline,
            },
            level: self.level(),
            rank: arrival.rank,
            place,
            share: admitted,
            forecast,
            wait: wait.clamp(MIN_WAIT, MAX_WAIT),
            held,
        }))
    }
}

/// Returns the place of a request among all, from 0 to 1, which falls over time.
fn place(draw: u64, now: Time) -> f64 {
    let rotation = ROTATION.as_micros() as u64;
    let offset = draw % rotation;
    let phase = (offset + rotation - now.0 % rotation) % rotation;
    phase as f64 / rotation as f64
}
