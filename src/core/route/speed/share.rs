//! Messages in which nodes share what they know of the speeds of servers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::hash;
use crate::core::route::speed::Kind;
use crate::core::route::speed::fit;
use crate::core::route::speed::fit::Normal;
use crate::core::route::speed::sum::Sum;
use crate::core::time::Time;

/// Messages of one scope that a node sends per second.
pub const ROUNDS_PER_S: f64 = 2.0;

/// Bytes per second that a node sends to all others where every node hears every other.
const MESH_RATE: f64 = 4_000.0;

/// Bytes per second that a node sends to its aggregators.
const REPORT_RATE: f64 = 1_000.0;

/// Bytes per second that an aggregator sends for each node that reports to it.
///
/// Each node hears two aggregators, so that it sends and receives at most 3,800 bytes
/// per second.
const DIGEST_RATE: f64 = 1_400.0;

/// Bytes per second that an aggregator may add, for each node that reports to it, to the
/// messages to other aggregators.
const DOMAIN_RATE: f64 = 100.0;

/// Largest message in bytes.
const MAX_MESSAGE: f64 = 2_300.0;

/// Smallest limit of a message in bytes; a node sends to many aggregators only while some
/// are silent.
const MIN_MESSAGE: f64 = 80.0;

/// Maximum number of rows in a message.
pub const MAX_ROWS: usize = 256;

/// Maximum number of fits in a message.
pub const MAX_FITS: usize = 32;

/// Largest number of nodes whose samples a message may claim to hold.
pub const MAX_NODES: u32 = 5_000;

/// Encoded size of a row in bytes.
pub const ROW_BYTES: usize = 8;

/// Largest encoded size of a fit in bytes.
pub const FIT_BYTES: usize = 93;

/// Largest encoded size of the other parts of a message apart from names, in bytes.
const HEADER_BYTES: usize = 26;

/// Largest ratio of a server, as a natural logarithm (16 times).
pub const MAX_LOG: f64 = 2.772_588_722_239_781;

/// Largest weight of a row of one node; a server gives at most some hundred responses
/// per second.
const MAX_WEIGHT: f64 = 5_000.0;

/// Steps of an encoded mean per unit.
const MEAN_STEPS: f64 = 512.0;

/// Steps of an encoded weight per doubling, a precision of half a percent.
const WEIGHT_STEPS: f64 = 128.0;

/// Encoded weight of 1.
const WEIGHT_ONE: f64 = 1_024.0;

/// Largest value of 12 bits.
const MAX_CODE: f64 = 4_095.0;

/// Kind bits of a key that stand for the load of a service.
const LOAD_BITS: u32 = 3;

/// Returns the hash of a server or service in a key.
pub fn name_hash(name: &str) -> u32 {
    hash(&["speed", name]) as u32 & !LOAD_BITS
}

/// Returns the key of a server or service in messages; `None` is the load of a service.
pub const fn key(name_hash: u32, kind: Option<Kind>) -> u32 {
    match kind {
        Some(kind) => name_hash | kind as u32,
        None => name_hash | LOAD_BITS,
    }
}

/// Splits a key into a hash and a kind.
pub const fn split(key: u32) -> (u32, Option<Kind>) {
    let kind = match key & LOAD_BITS {
        0 => Some(Kind::First),
        1 => Some(Kind::Pace),
        2 => Some(Kind::Plain),
        _ => None,
    };
    (key & !LOAD_BITS, kind)
}

/// The sums of one server, or the load of one service, in 8 bytes.
///
/// From the highest bit: key (32 bits), mean (12), weight (12), age of the newest value
/// in tenths of a second (8).
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row([u8; ROW_BYTES]);

impl Row {
    /// Encodes sums that are decayed to `now`.
    pub fn new(key: u32, sum: &Sum, now: Time) -> Self {
        let mean = (sum.mean() * MEAN_STEPS).round() + MAX_CODE / 2.0;
        let weight = sum.weight.max(1e-9).log2() * WEIGHT_STEPS + WEIGHT_ONE;
        let age = now.since(sum.newest).as_millis() / 100;
        let code = |value: f64| value.round().clamp(0.0, MAX_CODE) as u64;
        let bits = u64::from(key) << 32
            | code(mean.floor()) << 20
            | code(weight) << 8
            | age.min(255) as u64;
        Self(bits.to_be_bytes())
    }

    /// Returns the key.
    pub const fn key(&self) -> u32 {
        (u64::from_be_bytes(self.0) >> 32) as u32
    }

    /// Decodes the sums, or returns `None` if they are not possible.
    ///
    /// `nodes` is the number of nodes whose samples they hold.
    pub fn sum(&self, nodes: u32, now: Time) -> Option<Sum> {
        let bits = u64::from_be_bytes(self.0);
        let code = |shift: u32| ((bits >> shift) & 0xfff) as f64;
        let mean = (code(20) - (MAX_CODE / 2.0).floor()) / MEAN_STEPS;
        let weight = ((code(8) - WEIGHT_ONE) / WEIGHT_STEPS).exp2();
        let is_possible = match split(self.key()).1 {
            Some(_) => mean.abs() <= MAX_LOG + 1.0 / MEAN_STEPS,
            None => (0.0..=1.0).contains(&mean),
        };
        let is_bounded = weight <= MAX_WEIGHT * f64::from(nodes.clamp(1, 100));
        let age = Duration::from_millis(100 * (bits & 0xff));
        (is_possible && is_bounded).then(|| Sum {
            weight,
            total: weight * mean,
            at: now,
            newest: now.before(age),
        })
    }
}

/// The normal equations of one service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct FitRow {
    /// Key of the service.
    pub key: u32,
    /// Age of the newest sample in tenths of a second.
    pub age_ds: u16,
    /// Weight of the samples.
    pub samples: f32,
    /// Sums of the products of two sizes.
    pub products: [f32; fit::PRODUCTS],
    /// Sums of the products of a size and the time.
    pub times: [f32; fit::COEFFICIENTS],
}

impl FitRow {
    /// Encodes normal equations that are decayed to `now`.
    pub fn new(key: u32, normal: &Normal, now: Time) -> Self {
        let age = now.since(normal.newest).as_millis() / 100;
        Self {
            key,
            age_ds: u16::try_from(age).unwrap_or(u16::MAX),
            samples: normal.samples as f32,
            products: normal.products.map(|value| value as f32),
            times: normal.times.map(|value| value as f32),
        }
    }

    /// Decodes the normal equations, or returns `None` if they are not possible.
    ///
    /// `nodes` is the number of nodes whose samples they hold.
    pub fn normal(&self, nodes: u32, now: Time) -> Option<Normal> {
        let age = Duration::from_millis(100 * u64::from(self.age_ds));
        let normal = Normal {
            products: self.products.map(f64::from),
            times: self.times.map(f64::from),
            samples: f64::from(self.samples),
            at: now,
            newest: now.before(age),
        };
        // A service gets more samples than one of its servers.
        let limit = 100.0 * MAX_WEIGHT * f64::from(nodes.clamp(1, 100));
        (normal.is_valid() && normal.samples <= limit).then_some(normal)
    }
}

/// Whose samples a message holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Scope {
    /// Those of the sender.
    Entry,
    /// Those of all nodes that report to the sender, an aggregator of this failure domain.
    Domain(Name),
    /// Those of all nodes, as an aggregator knows them.
    Fleet,
}

impl Scope {
    /// Returns the place of the scope in lists by scope.
    pub const fn index(&self) -> usize {
        match self {
            Scope::Entry => 0,
            Scope::Domain(_) => 1,
            Scope::Fleet => 2,
        }
    }
}

/// What one message shares.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Share {
    /// Whose samples it holds.
    pub scope: Scope,
    /// Number of nodes whose samples it holds.
    pub nodes: u32,
    /// Sums by server and kind, and loads of services.
    pub rows: Vec<Row>,
    /// Normal equations by service and kind.
    pub fits: Vec<FitRow>,
}

/// A share and its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// The sender.
    pub node: Name,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub seq: u64,
    /// The content.
    pub share: Share,
}

/// Numbers of nodes that a share is sent to, which determine its size.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Audience {
    /// All other nodes.
    Mesh(usize),
    /// Aggregators, from a node that reports to them.
    Aggregators(usize),
    /// Aggregators, from one of them: the number of its reporters and of receivers.
    Domains(usize, usize),
    /// Reporters of an aggregator: their number and that of the receivers of its domain's
    /// share.
    Reporters(usize, usize),
}

impl Audience {
    /// Returns the bytes that each message may use.
    pub fn message_bytes(self) -> f64 {
        let each = |rate: f64, receivers: usize| rate / (ROUNDS_PER_S * receivers.max(1) as f64);
        let digest = |reporters: usize, receivers: usize| {
            each(DIGEST_RATE * (reporters + 1) as f64, reporters + receivers)
        };
        let bytes = match self {
            Audience::Mesh(receivers) => each(MESH_RATE, receivers),
            Audience::Aggregators(receivers) => each(REPORT_RATE, receivers),
            Audience::Reporters(reporters, receivers) => {
                digest(reporters, receivers).min(DIGEST_RATE / ROUNDS_PER_S)
            }
            Audience::Domains(reporters, receivers) => {
                let added = each(DOMAIN_RATE * (reporters + 1) as f64, receivers);
                digest(reporters, receivers)
                    .min(DIGEST_RATE / ROUNDS_PER_S)
                    .max(added)
            }
        };
        bytes.clamp(MIN_MESSAGE, MAX_MESSAGE)
    }
}

/// Returns the bytes of a message without rows and fits, for a sender and scope.
pub fn header_bytes(node: &str, scope: &Scope) -> usize {
    let domain = match scope {
        Scope::Domain(domain) => domain.len() + 1,
        _ => 0,
    };
    HEADER_BYTES + node.len() + domain
}
