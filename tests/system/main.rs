//! System tests with real processes and a fault-injecting proxy.

mod api;
mod cluster;
mod explained;
mod faults;
mod hedged;
mod leaving;
mod silent;
