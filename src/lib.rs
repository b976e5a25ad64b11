//! A serving system for reclaimable VMs.
//!
//! cassialock routes requests from callers to backend servers: model engines
//! and plain services on VMs that the platform may reclaim at a few seconds'
//! notice. Operators configure it by declarations kept in version control.
//!
//! It can be used in three ways:
//!
//! - As programs: `cassialockd` is the node, `cassialock` is the operators'
//!   command-line tool. The README shows both in two commands.
//! - As a library: [`node::start`] runs a node inside your own process, and
//!   [`load::deploy::Deployment`] runs a small deployment.
//! - As decision logic without I/O: everything under [`core`] takes observations
//!   and the current time as arguments and returns the action to take.
//!
//! # Examples
//!
//! The state of a version move is a function of the plan, the clock and a few
//! facts that are only ever added. Nodes with the same facts compute the same
//! result.
//!
//! ```
//! use cassialock::core::config::Move;
//! use cassialock::core::moves::Facts;
//! use cassialock::core::moves::Phase;
//! use cassialock::core::moves::Veto;
//! use cassialock::core::moves::MoveSnapshot;
//! use cassialock::core::time::Time;
//!
//! let plan = Move {
//!     service: "dosel-llm".into(),
//!     from: "v1".into(),
//!     to: "v2".into(),
//!     start_ms: 0,
//!     deadline_ms: 100_000,
//!     revert: false,
//! };
//! let mut facts = Facts::default();
//! let share = |facts: &Facts| MoveSnapshot {
//!     plan: &plan,
//!     facts,
//!     responses: 20,
//!     now: Time::from_millis(40_000),
//! }
//! .share();
//! assert_eq!(share(&facts), 25);
//!
//! facts.veto = Some(Veto {
//!     reason: "7 of 17 answers failed".into(),
//!     node: "entry-0".into(),
//!     at: Time::from_millis(39_000),
//! });
//! assert_eq!(share(&facts), 0);
//! ```
//!
//! Start with [`core::route`], [`core::retry`] and [`core::once`] for the
//! request path, and with [`core::config`], [`core::member`] and
//! [`core::moves`] for the state that nodes agree on. `docs/DESIGN.md` explains
//! the reasons behind each design decision.

pub mod cli;
pub mod clock;
pub mod core;
pub mod demo;
pub mod entry;
pub mod error;
pub mod frame;
pub mod in_flight;
pub mod load;
pub mod node;
pub mod platform;
pub mod silence;
pub mod standin;
pub mod telemetry;
pub mod web;
