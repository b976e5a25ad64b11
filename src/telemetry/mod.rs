//! What a process tells its operators: event lines and metrics.

pub mod events;
pub mod metrics;
