//! A serving system for reclaimable VMs.

pub mod cli;
pub mod core;
pub mod demo;
pub mod error;
pub mod load;
pub mod node;
pub mod standin;
pub mod web;
