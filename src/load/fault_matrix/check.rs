//! Checks of the guarantees after a case.

use std::time::Duration;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::verdict::Verdict;
use crate::load::caller;
use crate::load::caller::Ending;
use crate::load::deploy::Deployment;
use crate::load::fault_matrix::Case;
use crate::load::fault_matrix::CaseReport;
use crate::load::fault_matrix::Guarantee;
use crate::load::fault_matrix::Violation;
use crate::load::fault_matrix::fault::Fault;
use crate::load::fault_matrix::traffic::KeyedOutcome;
use crate::load::fault_matrix::traffic::Observations;
use crate::standin::engine;

/// Time within which a configuration must be active at every node.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(5);

/// Time over which a server under notice must get no new requests.
const NOTICE_CHECK_TIME: Duration = Duration::from_millis(400);

/// Maximum number of servers that one request may crash.
const MAX_CRASHES: usize = 2;

struct Checker<'a> {
    case: &'a Case,
    deployment: &'a Deployment,
    observations: &'a Observations,
    violations: Vec<Violation>,
}

/// Checks every guarantee and returns the report.
pub async fn check(
    case: &Case,
    deployment: &Deployment,
    observations: &Observations,
    notified: &[Name],
) -> CaseReport {
    let mut checker = Checker {
        case,
        deployment,
        observations,
        violations: Vec::new(),
    };
    checker.check_answers();
    checker.check_crashing().await;
    checker.check_keyed().await;
    checker.check_notice(notified).await;
    checker.check_config().await;
    let is_refused = |ending: &Ending| matches!(ending, Ending::Refused { .. });
    let count = |matches: &dyn Fn(&Ending) -> bool| {
        observations
            .completions
            .iter()
            .filter(|outcome| matches(&outcome.ending))
            .count() as u64
    };
    CaseReport {
        deployment: case.deployment.to_string(),
        faults: case.faults.clone(),
        requests: (observations.completions.len() + observations.crash_requests.len()) as u64,
        complete: count(&|ending| *ending == Ending::Complete),
        refused: count(&is_refused),
        keyed: observations.keyed_calls.len() as u64,
        patches: observations.accepted_numbers.len() as u64,
        violations: checker.violations,
    }
}

impl Checker<'_> {
    fn fail(&mut self, guarantee: Guarantee, observed: String) {
        self.violations.push(Violation {
            guarantee,
            observed,
        });
    }

    fn has_fault(&self, fault: Fault) -> bool {
        self.case.faults.contains(&fault)
    }

    fn check_answers(&mut self) {
        let kills_node = self.case.faults.iter().any(|fault| fault.kills_node());
        let mut complete = 0;
        let mut failures = Vec::new();
        for outcome in &self.observations.completions {
            match &outcome.ending {
                Ending::Complete => complete += 1,
                Ending::Wrong(reason) => failures.push((Guarantee::WholeAnswers, reason.clone())),
                // A killed node loses the state of requests that only it knew; their
                // callers get a refusal.
                Ending::Refused { .. } if kills_node => {}
                Ending::Refused { reason, .. } if outcome.accepted => {
                    let text = format!("accepted, then refused as {reason}");
                    failures.push((Guarantee::AcceptedSurvives, text));
                }
                Ending::Lost(reason) => {
                    failures.push((Guarantee::AcceptedSurvives, format!("lost: {reason}")));
                }
                Ending::Refused { .. } => {}
            }
        }
        let total = self.observations.completions.len();
        if complete * 10 < total * 9 {
            failures.push((
                Guarantee::Serves,
                format!("{complete} of {total} requests got a complete response"),
            ));
        }
        for (guarantee, text) in failures {
            self.fail(guarantee, text);
        }
    }

    /// Checks that a request that crashes engines runs on two servers at most.
    async fn check_crashing(&mut self) {
        if !self.has_fault(Fault::CrashingRequest) {
            return;
        }
        let mut crashed = 0;
        for server in self.deployment.server_ids(self.deployment.spec.model, "v1") {
            let Some(address) = self.deployment.backend_address(&server) else {
                continue;
            };
            let client = &self.deployment.client;
            let counts = caller::get_json::<engine::Counts>(client, &address, "/counts").await;
            crashed += usize::from(counts.is_none());
        }
        if crashed > MAX_CRASHES {
            self.fail(
                Guarantee::Serves,
                format!("one request crashed {crashed} servers"),
            );
        }
    }

    /// Checks that keyed calls ran at most once and as their callers were told.
    async fn check_keyed(&mut self) {
        let runs = self.count_runs().await;
        for (key, count) in runs.iter() {
            if key.starts_with("key-") && *count > 1 {
                self.fail(Guarantee::AtMostOnce, format!("{key} ran {count} times"));
            }
        }
        let mut outcomes: NameMap<Vec<KeyedOutcome>> = NameMap::new();
        for keyed in &self.observations.keyed_calls {
            outcomes
                .get_or_insert_with(&keyed.key.as_str().into(), Vec::new)
                .push(keyed.outcome.clone());
        }
        for (key, outcomes) in outcomes.iter() {
            let not_run = KeyedOutcome::Refused(Verdict::NotRun);
            let ran = runs.get(key).copied().unwrap_or(0) > 0;
            if ran && outcomes.iter().all(|outcome| *outcome == not_run) {
                self.fail(
                    Guarantee::NotRunIsTrue,
                    format!("{key} was refused as not run but ran"),
                );
            }
            if !ran && outcomes.contains(&KeyedOutcome::Answered) {
                self.fail(
                    Guarantee::WholeAnswers,
                    format!("{key} was answered but did not run"),
                );
            }
        }
    }

    /// Returns how often each key ran, summed over all plain servers.
    async fn count_runs(&self) -> NameMap<u64> {
        let mut total: NameMap<u64> = NameMap::new();
        for portal in self
            .deployment
            .server_ids(self.deployment.spec.portal, "v1")
        {
            let Some(address) = self.deployment.backend_address(&portal) else {
                continue;
            };
            let client = &self.deployment.client;
            let runs = caller::get_json::<NameMap<u64>>(client, &address, "/runs").await;
            for (key, count) in runs.unwrap_or_default().iter() {
                *total.get_or_insert_with(key, || 0) += count;
            }
        }
        total
    }

    /// Checks that servers under notice get no new requests.
    async fn check_notice(&mut self, notified: &[Name]) {
        if notified.is_empty() {
            return;
        }
        let traffic = super::traffic::Traffic::start(self.deployment);
        let before = self.count_requests(notified).await;
        tokio::time::sleep(NOTICE_CHECK_TIME).await;
        let after = self.count_requests(notified).await;
        traffic.stop().await;
        for (at, server) in notified.iter().enumerate() {
            if let (Some(before), Some(after)) = (before[at], after[at])
                && after > before
            {
                let text = format!(
                    "{server} received {} requests after its notice",
                    after - before
                );
                self.fail(Guarantee::LeavingIsLeft, text);
            }
        }
    }

    async fn count_requests(&self, servers: &[Name]) -> Vec<Option<u64>> {
        let mut counts = Vec::new();
        for server in servers {
            let address = self.deployment.backend_address(server).unwrap_or_default();
            let client = &self.deployment.client;
            let answer = caller::get_json::<engine::Counts>(client, &address, "/counts").await;
            counts.push(answer.map(|counts| counts.requests));
        }
        counts
    }

    /// Checks that configuration numbers never go back and that the newest becomes active.
    async fn check_config(&mut self) {
        let mut last: NameMap<u64> = NameMap::new();
        let mut failures = Vec::new();
        for (node, number) in &self.observations.active_numbers {
            let last = last.get_or_insert_with(&node.as_str().into(), || 0);
            if number < last {
                failures.push(format!("{node} reverted from number {last} to {number}"));
            }
            *last = *number;
        }
        let mut accepted = self.observations.accepted_numbers.clone();
        accepted.sort_unstable();
        let count = accepted.len();
        accepted.dedup();
        if accepted.len() < count {
            failures.push("two patches were accepted with the same number".into());
        }
        if let Some(&newest) = accepted.last() {
            let waiting = self.deployment.wait_for_config(newest);
            let result = tokio::time::timeout(CONFIG_TIMEOUT, waiting).await;
            if !matches!(result, Ok(Ok(()))) {
                failures.push(format!("number {newest} is not in force everywhere"));
            }
        }
        for text in failures {
            self.fail(Guarantee::ConfigHolds, text);
        }
    }
}
