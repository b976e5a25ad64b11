//! A serving system for reclaimable VMs.
//!
//! cassialock stands between callers and backend servers: model engines and
//! plain services that run on VMs which the platform may take back on seconds
//! of notice. Operators run it by declarations kept in version control.
//!
//! There are three ways to use it.
//!
//! - As programs: `cassialockd` is the node, `cassialock` the operators'
//!   command line. The README shows both in two commands.
//! - As a library with thin daemons: [`node::start`] runs a node inside your
//!   own process, and [`load::deploy::Deployment`] a whole small system.
//! - As decisions without I/O: everything under [`core`] takes observations and
//!   the time as arguments and returns what to do.
//!
//! # Examples
//!
//! A version move is a function of the plan, the clock and a few facts that
//! only grow. Any node that holds the same facts comes to the same answer.
//!
//! ```
//! use cassialock::core::config::Move;
//! use cassialock::core::moves::Facts;
//! use cassialock::core::moves::Phase;
//! use cassialock::core::moves::Veto;
//! use cassialock::core::moves::View;
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
//! let view = |facts: &Facts| View {
//!     plan: &plan,
//!     facts,
//!     answers: 20,
//!     now: Time::from_millis(40_000),
//! }
//! .share();
//! assert_eq!(view(&facts), 25);
//!
//! facts.veto = Some(Veto {
//!     reason: "7 of 17 answers failed".into(),
//!     node: "entry-0".into(),
//!     at: Time::from_millis(39_000),
//! });
//! assert_eq!(view(&facts), 0);
//! ```
//!
//! Start with [`core::route`], [`core::retry`] and [`core::once`] for the
//! request path, and with [`core::config`], [`core::member`] and
//! [`core::moves`] for what nodes agree on. `docs/DESIGN.md` says why each
//! decision is as it is.

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
pub mod standin;
pub mod telemetry;
pub mod web;
