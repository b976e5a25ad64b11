//! System tests with real processes and a fault-injecting proxy.

mod cluster;
mod faults;
mod path;
