//! The model: a store, nodes with their electors and claims, and a cloud that checks what they
//! do.

use std::collections::BTreeMap;
use std::time::Duration;

use cassialock::core::config::Fencing;
use cassialock::core::lease::Action;
use cassialock::core::lease::LeaderElector;
use cassialock::core::lease::Lease;
use cassialock::core::lease::Timings;
use cassialock::core::time::Time;
use cassialock::core::usage::claims::ClaimHistory;
use cassialock::core::usage::claims::Next;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;

const NODES: usize = 3;

/// Time that a step of a node takes, in milliseconds.
const STEP_MS: u64 = 250;

/// Length of a window, in milliseconds.
const WINDOW_MS: u64 = 5_000;

/// Time after the end of a window at which it is reported, in milliseconds.
const SETTLE_MS: u64 = 4_000;

#[derive(Clone, Copy, Debug)]
pub enum Op {
    /// Each node does what it does several times a second, for some rounds.
    Rounds(u8),
    /// The next write of a node is carried out, but its answer is lost.
    LoseAnswer(usize),
    /// The next write of a node is carried out late, if its condition still holds.
    Delay(usize),
    /// The late writes are carried out.
    Deliver,
    /// The store returns from a copy that lacks the last writes.
    Restore(usize),
    /// Nodes are killed and start again.
    Kill(u8),
    /// A node learns the era from another call.
    Learn(usize),
    /// A node runs no step for some rounds.
    Freeze(usize, u8),
}

pub fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        8 => (1..24_u8).prop_map(Op::Rounds),
        2 => (0..NODES).prop_map(Op::LoseAnswer),
        2 => (0..NODES).prop_map(Op::Delay),
        2 => Just(Op::Deliver),
        3 => (0..14_usize).prop_map(Op::Restore),
        4 => (1..(1_u8 << NODES)).prop_map(Op::Kill),
        1 => (0..NODES).prop_map(Op::Learn),
        1 => ((0..NODES), (1..20_u8)).prop_map(|(node, rounds)| Op::Freeze(node, rounds)),
    ];
    proptest::collection::vec(op, 1..40)
}

#[derive(Clone, Debug, PartialEq)]
enum Value {
    Lease(Lease),
    /// A window and a number that stands for its counts; 0 stands for none.
    Claim(u64, u64),
}

/// Objects by name, with their revisions.
type Objects = BTreeMap<String, (u64, Value)>;

/// A write: the name, the revision that it replaces, and the value.
type Write = (String, Option<u64>, Value);

#[derive(Default)]
struct Store {
    /// Whether answers name the era.
    names_era: bool,
    era: u64,
    revision: u64,
    objects: Objects,
    copies: Vec<(u64, Objects)>,
}

impl Store {
    fn named_era(&self) -> u64 {
        if self.names_era { self.era } else { 0 }
    }

    fn write(&mut self, (name, condition, value): Write) -> Option<u64> {
        if self.objects.get(&name).map(|object| object.0) != condition {
            return None;
        }
        self.copies.push((self.revision, self.objects.clone()));
        self.revision += 1;
        self.objects.insert(name, (self.revision, value));
        Some(self.revision)
    }

    fn restore(&mut self, lost_writes: usize) {
        self.era += 1;
        let kept = self.copies.len().saturating_sub(lost_writes);
        if let Some((revision, objects)) = self.copies.get(kept).cloned() {
            self.revision = revision;
            self.objects = objects;
            self.copies.truncate(kept);
        }
    }
}

/// The claim record as a node knows it.
#[derive(Clone, Copy)]
struct Known {
    revision: Option<u64>,
    claim: Option<(u64, u64)>,
    is_sent: bool,
}

struct Node {
    elector: LeaderElector,
    history: ClaimHistory,
    /// Era of the latest answer.
    answered: u64,
    revision: Option<u64>,
    claim: Option<Known>,
    loses_answer: bool,
    delays: bool,
    frozen: u8,
}

impl Node {
    fn new(index: usize) -> Self {
        let timings = Timings {
            term: Duration::from_millis(3_900),
            renewal_interval: Duration::from_millis(1_287),
            safety_margin: Duration::from_millis(780),
            order_timeout: Duration::from_millis(900),
        };
        let name = format!("n{index}").into();
        Self {
            elector: LeaderElector::new(name, Fencing::Refused).with_timings(timings),
            history: ClaimHistory::new(),
            answered: 0,
            revision: None,
            claim: None,
            loses_answer: false,
            delays: false,
            frozen: 0,
        }
    }

    fn object_name(&self, base: &str) -> String {
        format!("{base}-{}", self.elector.era())
    }

    /// Notes a new era and returns whether there is one.
    fn note_era(&mut self, now: Time) -> bool {
        if self.answered == self.elector.era() {
            return false;
        }
        let is_sole = self.elector.record_era(self.answered, now);
        self.history.record_era(is_sole);
        self.revision = None;
        self.claim = None;
        true
    }
}

pub struct Model {
    now: u64,
    store: Store,
    nodes: Vec<Node>,
    late: Vec<Write>,
    /// Nodes by the token that they used.
    tokens: BTreeMap<u64, usize>,
    /// Counts by the window that they were accepted for.
    pub reports: BTreeMap<u64, u64>,
    counts: u64,
}

/// What the cloud has seen that must not happen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    TokenOfTwoNodes,
    WindowTwice,
}

impl Model {
    pub fn new(names_era: bool) -> Self {
        let store = Store {
            names_era,
            era: 1,
            ..Store::default()
        };
        Self {
            now: 100_000,
            store,
            nodes: (0..NODES).map(Node::new).collect(),
            late: Vec::new(),
            tokens: BTreeMap::new(),
            reports: BTreeMap::new(),
            counts: 0,
        }
    }

    /// Returns the newest window that has ended.
    pub fn ended(&self) -> u64 {
        self.now / WINDOW_MS - 1
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn read(&mut self, node: usize, base: &str) -> Option<(u64, Value)> {
        let name = self.nodes[node].object_name(base);
        self.nodes[node].answered = self.store.named_era();
        self.store.objects.get(&name).cloned()
    }

    /// Returns the new revision if the write was acknowledged.
    fn write(&mut self, node: usize, base: &str, at: Option<u64>, value: Value) -> Option<u64> {
        let name = self.nodes[node].object_name(base);
        if std::mem::take(&mut self.nodes[node].delays) {
            self.late.push((name, at, value));
            return None;
        }
        let revision = self.store.write((name, at, value));
        if std::mem::take(&mut self.nodes[node].loses_answer) {
            return None;
        }
        self.nodes[node].answered = self.store.named_era();
        revision
    }

    fn step(&mut self, index: usize) -> Result<(), Fault> {
        let now = self.time();
        self.nodes[index].note_era(now);
        let elector = &self.nodes[index].elector;
        if !elector.is_held(now) && elector.is_stale(now) {
            let read = self.read(index, "duties");
            let node = &mut self.nodes[index];
            if node.note_era(now) {
                return Ok(());
            }
            node.revision = read.as_ref().map(|object| object.0);
            let lease = read.and_then(|object| match object.1 {
                Value::Lease(lease) => Some(lease),
                Value::Claim(..) => None,
            });
            node.elector.record_read(lease, now);
        }
        let node = &mut self.nodes[index];
        match node.elector.next_action(true, now) {
            Action::Wait => Ok(()),
            Action::Write(lease) => {
                let was_held = node.elector.is_held(now);
                let at = node.revision;
                let written = self.write(index, "duties", at, Value::Lease(lease.clone()));
                let node = &mut self.nodes[index];
                if node.note_era(now) {
                    return Ok(());
                }
                let Some(revision) = written else {
                    node.elector.invalidate();
                    return Ok(());
                };
                node.revision = Some(revision);
                node.elector.record_written(lease, now);
                if !was_held {
                    node.claim = None;
                    node.history.record_taken();
                }
                Ok(())
            }
            Action::Lead { fence, .. } => self.report(index, fence),
        }
    }

    fn report(&mut self, index: usize, token: u64) -> Result<(), Fault> {
        let now = self.time();
        let Some(known) = self.known_claim(index) else {
            return Ok(());
        };
        let window = known.claim.map(|claim| claim.0);
        let after = match self.nodes[index].history.next(window) {
            Next::Close => {
                self.claim(index, known.revision, (self.ended(), 0));
                return Ok(());
            }
            Next::After(after) => after,
        };
        let mut known = known;
        if known.is_sent || window.is_none() {
            let settled = (self.now - SETTLE_MS) / WINDOW_MS - 1;
            let next = (after + 1).max(settled - 2);
            if next > settled {
                return Ok(());
            }
            self.counts += 1;
            let claim = (next, self.counts);
            if !self.claim(index, known.revision, claim) {
                return Ok(());
            }
            known.claim = Some(claim);
        }
        let node = &mut self.nodes[index];
        let Some((window, counts)) = known.claim else {
            return Ok(());
        };
        if !node.elector.may_send_order(now) {
            return Ok(());
        }
        if let Some(known) = &mut node.claim {
            known.is_sent = true;
        }
        self.accept(index, token, window, counts)
    }

    /// Returns the claim record, which is read if it is not known.
    fn known_claim(&mut self, index: usize) -> Option<Known> {
        if let Some(known) = self.nodes[index].claim {
            return Some(known);
        }
        let now = self.time();
        let read = self.read(index, "claim");
        let node = &mut self.nodes[index];
        if node.note_era(now) {
            return None;
        }
        let claim = read.as_ref().and_then(|object| match object.1 {
            Value::Claim(window, counts) => Some((window, counts)),
            Value::Lease(_) => None,
        });
        if let Some((window, _)) = claim {
            node.history.record_claim(window);
        }
        let known = Known {
            revision: read.map(|object| object.0),
            is_sent: claim.is_some_and(|claim| claim.1 == 0),
            claim,
        };
        node.claim = Some(known);
        Some(known)
    }

    /// Writes a claim and returns whether that was acknowledged.
    fn claim(&mut self, index: usize, at: Option<u64>, claim: (u64, u64)) -> bool {
        let now = self.time();
        let written = self.write(index, "claim", at, Value::Claim(claim.0, claim.1));
        let node = &mut self.nodes[index];
        if node.note_era(now) {
            return false;
        }
        node.claim = written.map(|revision| Known {
            revision: Some(revision),
            claim: Some(claim),
            is_sent: claim.1 == 0,
        });
        if written.is_some() {
            node.history.record_claim(claim.0);
        }
        written.is_some()
    }

    /// Takes a report as the cloud does.
    fn accept(&mut self, index: usize, token: u64, window: u64, counts: u64) -> Result<(), Fault> {
        let highest = self.tokens.last_key_value().map_or(0, |(token, _)| *token);
        if token < highest {
            return Ok(());
        }
        if *self.tokens.entry(token).or_insert(index) != index {
            return Err(Fault::TokenOfTwoNodes);
        }
        if *self.reports.entry(window).or_insert(counts) != counts {
            return Err(Fault::WindowTwice);
        }
        Ok(())
    }

    pub fn run(&mut self, op: Op) -> Result<(), Fault> {
        match op {
            Op::Rounds(count) => {
                for round in 0..usize::from(count) {
                    self.now += STEP_MS;
                    for offset in 0..NODES {
                        let index = (round + offset) % NODES;
                        if self.nodes[index].frozen > 0 {
                            self.nodes[index].frozen -= 1;
                            continue;
                        }
                        self.step(index)?;
                    }
                }
            }
            Op::LoseAnswer(node) => self.nodes[node].loses_answer = true,
            Op::Delay(node) => self.nodes[node].delays = true,
            Op::Deliver => {
                for write in std::mem::take(&mut self.late) {
                    self.store.write(write);
                }
            }
            Op::Restore(lost_writes) => self.store.restore(lost_writes),
            Op::Kill(mask) => {
                for index in (0..NODES).filter(|index| mask & (1 << index) != 0) {
                    self.nodes[index] = Node::new(index);
                }
            }
            Op::Learn(node) => self.nodes[node].answered = self.store.named_era(),
            Op::Freeze(node, rounds) => self.nodes[node].frozen = rounds,
        }
        Ok(())
    }
}
