//! Fault matrix: injects each fault into a running deployment, alone and in
//! pairs, and checks the guarantees of the system.

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

/// Time of load before the first fault.
const WARM_UP: Duration = Duration::from_millis(700);

/// Delay after each injected fault.
const FAULT_DELAY: Duration = Duration::from_millis(300);

/// Time of load after the last fault.
const RECOVERY_TIME: Duration = Duration::from_millis(2_800);

/// Engines of a case; fewer than the deployments have by default, so that each fault
/// affects a larger share.
const ENGINES: usize = 6;

/// The guarantees that are checked.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Guarantee {
    /// An accepted request is answered despite faults.
    AcceptedSurvives,
    /// Each caller gets the complete response to its own request.
    WholeAnswers,
    /// A call that is refused as not run has not run.
    NotRunIsTrue,
    /// A keyed call runs at most once.
    AtMostOnce,
    /// A leaving server gets no new requests after a few seconds.
    LeavingIsLeft,
    /// An accepted configuration becomes active at every node and never reverts.
    ConfigHolds,
    /// The system answers requests again after the fault.
    Serves,
}

/// All guarantees, in the order of the report.
pub const GUARANTEES: [Guarantee; 7] = [
    Guarantee::AcceptedSurvives,
    Guarantee::WholeAnswers,
    Guarantee::NotRunIsTrue,
    Guarantee::AtMostOnce,
    Guarantee::LeavingIsLeft,
    Guarantee::ConfigHolds,
    Guarantee::Serves,
];

/// A violation of a guarantee.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The violated guarantee.
    #[serde(rename = "promise")]
    pub guarantee: Guarantee,
    /// Description of what was observed.
    #[serde(rename = "seen")]
    pub observed: String,
}

/// Result of one case.
#[derive(Clone, Debug, Serialize)]
pub struct CaseReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Injected faults.
    pub faults: Vec<Fault>,
    /// Number of completion requests sent.
    pub requests: u64,
    /// Number of requests with a complete response.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Number of refused requests.
    pub refused: u64,
    /// Number of keyed calls sent, including resends.
    pub keyed: u64,
    /// Number of accepted configuration patches.
    pub patches: u64,
    /// Violated guarantees.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
}

/// One case of the fault matrix.
#[derive(Clone, Debug)]
pub struct Case {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Faults in the order of injection.
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
        let spec = DeploymentSpec::named(self.deployment);
        spec.unwrap_or_else(DeploymentSpec::designs)
            .with_engines(ENGINES)
    }

    /// Starts a deployment, injects the faults under load and checks the guarantees.
    ///
    /// # Errors
    ///
    /// Returns an error if the deployment does not start or a fault cannot be injected or
    /// cleared.
    pub async fn run(&self) -> Result<CaseReport, Error> {
        let mut deployment = Deployment::start(self.spec()).await?;
        let traffic = Traffic::start(&deployment);
        tokio::time::sleep(WARM_UP).await;
        let mut notified = Vec::new();
        for fault in &self.faults {
            notified.extend(fault.inject(&mut deployment).await?);
            tokio::time::sleep(FAULT_DELAY).await;
        }
        tokio::time::sleep(RECOVERY_TIME).await;
        for fault in &self.faults {
            fault.clear(&deployment).await?;
        }
        let observations = traffic.stop().await;
        let report = check::check(self, &deployment, &observations, &notified).await;
        deployment.stop().await;
        Ok(report)
    }
}

/// Returns one case for each fault and deployment.
pub fn single_fault_cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for deployment in ["designs", "labels"] {
        for fault in fault::ALL {
            cases.push(Case::new(deployment, &[fault]));
        }
    }
    cases
}

/// Returns one case for each ordered pair of faults, divided among the deployments.
pub fn fault_pair_cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for (a, first) in fault::ALL.iter().enumerate() {
        for (b, second) in fault::ALL.iter().enumerate() {
            if a == b {
                continue;
            }
            let deployment = if (a + b).is_multiple_of(2) {
                "designs"
            } else {
                "labels"
            };
            cases.push(Case::new(deployment, &[*first, *second]));
        }
    }
    cases
}
