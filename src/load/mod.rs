//! Load and experiments: callers, deployments and the figures they give.

pub mod caller;
pub mod deploy;
pub mod fit;
pub mod fleet;
pub mod matrix;
pub mod moves;
pub mod run;
pub mod slopes;
pub mod texts;
