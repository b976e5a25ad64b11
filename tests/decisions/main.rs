//! Tests of the decision logic in `core`, driven step by step without I/O.

mod admission;
mod aggregate;
mod aggregate_gap;
mod canary;
mod closure;
mod completion;
mod config;
mod drills;
mod evacuation;
mod exposure;
mod fixtures;
mod fleet;
mod lease;
mod limit;
mod member;
#[path = "../regression/members.rs"]
mod members;
mod moves;
mod notice;
mod once;
mod pacing;
mod quarantine;
mod quota;
mod quota_fleet;
mod quota_play;
mod race;
mod relay;
mod removal;
mod restarts;
mod retry;
mod route;
mod scaling;
mod silence;
mod slowness;
mod sse;
mod usage;
