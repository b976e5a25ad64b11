//! Version moves: gradual shifts of a service's traffic to a new version.

use std::sync::Mutex;
use std::time::Duration;

use crate::core::Name;
use crate::core::catalog::Catalog;
use crate::core::moves::canary;
use crate::core::moves::canary::Canary;
use crate::core::moves::canary::Stage;
use crate::core::moves::detector::Outcome;
use crate::core::moves::detector::Sample;
use crate::core::moves::latencies::Latencies;
use crate::core::name_map::NameMap;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::adapter::DeclaredMove;
use crate::entry::adapter::MoveOutcome;
use crate::telemetry::events::Event;

pub mod exchange;
pub mod pending;

/// Time between two events that say why a version is not promoted.
const JUDGEMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of routes in an event.
const MAX_LOGGED_ROUTES: usize = 8;

/// Tracks the version moves known to this entry, by service.
#[derive(Default)]
pub struct Moves {
    canaries: Mutex<NameMap<Canary>>,
    /// The declared moves and the revision of the store that they reflect.
    listing: Mutex<Option<(u64, Vec<DeclaredMove>)>>,
    /// Latencies by service and route while no version moves.
    baselines: Mutex<NameMap<NameMap<Latencies>>>,
    /// Time of the last events that say why versions are not promoted.
    judged_at: Mutex<Time>,
}

/// Determines which version serves a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionChoice {
    /// Required version, or `None` for any.
    pub version: Option<Name>,
    /// Number of sessions that share the traffic, or `None` if there is no trial.
    pub trial_sessions: Option<u64>,
    /// Version to use while all servers of the required one accept no request.
    pub fallback: Option<Name>,
}

impl Moves {
    /// Creates a tracker without moves.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the declared moves and the revision of the store that they reflect,
    /// or `None` before they are known.
    pub fn listing(&self) -> Option<(u64, Vec<DeclaredMove>)> {
        self.listing.lock().unwrap().clone()
    }

    /// Replaces the declared moves by those of `revision`, unless newer ones are
    /// known, and returns the events to write.
    pub fn apply_listing(&self, revision: u64, moves: Vec<DeclaredMove>, now: Time) -> Vec<Event> {
        let mut listing = self.listing.lock().unwrap();
        let before = match listing.as_mut() {
            Some((known, _)) if *known > revision => return Vec::new(),
            Some((known, list)) if *list == moves => {
                *known = revision;
                return Vec::new();
            }
            Some((_, list)) => std::mem::take(list),
            None => Vec::new(),
        };
        let mut events = Vec::new();
        for old in &before {
            if !moves.iter().any(|declared| declared.service == old.service) {
                events.extend(self.set(&old.service, None, now));
            }
        }
        for declared in &moves {
            events.extend(self.set(&declared.service, Some(declared.clone()), now));
        }
        *listing = Some((revision, moves));
        events
    }

    /// Applies a declared move, or removes it if `declared` is `None`.
    ///
    /// Returns the event to write, if the move is new or removed.
    fn set(&self, service: &Name, declared: Option<DeclaredMove>, now: Time) -> Option<Event> {
        let mut canaries = self.canaries.lock().unwrap();
        let Some(declared) = declared else {
            let removed = canaries.remove(service)?;
            return Some(
                Event::new("move_withdrawn")
                    .with("service", &**service)
                    .with("target", &*removed.target),
            );
        };
        let ended = match declared.outcome {
            Some(MoveOutcome::Done) => Some(Stage::Done),
            Some(MoveOutcome::TakenBack) => Some(Stage::RolledBack),
            Some(MoveOutcome::Running) | None => None,
        };
        if let Some(known) = canaries.get_mut(service)
            && known.target == declared.target
        {
            known.set_outcome(ended);
            return None;
        }
        let mut canary = Canary::new(declared.target.clone(), declared.within, now);
        canary.set_outcome(ended);
        if ended.is_none() {
            let baseline = self.baselines.lock().unwrap().remove(service);
            for (route, latencies) in baseline.iter().flat_map(NameMap::iter) {
                canary.detector.set_baseline(route, latencies.clone());
            }
        }
        canaries.insert(service.clone(), canary);
        Some(
            Event::new("move_declared")
                .with("service", &**service)
                .with("target", &*declared.target)
                .with_ms("within_ms", declared.within),
        )
    }

    /// Forgets the latencies of routes that a new catalog does not have.
    pub fn retain_routes(&self, catalog: &Catalog) {
        let mut names: Vec<&Name> = catalog.routes().iter().map(|route| &route.name).collect();
        names.sort_unstable();
        for (_, routes) in self.baselines.lock().unwrap().iter_mut() {
            routes.retain(|route, _| names.binary_search(&route).is_ok());
        }
    }

    /// Chooses the version that serves a request to `service`.
    ///
    /// `versions` returns the versions of the service's servers; `random` is a uniform
    /// random number.
    pub fn choose_version(
        entry: &Entry,
        service: &str,
        versions: impl FnOnce() -> Vec<Name>,
        random: u64,
        now: Time,
    ) -> VersionChoice {
        let canaries = entry.moves.canaries.lock().unwrap();
        let Some(canary) = canaries.get(service) else {
            return VersionChoice::default();
        };
        let versions = versions();
        let old = versions.iter().find(|version| **version != canary.target);
        let has_new = versions.contains(&canary.target);
        let Some(old) = old.filter(|_| has_new) else {
            return VersionChoice::default();
        };
        let stage = canary.stage(now);
        let exposure = entry.settings.load().bounds.exposed_share;
        if canary::routes_to_new(stage, random, exposure) {
            let trial_sessions = (stage == Stage::Trial).then(|| {
                let old_servers = entry.backends.count_others(service, &canary.target);
                canary::trial_sessions(exposure, old_servers)
            });
            let is_unproved = matches!(stage, Stage::Trial | Stage::Ramp(_));
            VersionChoice {
                version: Some(canary.target.clone()),
                trial_sessions,
                fallback: is_unproved.then(|| old.clone()),
            }
        } else {
            VersionChoice {
                version: Some(old.clone()),
                trial_sessions: None,
                fallback: None,
            }
        }
    }

    /// Returns the version of a service that does not carry its load for good, if there
    /// is one.
    pub fn trial_version(&self, service: &str, now: Time) -> Option<Name> {
        let canaries = self.canaries.lock().unwrap();
        let canary = canaries.get(service)?;
        (canary.stage(now) != Stage::Done).then(|| canary.target.clone())
    }

    /// Returns whether a move of a service was declared less than `span` ago.
    pub fn is_declared_within(&self, service: &str, span: Duration, now: Time) -> bool {
        let canaries = self.canaries.lock().unwrap();
        let canary = canaries.get(service);
        canary.is_some_and(|canary| !canary.is_finished() && canary.elapsed(now) < span)
    }

    /// Records a response of a server that runs `version`, and returns whether it tells
    /// something of a version on trial.
    pub fn record(&self, service: &str, route: &Name, version: &str, outcome: Outcome) -> bool {
        let mut canaries = self.canaries.lock().unwrap();
        let running = canaries.get_mut(service);
        if let Some(canary) = running.filter(|canary| !canary.is_finished()) {
            let sample = Sample {
                is_new: *canary.target == *version,
                outcome,
            };
            canary.detector.record(route, &sample);
            return sample.is_new;
        }
        drop(canaries);
        if let Outcome::Succeeded(latency) = outcome {
            let mut baselines = self.baselines.lock().unwrap();
            baselines
                .get_or_insert_with(&service.into(), NameMap::new)
                .get_or_insert_with(route, Latencies::new)
                .push(latency);
        }
        false
    }

    /// Vetoes the new versions whose evidence shows a fault, and returns whether there is
    /// one.
    pub fn detect_faults(&self, entry: &Entry) -> bool {
        let mut canaries = self.canaries.lock().unwrap();
        let mut is_found = false;
        for (service, canary) in canaries.iter_mut() {
            if let Some(reason) = canary.check() {
                is_found = true;
                entry.events.write(
                    Event::new("move_vetoed")
                        .with("service", &**service)
                        .with("target", &*canary.target)
                        .with("reason", reason),
                );
            }
        }
        is_found
    }

    /// Promotes the new versions by a step whose evidence is good.
    pub fn advance(entry: &Entry, now: Time) {
        let moves = &entry.moves;
        let is_due = {
            let mut judged_at = moves.judged_at.lock().unwrap();
            let is_due = now.since(*judged_at) >= JUDGEMENT_INTERVAL;
            if is_due {
                *judged_at = now;
            }
            is_due
        };
        let mut canaries = moves.canaries.lock().unwrap();
        let running = canaries
            .iter_mut()
            .filter(|(_, canary)| !canary.is_finished() && !canary.is_vetoed());
        for (service, canary) in running {
            let old_servers = entry.backends.count_others(service, &canary.target);
            let new_servers = entry.backends.count_version(service, &canary.target);
            let bears_load = canary::bears_load(new_servers, old_servers);
            if let Some(stage) = canary.advance(bears_load, now) {
                let event = advance_event(service, canary, stage, now);
                entry.events.write(event.with("cause", "evidence"));
            } else if is_due {
                let blocker = canary.blocker(bears_load, now);
                let blocker = blocker.map_or_else(String::new, |blocker| blocker.to_string());
                let stage = canary.stage(now);
                entry.events.write(
                    Event::new("move_judged")
                        .with("service", &**service)
                        .with("target", &*canary.target)
                        .with("stage", format!("{stage:?}"))
                        .with("blocker", blocker)
                        .with("evidence", format_evidence(canary))
                        .with("new_servers", new_servers)
                        .with("old_servers", old_servers)
                        .with_ms("elapsed_ms", canary.elapsed(now)),
                );
            }
        }
    }

    /// Returns the outcomes to report, with service and target version.
    pub fn outcomes(&self, now: Time) -> Vec<(Name, Name, MoveOutcome)> {
        let canaries = self.canaries.lock().unwrap();
        canaries
            .iter()
            .filter_map(|(service, canary)| {
                let outcome = match canary.pending_outcome(now)? {
                    Stage::RolledBack => MoveOutcome::TakenBack,
                    Stage::Done => MoveOutcome::Done,
                    Stage::Trial | Stage::Ramp(_) | Stage::Full => return None,
                };
                Some((service.clone(), canary.target.clone(), outcome))
            })
            .collect()
    }
}

/// Vetoes the new versions whose evidence shows a fault, and tells others at once.
pub fn judge(entry: &Entry) {
    if entry.moves.detect_faults(entry) {
        entry.membership.send_soon();
    }
}

/// Returns the event of a version that gets more traffic, with the evidence for it.
fn advance_event(service: &Name, canary: &Canary, stage: Stage, now: Time) -> Event {
    Event::new("move_advanced")
        .with("service", &**service)
        .with("target", &*canary.target)
        .with("stage", format!("{stage:?}"))
        .with("evidence", format_evidence(canary))
        .with_ms("elapsed_ms", canary.elapsed(now))
}

fn format_evidence(canary: &Canary) -> String {
    let rows = canary.detector.assessments().take(MAX_LOGGED_ROUTES);
    let rows: Vec<String> = rows.map(|row| row.to_string()).collect();
    rows.join("; ")
}
