//! Telemetry for operators: the event log and metrics.

pub mod events;
pub mod metrics;
pub mod panics;
