//! Real processes behind the fault-injecting proxy.

mod cluster;
mod faults;
mod path;
