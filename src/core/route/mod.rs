//! Choice of a backend server for a request.
//!
//! A [`Policy`] picks one of the [`Candidate`]s that [`servers::Servers`]
//! offers. [`scored::Scored`] is the policy in use; the others are baselines
//! for comparison.

use std::fmt;
use std::str::FromStr;

use crate::core::Name;

pub mod affinity;
pub mod baseline;
pub mod prefix;
pub mod removal;
pub mod scored;
pub mod servers;
pub mod subset;

/// What a policy knows about the request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Chain of prefix block hashes of the prompt (see [`prefix::block_hashes`]).
    pub block_hashes: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer may have.
    pub answer_tokens: u32,
    /// Key of the session whose requests share most of their prompts.
    pub session: Option<u64>,
}

/// A backend server that may take the request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name of the backend server.
    pub id: Name,
    /// Requests estimated to be at the server now, from all nodes.
    pub inflight: f64,
    /// Requests that the server runs at the same time.
    pub slots: u32,
    /// Prompt tokens that the server is expected to have cached.
    pub cached_tokens: f64,
    /// Whether the server is in the failure domain of this node.
    pub same_domain: bool,
    /// Whether the VM can be reclaimed.
    pub reclaimable: bool,
    /// Time that recent requests took as a whole, in milliseconds.
    pub request_ms: f64,
}

/// Chooses a backend server.
pub trait Policy: Send {
    /// Returns the index of the candidate to use, or `None` if there is none.
    ///
    /// `draw` is a random number that the caller drew for this request.
    fn choose(&mut self, request: &Request, candidates: &[Candidate], draw: u64) -> Option<usize>;
}

/// The policies that a node can be started with.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PolicyKind {
    /// Lowest predicted time to the first token.
    #[default]
    Scored,
    /// Each server in turn.
    RoundRobin,
    /// Fewest requests at the server.
    LeastLoaded,
    /// The less loaded of two servers drawn at random.
    TwoChoices,
}

impl PolicyKind {
    /// Creates the policy.
    pub fn build(self) -> Box<dyn Policy> {
        match self {
            PolicyKind::Scored => Box::new(scored::Scored::new()),
            PolicyKind::RoundRobin => Box::new(baseline::RoundRobin::new()),
            PolicyKind::LeastLoaded => Box::new(baseline::LeastLoaded::new()),
            PolicyKind::TwoChoices => Box::new(baseline::TwoChoices::new()),
        }
    }

    /// Returns the name used on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            PolicyKind::Scored => "scored",
            PolicyKind::RoundRobin => "round-robin",
            PolicyKind::LeastLoaded => "least-loaded",
            PolicyKind::TwoChoices => "two-choices",
        }
    }
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for PolicyKind {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        const ALL: [PolicyKind; 4] = [
            PolicyKind::Scored,
            PolicyKind::RoundRobin,
            PolicyKind::LeastLoaded,
            PolicyKind::TwoChoices,
        ];
        ALL.into_iter()
            .find(|kind| kind.as_str() == s)
            .ok_or_else(|| "expected scored, round-robin, least-loaded or two-choices".to_string())
    }
}

/// Returns the candidate with the lowest cost.
///
/// Among equals the first one after a random place is taken; else all nodes
/// would send to the same idle server at the same time.
fn lowest_cost(
    candidates: &[Candidate],
    draw: u64,
    cost: impl Fn(&Candidate) -> f64,
) -> Option<usize> {
    let count = candidates.len();
    let first = (draw % count.max(1) as u64) as usize;
    (0..count)
        .map(|step| (first + step) % count)
        .min_by(|&a, &b| cost(&candidates[a]).total_cmp(&cost(&candidates[b])))
}
