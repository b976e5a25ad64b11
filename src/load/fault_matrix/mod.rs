//! The table of faults: each is brought about in a running deployment, alone
//! and in pairs, and the promises of the brief are checked.

use std::time::Duration;

use serde::Serialize;

use crate::error::Error;
use crate::load::deploy::Deployment;
use crate::load::deploy::DeploymentSpec;
use crate::load::fault_matrix::fault::Fault;
use crate::load::fault_matrix::traffic::Traffic;

pub mod check;
pub mod fault;
pub mod traffic;

/// Time for which requests run before the first fault.
const WARM_UP: Duration = Duration::from_millis(700);

/// Time between the two faults of a pair.
const PAIR_GAP: Duration = Duration::from_millis(300);

/// Time for which requests run after the last fault.
const AFTERMATH: Duration = Duration::from_millis(2_800);

/// Engines of a case; fewer than in the brief, so that each fault hits harder.
const ENGINES: usize = 6;

/// The promises that are checked.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Guarantee {
    /// An accepted request survives.
    AcceptedSurvives,
    /// Each caller gets the whole answer to its own request.
    WholeAnswers,
    /// "Not run" is true.
    NotRunIsTrue,
    /// A call that must not run twice does not.
    AtMostOnce,
    /// A leaving server gets no new work after a few seconds.
    LeavingIsLeft,
    /// An accepted configuration is in force everywhere and never reverts.
    ConfigHolds,
    /// The system answers requests again after the fault.
    Serves,
}

/// All promises, in the order of the brief.
pub const GUARANTEES: [Guarantee; 7] = [
    Guarantee::AcceptedSurvives,
    Guarantee::WholeAnswers,
    Guarantee::NotRunIsTrue,
    Guarantee::AtMostOnce,
    Guarantee::LeavingIsLeft,
    Guarantee::ConfigHolds,
    Guarantee::Serves,
];

/// A promise that did not hold.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The promise.
    #[serde(rename = "promise")]
    pub guarantee: Guarantee,
    /// What was seen.
    #[serde(rename = "seen")]
    pub observed: String,
}

/// What one case gave.
#[derive(Clone, Debug, Serialize)]
pub struct CaseReport {
    /// Which deployment.
    pub deployment: String,
    /// The faults that were brought about.
    pub faults: Vec<Fault>,
    /// Completion requests sent.
    pub requests: u64,
    /// Requests answered whole.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Requests refused.
    pub refused: u64,
    /// Keyed calls sent, resends included.
    pub keyed: u64,
    /// Patches accepted.
    pub patches: u64,
    /// Promises that did not hold.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
}

/// One case of the table.
#[derive(Clone, Debug)]
pub struct Case {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// The faults, in order.
    pub faults: Vec<Fault>,
}

impl Case {
    /// Creates a case.
    pub fn new(deployment: &'static str, faults: &[Fault]) -> Self {
        Self {
            deployment,
            faults: faults.to_vec(),
        }
    }

    fn spec(&self) -> DeploymentSpec {
        let spec = match self.deployment {
            "hanul" => DeploymentSpec::hanul(),
            _ => DeploymentSpec::copa_alta(),
        };
        spec.with_engines(ENGINES)
    }

    /// Runs the case.
    ///
    /// # Errors
    ///
    /// Returns an error if the deployment did not start.
    pub async fn run(&self) -> Result<CaseReport, Error> {
        let mut deployment = Deployment::start(self.spec()).await?;
        let traffic = Traffic::start(&deployment);
        tokio::time::sleep(WARM_UP).await;
        let mut notified = Vec::new();
        for fault in &self.faults {
            notified.extend(fault.inject(&mut deployment).await?);
            tokio::time::sleep(PAIR_GAP).await;
        }
        tokio::time::sleep(AFTERMATH).await;
        for fault in &self.faults {
            fault.clear(&deployment).await?;
        }
        let observations = traffic.stop().await;
        let report = check::check(self, &deployment, &observations, &notified).await;
        deployment.stop().await;
        Ok(report)
    }
}

/// Returns the cases with one fault for each deployment.
pub fn single_fault_cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for deployment in ["copa-alta", "hanul"] {
        for fault in fault::ALL {
            cases.push(Case::new(deployment, &[fault]));
        }
    }
    cases
}

/// Returns the cases with two faults: every pair, divided over the deployments.
pub fn fault_pair_cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for (a, first) in fault::ALL.iter().enumerate() {
        for (b, second) in fault::ALL.iter().enumerate() {
            if a == b {
                continue;
            }
            let deployment = if (a + b).is_multiple_of(2) {
                "copa-alta"
            } else {
                "hanul"
            };
            cases.push(Case::new(deployment, &[*first, *second]));
        }
    }
    cases
}
