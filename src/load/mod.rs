//! Load and experiments: callers, deployments and the figures they give.

pub mod caller;
pub mod deploy;
pub mod matrix;
pub mod texts;
