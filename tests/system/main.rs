//! Real processes behind the fault-injecting proxy.

mod api;
mod cluster;
mod faults;
