//! Load generation, fault injection, simulations and benchmarks.

pub mod benchmark;
pub mod caller;
pub mod deploy;
pub mod fault_matrix;
pub mod fleet_simulation;
pub mod linear_fit;
pub mod move_simulation;
pub mod prompts;
pub mod scaling;
