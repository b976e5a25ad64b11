//! The level of a service, with hysteresis.

use std::time::Duration;

use crate::core::fleet::load::Traffic;
use crate::core::limit::scarcity::Change;
use crate::core::limit::scarcity::Inputs;
use crate::core::limit::scarcity::Level;
use crate::core::limit::scarcity::Source;
use crate::core::time::Time;

/// Time constant of the rates; a level must rise within 1 s of its cause.
const RATE_TIME: Duration = Duration::from_millis(700);

/// Time constant of the capacity, which outlasts a short pause of all servers.
const CAPACITY_TIME: Duration = Duration::from_millis(1_500);

/// Growth of the mean time in progress over the usual one from which capacity is tight.
const TIGHT_GROWTH: f64 = 2.0;

/// Growth below which capacity is no longer tight.
const CALM_GROWTH: f64 = 1.5;

/// Requests in progress per slot below which nothing is short; automatic scaling plans for
/// up to 0.7 of the slots, so a busy fleet stays below it.
const MIN_OCCUPANCY: f64 = 0.75;

/// Requests per slot below which a level ends.
const CALM_OCCUPANCY: f64 = 0.7;

/// Requests per slot from which some surely wait at servers.
const FULL_OCCUPANCY: f64 = 1.0;

/// Completions per second below which the time in progress is not known.
const MIN_RATE: f64 = 2.0;

/// Time with inputs before anything is concluded from them.
const START_TIME: Duration = Duration::from_secs(3);

/// Time at the normal level after which the usual time is known.
const LEARN_TIME: Duration = Duration::from_secs(5);

/// Time constant of the usual time in progress while it is shorter than known.
const SHORTER_TIME: Duration = Duration::from_secs(2);

/// Time constant of the usual time in progress while it is longer than known.
const USUAL_TIME: Duration = Duration::from_secs(10);

/// Time for which a level outlasts its cause.
const CALM_TIME: Duration = Duration::from_secs(2);

/// Time in which the requests in progress are brought to their target. The sums are up to
/// 1.5 s old, and a shorter time would make the admitted rate swing.
const CORRECTION_TIME: Duration = Duration::from_secs(2);

/// Part of the capacity that ranks above the lowest may ask for. It is over 1 because each
/// entry knows their part only from its own few requests.
const HIGHER_FACTOR: f64 = 1.03;

/// Time in which the rate of higher ranks is corrected.
const HIGHER_TIME: Duration = Duration::from_secs(4);

/// Change of the admitted part of the capacity per second and unit of relative excess.
const TRIM_RATE: f64 = 0.25;

/// Relative excess up to which the admitted part of the capacity is adjusted.
const MAX_EXCESS: f64 = 0.1;

/// Bounds of the admitted part of the capacity.
const TRIM: (f64, f64) = (0.9, 1.25);

/// Smallest fraction of the capacity that is admitted, whatever is in progress.
const MIN_ROOM: f64 = 0.3;

/// Requests per slot that are aimed at. Below it slots are idle, and above it requests of a
/// high rank wait at their server until one of a lower rank ends.
const TARGET_OCCUPANCY: f64 = 1.0;

/// Mean wait at servers that is aimed at, as a fraction of the shortest objective,
/// where servers are busy before their slots are full.
const TARGET_WAIT: f64 = 0.25;

/// Growth of the mean time in progress from which servers are busy before their slots are
/// full, so that fewer requests are aimed at.
const TARGET_GROWTH: f64 = 1.25;

/// Smallest fraction of the capacity that is assumed to be left for the lowest rank.
const MIN_LEFT: f64 = 0.1;

/// Usual interval between two inputs.
const INPUT_INTERVAL: Duration = Duration::from_millis(500);

/// Longest interval between two inputs that counts as time with inputs.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// What the lowest rank asks for, and what it is predicted to get.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lowest {
    /// Shortest objective of the lowest rank.
    pub objective: Option<Duration>,
    /// Predicted time to the first byte of its responses.
    pub forecast: Option<Duration>,
    /// Shortest objective of any rank.
    pub shortest: Option<Duration>,
    /// Fraction of all requests that have a higher rank.
    pub higher: f64,
}

/// Derives the level of one service from the sums over all entries.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    level: Level,
    entered_at: Time,
    calm_since: Option<Time>,
    inputs: Option<Inputs>,
    updated_at: Option<Time>,
    /// Time with inputs, and the part of it at the normal level.
    observed: Duration,
    learned: Duration,
    mean: Traffic,
    /// Completions per second, more slowly smoothed.
    capacity: f64,
    /// Usual mean time in progress, in seconds.
    usual: Option<f64>,
    /// Factor of the capacity, and when it was adjusted.
    trim: f64,
    adjusted_at: Time,
    room: f64,
    higher_room: f64,
}

impl Detector {
    /// Creates a detector that knows nothing and stays at [`Level::Normal`].
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current level.
    pub const fn level(&self) -> Level {
        self.level
    }

    /// Returns the mean time in progress in seconds (Little's law), or 0 if unknown.
    pub fn progress(&self) -> f64 {
        match self.inputs {
            Some(inputs) if self.mean.completion_rate >= MIN_RATE => {
                inputs.traffic.in_flight / self.mean.completion_rate
            }
            _ => 0.0,
        }
    }

    /// Returns the mean wait at servers.
    pub fn wait(&self) -> Duration {
        let Some(inputs) = self.inputs else {
            return Duration::ZERO;
        };
        let queued = inputs.traffic.in_flight - inputs.slots;
        let by_slots = queued / self.mean.completion_rate.max(MIN_RATE);
        let by_time = self.usual.map_or(0.0, |usual| self.progress() - usual);
        Duration::from_secs_f64(by_slots.max(by_time).clamp(0.0, 3_600.0))
    }

    /// Returns the mean wait at servers when the next inputs are known, if what arrives is
    /// sent until then.
    fn coming_wait(&self, inputs: &Inputs) -> Duration {
        let growth = (self.mean.arrival_rate - self.capacity).max(0.0);
        let span = inputs.age + INPUT_INTERVAL;
        let coming = inputs.traffic.in_flight + growth * span.as_secs_f64();
        let wait = (coming - inputs.slots) / self.capacity.max(MIN_RATE);
        Duration::from_secs_f64(wait.clamp(0.0, 3_600.0))
    }

    /// Returns whether the servers have free slots, so that times are the usual ones.
    pub fn is_usual(&self) -> bool {
        self.level == Level::Normal && self.occupancy() < MIN_OCCUPANCY
    }

    /// Returns the requests per second for which there is room.
    pub const fn room(&self) -> f64 {
        self.room
    }

    /// Returns the requests per second of higher ranks than the lowest for which there is
    /// room.
    ///
    /// Servers start higher ranks first, so what is in progress beyond the target delays
    /// them less.
    pub fn higher_room(&self) -> f64 {
        self.higher_room.max(self.room)
    }

    /// Returns the requests per second that arrive.
    pub const fn arrival_rate(&self) -> f64 {
        self.mean.arrival_rate
    }

    /// Records new inputs, or that there are none, and returns the change of the level.
    pub fn record(&mut self, inputs: Option<Inputs>, lowest: &Lowest, now: Time) -> Option<Change> {
        let inputs = inputs.filter(Inputs::is_usable);
        // The sums of one source say nothing of those of another.
        if self.inputs.map(|inputs| inputs.source) != inputs.map(|inputs| inputs.source) {
            self.restart();
        }
        self.inputs = inputs;
        let Some(inputs) = inputs else {
            return self.enter(Level::Normal, now);
        };
        self.observe(&inputs, now);
        let target = self.find_target(&inputs, lowest.shortest);
        let excess = inputs.traffic.in_flight - target;
        self.adjust(excess / target.max(1.0), now);
        let least = self.capacity * MIN_ROOM;
        let corrected = |rate: f64, time: Duration| (rate - excess / time.as_secs_f64()).max(least);
        self.room = corrected(self.capacity * self.trim, CORRECTION_TIME);
        self.higher_room = corrected(self.capacity * HIGHER_FACTOR, HIGHER_TIME);
        let level = self.next_level(&inputs, lowest, now);
        self.enter(level, now)
    }

    fn restart(&mut self) {
        self.updated_at = None;
        self.observed = Duration::ZERO;
        self.learned = Duration::ZERO;
        self.usual = None;
    }

    fn observe(&mut self, inputs: &Inputs, now: Time) {
        let elapsed = self.updated_at.map(|at| now.since(at).min(MAX_INTERVAL));
        self.updated_at = Some(now);
        let weight = |time: Duration| match elapsed {
            Some(elapsed) => 1.0 - (-elapsed.as_secs_f64() / time.as_secs_f64()).exp(),
            None => 1.0,
        };
        let approach = |mean: &mut f64, value: f64, time| *mean += weight(time) * (value - *mean);
        let traffic = &inputs.traffic;
        let mean = &mut self.mean;
        approach(&mut mean.arrival_rate, traffic.arrival_rate, RATE_TIME);
        approach(
            &mut mean.completion_rate,
            traffic.completion_rate,
            RATE_TIME,
        );
        approach(&mut mean.in_flight, traffic.in_flight, RATE_TIME);
        let completed = mean.completion_rate;
        approach(&mut self.capacity, completed, CAPACITY_TIME);
        let elapsed = elapsed.unwrap_or_default();
        self.observed = self.observed.saturating_add(elapsed);
        let progress = self.progress();
        // The first requests take their time to complete.
        if self.level != Level::Normal || self.observed < START_TIME || progress == 0.0 {
            return;
        }
        let known = *self.usual.get_or_insert(progress);
        let is_free = self.occupancy() < MIN_OCCUPANCY;
        self.learned = self.learned.saturating_add(elapsed);
        // A shorter time shows what is usual even if most slots are in use.
        if progress < known {
            self.usual = Some(known + weight(SHORTER_TIME) * (progress - known));
        } else if is_free {
            self.usual = Some(known + weight(USUAL_TIME) * (progress - known));
        }
    }

    fn occupancy(&self) -> f64 {
        self.inputs
            .map_or(0.0, |inputs| inputs.traffic.in_flight / inputs.slots)
    }

    /// Adjusts the rate for requests that entries admit beyond their plan or short of it,
    /// which shows as a lasting difference from the target.
    fn adjust(&mut self, excess: f64, now: Time) {
        let elapsed = now.since(self.adjusted_at).min(MAX_INTERVAL);
        self.adjusted_at = now;
        let trim = self.trim - TRIM_RATE * excess * elapsed.as_secs_f64();
        // A backlog, or a lack of requests, says nothing of the plan.
        let is_planned = excess.abs() < MAX_EXCESS && self.mean.arrival_rate > self.room;
        self.trim = match self.level {
            Level::Normal => 1.0,
            _ if is_planned => trim.clamp(TRIM.0, TRIM.1),
            _ => self.trim,
        };
    }

    /// Returns the number of requests in progress that uses the servers fully.
    fn find_target(&self, inputs: &Inputs, shortest: Option<Duration>) -> f64 {
        let wait = shortest.unwrap_or_default().as_secs_f64() * TARGET_WAIT;
        let full = inputs.slots * TARGET_OCCUPANCY;
        let progress = self.progress();
        match self.usual {
            Some(usual) if progress > 0.0 => {
                let part = (usual * TARGET_GROWTH + wait) / progress;
                full * part.clamp(MIN_OCCUPANCY, 1.0)
            }
            _ => full,
        }
    }

    fn next_level(&mut self, inputs: &Inputs, lowest: &Lowest, now: Time) -> Level {
        let cause = self.cause(inputs, lowest);
        let is_held = cause >= self.level || !self.is_calm(cause);
        if is_held {
            self.calm_since = None;
            return cause.max(self.level);
        }
        let since = *self.calm_since.get_or_insert(now);
        if now.since(since) < CALM_TIME {
            return self.level;
        }
        self.calm_since = None;
        match self.level {
            Level::Scarce => Level::Tight,
            _ => Level::Normal,
        }
    }

    /// Returns the level that the inputs alone call for.
    fn cause(&self, inputs: &Inputs, lowest: &Lowest) -> Level {
        let Traffic {
            arrival_rate,
            completion_rate,
            ..
        } = self.mean;
        if self.observed < START_TIME || completion_rate.max(self.capacity) < MIN_RATE {
            return Level::Normal;
        }
        // Rates vary by the square root of the count.
        let noise = ((arrival_rate + completion_rate) / RATE_TIME.as_secs_f64()).sqrt();
        let is_filling = arrival_rate >= completion_rate - noise;
        let occupancy = self.occupancy();
        let usual = self.usual.filter(|_| self.learned >= LEARN_TIME);
        let has_grown = usual.is_some_and(|usual| self.progress() >= usual * TIGHT_GROWTH);
        let is_tight = occupancy >= FULL_OCCUPANCY || occupancy >= MIN_OCCUPANCY && has_grown;
        if !is_filling || !is_tight {
            return Level::Normal;
        }
        let Some(objective) = lowest.objective else {
            return Level::Tight;
        };
        // Servers start higher ranks first, so the lowest gets what they leave.
        let left = (1.0 - lowest.higher * arrival_rate / self.capacity.max(MIN_RATE)).max(MIN_LEFT);
        let wait = self.coming_wait(inputs).max(self.wait()).div_f64(left);
        // One entry sees few responses, so the wait over all entries must agree.
        let is_seen = lowest.forecast.is_some_and(|first| first > objective);
        let is_late = wait > objective || is_seen && wait * 2 > objective;
        let is_short = inputs.source == Source::Fleet || is_seen;
        match is_late && is_short {
            true => Level::Scarce,
            false => Level::Tight,
        }
    }

    /// Returns whether nothing of the current level is left.
    fn is_calm(&self, cause: Level) -> bool {
        if self.occupancy() < CALM_OCCUPANCY {
            return true;
        }
        match self.level {
            // What was refused is still short as long as it is asked for.
            Level::Scarce => cause < Level::Scarce && self.mean.arrival_rate <= self.room,
            Level::Tight => {
                let growth = self.usual.map_or(1.0, |usual| self.progress() / usual);
                cause == Level::Normal && (growth < CALM_GROWTH || self.occupancy() < 1.0)
            }
            Level::Normal => true,
        }
    }

    fn enter(&mut self, level: Level, now: Time) -> Option<Change> {
        if level == self.level {
            return None;
        }
        let change = Change {
            from: self.level,
            to: level,
            lasted: now.since(self.entered_at),
            inputs: self.inputs,
            time: Duration::from_secs_f64(self.progress().min(3_600.0)),
            usual: self.usual.map(Duration::from_secs_f64),
            room: self.room,
        };
        self.level = level;
        self.entered_at = now;
        self.calm_since = None;
        Some(change)
    }
}
