//! Regression tests, one file for each fixed bug.

mod changed_ring;
mod first_heartbeat;
mod members;
