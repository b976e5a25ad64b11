//! What entries tell each other of version moves.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::moves::detector::Evidence;
use crate::core::name_map::NameMap;
use crate::core::peer::NodeStatus;
use crate::core::time::Time;
use crate::entry::moves;
use crate::entry::moves::Moves;
use crate::telemetry::events::Event;

/// Largest difference of the times since the declaration by which two nodes mean the same
/// move.
const ELAPSED_TOLERANCE: Duration = Duration::from_secs(2);

/// What an entry tells others of a move in progress, since some may just have started.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MoveReport {
    /// The service.
    pub service: Name,
    /// The version to move the traffic to.
    pub target: Name,
    /// Time since the move was declared.
    pub elapsed: Duration,
    /// Slow limits by route, from the latencies before the move.
    pub limits: NameMap<Duration>,
}

/// What an entry tells others of a version that it has promoted.
///
/// It is a message of its own, since entries of earlier builds read the others by the
/// order of their fields.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PromotionReport {
    /// The service.
    pub service: Name,
    /// The version to move the traffic to.
    pub target: Name,
    /// Steps by which the version was promoted.
    pub steps: usize,
    /// Time since the move was declared.
    pub elapsed: Duration,
}

impl Moves {
    /// Returns the evidence gathered at this entry for moves in progress, by service.
    pub fn evidence(&self) -> NameMap<Evidence> {
        let canaries = self.canaries.lock().unwrap();
        canaries
            .iter()
            .filter(|(_, canary)| !canary.is_finished())
            .map(|(service, canary)| (service.clone(), canary.detector.evidence()))
            .collect()
    }

    /// Returns what others need to know of the moves in progress.
    pub fn reports(&self, now: Time) -> Vec<MoveReport> {
        let canaries = self.canaries.lock().unwrap();
        canaries
            .iter()
            .filter(|(_, canary)| !canary.is_finished())
            .map(|(service, canary)| MoveReport {
                service: service.clone(),
                target: canary.target.clone(),
                elapsed: canary.elapsed(now),
                limits: canary.detector.baseline_limits(),
            })
            .collect()
    }

    /// Merges what the entry `sender` knows of the moves in progress.
    pub fn merge_reports(&self, sender: &Name, reports: &[MoveReport], now: Time) {
        let mut canaries = self.canaries.lock().unwrap();
        for report in reports {
            let known = canaries.get_mut(&report.service);
            if let Some(canary) = known.filter(|canary| canary.target == report.target) {
                canary.record_elapsed(report.elapsed, now);
                canary.detector.share_limits(sender, &report.limits);
            }
        }
    }

    /// Returns the vetoed target versions, by service.
    pub fn vetoes(&self) -> NameMap<Name> {
        let canaries = self.canaries.lock().unwrap();
        canaries
            .iter()
            .filter(|(_, canary)| canary.is_vetoed())
            .map(|(service, canary)| (service.clone(), canary.target.clone()))
            .collect()
    }

    /// Merges the evidence and vetoes of another entry.
    pub fn merge(&self, status: &NodeStatus) {
        let mut canaries = self.canaries.lock().unwrap();
        for (service, canary) in canaries.iter_mut() {
            if let Some(counts) = status.evidence.get(service) {
                let detector = &mut canary.detector;
                detector.merge_process(&status.node, status.incarnation, counts);
            }
            if status.vetoes.get(service) == Some(&canary.target) {
                canary.veto(format!("vetoed by {}", status.node));
            }
        }
    }

    /// Merges the sum of the evidence of all entries of a failure domain.
    ///
    /// The sum of the own domain includes the evidence of this entry.
    pub fn merge_domain(&self, domain: &Name, services: &NameMap<Evidence>, is_own: bool) {
        let mut canaries = self.canaries.lock().unwrap();
        for (service, canary) in canaries.iter_mut() {
            let Some(sum) = services.get(service) else {
                continue;
            };
            let mut others = sum.clone();
            if is_own {
                let evidence = canary.detector.evidence();
                for (route, counts) in others.iter_mut() {
                    if let Some(own) = evidence.get(route) {
                        counts.subtract(own);
                    }
                }
            }
            canary.detector.merge(domain, &others);
        }
    }

    /// Applies faults that other entries found, as service and version.
    pub fn merge_vetoes(&self, vetoes: &[(Name, Name)]) {
        let mut canaries = self.canaries.lock().unwrap();
        for (service, canary) in canaries.iter_mut() {
            let mut found = vetoes.iter();
            if found.any(|(known, version)| known == service && *version == canary.target) {
                canary.veto("vetoed by another entry".into());
            }
        }
    }

    /// Returns what others need to know of the promoted versions.
    pub fn promotions(&self, now: Time) -> Vec<PromotionReport> {
        let canaries = self.canaries.lock().unwrap();
        let promoted = canaries
            .iter()
            .filter(|(_, canary)| !canary.is_finished() && !canary.is_vetoed())
            .filter(|(_, canary)| canary.steps() > 0);
        promoted
            .map(|(service, canary)| PromotionReport {
                service: service.clone(),
                target: canary.target.clone(),
                steps: canary.steps(),
                elapsed: canary.elapsed(now),
            })
            .collect()
    }

    /// Merges what another entry tells of the versions that it has promoted, and returns
    /// the events to write.
    pub fn merge_promotions(&self, reports: &[PromotionReport], now: Time) -> Vec<Event> {
        let mut canaries = self.canaries.lock().unwrap();
        let mut events = Vec::new();
        for report in reports {
            let known = canaries.get_mut(&report.service);
            let Some(canary) = known.filter(|canary| {
                canary.target == report.target
                    && canary.elapsed(now).abs_diff(report.elapsed) <= ELAPSED_TOLERANCE
            }) else {
                continue;
            };
            if let Some(stage) = canary.record_steps(report.steps, now) {
                let event = moves::advance_event(&report.service, canary, stage, now);
                events.push(event.with("cause", "another entry"));
            }
        }
        events
    }
}
