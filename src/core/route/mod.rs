//! Routing of requests to backend servers.
//!
//! A [`Policy`] chooses one of the [`Candidate`]s that [`servers::Servers`]
//! provides. [`scored::Scored`] is the default of [`PolicyKind`]; the other kinds
//! are baselines for comparison.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::core::Name;

pub mod affinity;
pub mod baseline;
pub mod pacer;
pub mod parts;
pub mod placement;
pub mod predicted;
pub mod prefix;
pub mod probing;
pub mod removal;
pub mod ring;
pub mod scored;
pub mod servers;
pub mod speed;
pub mod subset;

/// The properties of a request that a policy considers.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Prefix block hashes of the prompt (see [`prefix::block_hashes`]).
    pub block_hashes: Vec<u64>,
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the completion.
    pub answer_tokens: u32,
    /// Key of the session; requests of one session share most of their prompts.
    pub session: Option<u64>,
}

/// Predicted time until a response begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Forecast {
    /// Time from sending the request to the first bytes of its response.
    pub first: Duration,
    /// Age of the oldest input.
    pub age: Duration,
}

/// A backend server to which the request can be sent.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// ID of the backend server.
    pub id: Name,
    /// Estimated number of requests in flight at the server, from all nodes.
    pub inflight: f64,
    /// Maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// Expected number of prompt tokens in the server's prefix cache.
    pub cached_tokens: f64,
    /// Whether the server is in the failure domain of this node.
    pub same_domain: bool,
    /// Whether the platform can reclaim the VM.
    pub reclaimable: bool,
    /// Average total duration of recent requests, in milliseconds.
    pub request_ms: f64,
}

/// A routing policy, which chooses a backend server for each request.
pub trait Policy: Send {
    /// Returns the index of the chosen candidate, or `None` if there are no candidates.
    ///
    /// `random` is a random number that the caller generates for each request.
    fn choose(&mut self, request: &Request, candidates: &[Candidate], random: u64)
    -> Option<usize>;
}

/// The policies that can be selected at the start of a node.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PolicyKind {
    /// Lowest predicted time to the first token.
    #[default]
    Scored,
    /// All servers in turn.
    RoundRobin,
    /// Fewest requests per slot.
    LeastLoaded,
    /// The less loaded of two randomly chosen servers.
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
/// Ties are broken by a random starting position. Otherwise all nodes would send
/// to the same idle server at the same time.
fn lowest_cost(
    candidates: &[Candidate],
    random: u64,
    cost: impl Fn(&Candidate) -> f64,
) -> Option<usize> {
    let count = candidates.len();
    let start = (random % count.max(1) as u64) as usize;
    (0..count)
        .map(|offset| (start + offset) % count)
        .min_by(|&a, &b| cost(&candidates[a]).total_cmp(&cost(&candidates[b])))
}
