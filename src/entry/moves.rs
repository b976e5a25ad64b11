//! Version moves: which part of a service's traffic a new version gets.

use std::sync::Mutex;
use std::time::Duration;

use crate::core::Name;
use crate::core::moves::canary;
use crate::core::moves::canary::Canary;
use crate::core::moves::canary::Stage;
use crate::core::moves::judge::Evidence;
use crate::core::moves::judge::Sample;
use crate::core::table::Table;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::outside::Declared;
use crate::entry::outside::Outcome;
use crate::telemetry::events::Event;

/// The version moves that this entry knows of, by service.
#[derive(Default)]
pub struct Moves {
    rows: Mutex<Table<Canary>>,
}

/// The version that a request should go to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Preference {
    /// The version, or any.
    pub version: Option<Name>,
    /// Whether one server of the version takes all of its requests.
    pub is_single: bool,
}

impl Moves {
    /// Creates a record without moves.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over a declared move; `None` means that it was withdrawn.
    pub fn set(&self, service: &Name, declared: Option<Declared>, now: Time) -> Option<Event> {
        let mut rows = self.rows.lock().unwrap();
        let Some(declared) = declared else {
            let removed = rows.remove(service)?;
            return Some(
                Event::new("move_withdrawn")
                    .with("service", &**service)
                    .with("target", &*removed.target),
            );
        };
        let ended = match declared.outcome {
            Some(Outcome::Done) => Some(Stage::Done),
            Some(Outcome::TakenBack) => Some(Stage::TakenBack),
            Some(Outcome::Running) | None => None,
        };
        if let Some(known) = rows.get_mut(service)
            && known.target == declared.target
        {
            known.set_ended(ended);
            return None;
        }
        let mut canary = Canary::new(declared.target.clone(), declared.within, now);
        canary.set_ended(ended);
        rows.insert(service.clone(), canary);
        Some(
            Event::new("move_declared")
                .with("service", &**service)
                .with("target", &*declared.target)
                .with_ms("within_ms", declared.within),
        )
    }

    /// Returns which version a request to `service` should go to.
    ///
    /// `versions` are those that servers of the service have, `draw` is random.
    pub fn prefer(
        entry: &Entry,
        service: &str,
        versions: &[Name],
        draw: u64,
        now: Time,
    ) -> Preference {
        let rows = entry.moves.rows.lock().unwrap();
        let Some(canary) = rows.get(service) else {
            return Preference::default();
        };
        let old = versions.iter().find(|version| **version != canary.target);
        let has_new = versions.contains(&canary.target);
        let Some(old) = old.filter(|_| has_new) else {
            return Preference::default();
        };
        let stage = canary.stage(now);
        if canary::is_new(stage, draw, entry.settings.load().bounds.expose_part) {
            Preference {
                version: Some(canary.target.clone()),
                is_single: stage == Stage::Trial,
            }
        } else {
            Preference {
                version: Some(old.clone()),
                is_single: false,
            }
        }
    }

    /// Records an answer of a server of `version`.
    pub fn record(
        &self,
        service: &str,
        route: &Name,
        version: &str,
        failed: bool,
        latency: Duration,
    ) {
        let mut rows = self.rows.lock().unwrap();
        if let Some(canary) = rows.get_mut(service) {
            let sample = Sample {
                is_new: *canary.target == *version,
                failed,
                latency,
            };
            canary.judge.record(route, &sample);
        }
    }

    /// Returns the answers judged at this entry, by service.
    pub fn judged(&self) -> Table<Evidence> {
        let rows = self.rows.lock().unwrap();
        rows.iter()
            .filter(|(_, canary)| !canary.is_ended())
            .map(|(service, canary)| (service.clone(), canary.judge.evidence().clone()))
            .collect()
    }

    /// Returns the targets that were found to be bad, by service.
    pub fn vetoes(&self) -> Table<Name> {
        let rows = self.rows.lock().unwrap();
        rows.iter()
            .filter(|(_, canary)| canary.is_vetoed())
            .map(|(service, canary)| (service.clone(), canary.target.clone()))
            .collect()
    }

    /// Takes over what another entry has judged.
    pub fn merge(&self, node: &Name, judged: &Table<Evidence>, vetoes: &Table<Name>) {
        let mut rows = self.rows.lock().unwrap();
        for (service, canary) in rows.iter_mut() {
            if let Some(evidence) = judged.get(service) {
                canary.judge.merge(node, evidence);
            }
            if vetoes.get(service) == Some(&canary.target) {
                canary.veto(format!("{node} found it bad"));
            }
        }
    }

    /// Looks for faults of new versions.
    pub fn step(&self, entry: &Entry) {
        let mut rows = self.rows.lock().unwrap();
        for (service, canary) in rows.iter_mut() {
            if let Some(reason) = canary.look() {
                entry.events.write(
                    Event::new("move_vetoed")
                        .with("service", &**service)
                        .with("target", &*canary.target)
                        .with("reason", reason),
                );
            }
        }
    }

    /// Returns the outcomes that are to be reported.
    pub fn outcomes(&self, now: Time) -> Vec<(Name, Name, Outcome)> {
        let rows = self.rows.lock().unwrap();
        rows.iter()
            .filter_map(|(service, canary)| {
                let outcome = match canary.outcome(now)? {
                    Stage::TakenBack => Outcome::TakenBack,
                    Stage::Done => Outcome::Done,
                    Stage::Trial | Stage::Full => return None,
                };
                Some((service.clone(), canary.target.clone(), outcome))
            })
            .collect()
    }
}
