//! Whether a failed request may have run.

use serde::Deserialize;
use serde::Serialize;

/// Says whether a failed request may have run at a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request did not run and will not run later.
    NotRun,
    /// The request may have run, partly or completely.
    MayHaveRun,
}

impl Verdict {
    /// Returns the value used in response headers and bodies.
    pub const fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
        }
    }
}
