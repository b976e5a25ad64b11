//! Tables of decisions of the core, driven step by step without I/O.

mod call;
mod canary;
mod config;
mod fleet;
mod lapse;
mod lease;
mod limit;
mod member;
#[path = "../regression/members.rs"]
mod members;
mod moves;
mod once;
mod quota;
mod relay;
mod retry;
mod route;
mod scaling;
mod stream;
mod usage;
