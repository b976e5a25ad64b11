//! Aggregation of the state of many nodes by failure domain.
//!
//! Nodes of a large deployment cannot all hear each other. Each node reports its
//! status to the aggregators of its failure domain. An aggregator sends a
//! [`summary::DomainSummary`] to the aggregators of all domains, and the
//! combined state of the fleet to the nodes that report to it. All messages have
//! a size that does not depend on the number of nodes.
//!
//! - [`ranking`] chooses the aggregators, from the registrations that all nodes share.
//! - [`summary`] combines the state of several nodes.
//! - [`collector`] holds the summaries that an aggregator receives.
//! - [`view`] is the state of the fleet as a node learns it from its aggregators.

pub mod collector;
pub mod ranking;
pub mod summary;
pub mod view;
