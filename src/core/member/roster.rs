//! Which nodes there are and which of them are suspected.

use std::time::Duration;

use crate::core::Name;
use crate::core::member::Member;
use crate::core::member::State;
use crate::core::member::gossip::Fact;
use crate::core::member::links;
use crate::core::route::subset;
use crate::core::table::Table;
use crate::core::time::Time;

/// Time between two heartbeats to a neighbour.
pub const HEARTBEAT: Duration = Duration::from_millis(500);

/// Silence after which a node suspects its neighbour.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2_500);

/// Time between two rounds after which a node must have been paused.
pub const PAUSE_LIMIT: Duration = Duration::from_millis(2_000);

/// Time after which a node that has stopped is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Time after which a node that is not heard counts as stopped.
///
/// It is longer than the time for which regions lose each other.
const GONE_AFTER: Duration = Duration::from_secs(2 * 3_600);

/// Members checked in one round for whether this node must watch them.
const WATCH_CHECKS: usize = 8;

/// Relays of configuration in each failure domain.
pub const RELAYS: usize = 2;

#[derive(Clone, Debug)]
struct Row {
    member: Member,
    heard: Option<Time>,
    suspicions: Vec<Suspicion>,
    silent_since: Option<Time>,
    is_checked: bool,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Suspicion {
    observer: Name,
    domain: Name,
}

/// The nodes as seen from one of them.
#[derive(Debug)]
pub struct Roster {
    me: Member,
    rows: Table<Row>,
    last_round: Option<Time>,
}

/// What a round of checks found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Round {
    /// Facts to flood.
    pub facts: Vec<Fact>,
    /// Neighbours to send a heartbeat to.
    pub links: Vec<Member>,
    /// Whether this node was paused since its last round.
    pub was_paused: bool,
}

impl Roster {
    /// Creates the roster of the node `me`, which knows no other node yet.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            rows: Table::new(),
            last_round: None,
        }
    }

    /// Returns this node's account of itself.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Sets this node's own state and returns the fact to flood.
    pub fn set_state(&mut self, state: State, now: Time) -> Fact {
        self.me.state = state;
        self.me.at = now;
        Fact::Member(self.me.clone())
    }

    /// Takes a fact about members; returns a refutation if it is about this node.
    pub fn take(&mut self, fact: &Fact) -> Option<Fact> {
        match fact {
            Fact::Member(member) if member.id == self.me.id => self.refute(member),
            Fact::Member(member) => {
                self.take_member(member);
                None
            }
            Fact::Suspect {
                subject,
                incarnation,
                observer,
                domain,
                ..
            } => self.take_suspicion(subject, *incarnation, observer, domain),
            _ => None,
        }
    }

    /// Answers news about this node that it did not send itself.
    fn refute(&mut self, member: &Member) -> Option<Fact> {
        let is_older = member.incarnation < self.me.incarnation;
        if is_older || *member == self.me {
            return None;
        }
        self.me.incarnation = member.incarnation + 1;
        Some(Fact::Member(self.me.clone()))
    }

    fn take_member(&mut self, member: &Member) {
        let row = self.rows.get_or_insert_with(&member.id, || Row {
            member: member.clone(),
            heard: None,
            suspicions: Vec::new(),
            silent_since: None,
            is_checked: false,
        });
        if member.incarnation > row.member.incarnation {
            row.suspicions.clear();
            row.heard = None;
            row.silent_since = None;
            row.is_checked = false;
        }
        if (member.incarnation, member.state) >= (row.member.incarnation, row.member.state) {
            row.member = member.clone();
        }
    }

    fn take_suspicion(
        &mut self,
        subject: &Name,
        incarnation: u64,
        observer: &Name,
        domain: &Name,
    ) -> Option<Fact> {
        if *subject == self.me.id {
            if incarnation < self.me.incarnation {
                return None;
            }
            self.me.incarnation = incarnation + 1;
            return Some(Fact::Member(self.me.clone()));
        }
        let row = self.rows.get_mut(subject)?;
        if incarnation < row.member.incarnation {
            return None;
        }
        let suspicion = Suspicion {
            observer: observer.clone(),
            domain: domain.clone(),
        };
        if !row.suspicions.contains(&suspicion) {
            row.suspicions.push(suspicion);
        }
        None
    }

    /// Records a heartbeat from a neighbour.
    pub fn record_heartbeat(&mut self, from: &Member, now: Time) {
        if from.id == self.me.id {
            return;
        }
        self.take_member(from);
        if let Some(row) = self.rows.get_mut(&from.id) {
            row.heard = Some(now);
            row.silent_since = None;
            let me = &self.me.id;
            row.suspicions.retain(|s| s.observer != *me);
        }
    }

    /// Makes a round: finds silent neighbours and whom to send heartbeats to.
    pub fn round(&mut self, now: Time) -> Round {
        let was_paused = self
            .last_round
            .is_some_and(|last| now.since(last) > PAUSE_LIMIT);
        self.last_round = Some(now);
        let mut round = Round {
            was_paused,
            ..Round::default()
        };
        if was_paused {
            self.restart_watch(now);
        }
        self.begin_watch(now);
        self.suspect_silent(now, &mut round);
        self.declare_gone(now, &mut round);
        self.forget_gone(now);
        round.links = self.links();
        round
    }

    /// Returns the neighbours that this node sends to.
    pub fn links(&self) -> Vec<Member> {
        links::of(&self.me.id, self.ring())
            .iter()
            .filter_map(|id| self.rows.get(id))
            .map(|row| row.member.clone())
            .collect()
    }

    /// Counts silence anew after a pause: what was not heard may be this node's fault.
    fn restart_watch(&mut self, now: Time) {
        for (_, row) in self.rows.iter_mut() {
            if row.heard.is_some() {
                row.heard = Some(now);
            }
        }
    }

    /// Returns whether `subject` sends its heartbeats to this node.
    fn is_heard_here(&self, subject: &str) -> bool {
        links::of(subject, self.ring()).contains(&self.me.id)
    }

    /// Begins to wait for members whose first heartbeat has not come yet.
    ///
    /// Without it a member that stops before its first heartbeat would never
    /// be missed.
    fn begin_watch(&mut self, now: Time) {
        let unchecked: Vec<Name> = self
            .rows
            .iter()
            .filter(|(_, row)| !row.is_checked && row.member.state == State::Live)
            .map(|(id, _)| id.clone())
            .take(WATCH_CHECKS)
            .collect();
        for id in unchecked {
            let is_heard = self.is_heard_here(&id);
            if let Some(row) = self.rows.get_mut(&id) {
                row.is_checked = true;
                if is_heard && row.heard.is_none() && row.silent_since.is_none() {
                    row.heard = Some(now);
                }
            }
        }
    }

    fn suspect_silent(&mut self, now: Time, round: &mut Round) {
        let silent: Vec<Name> = self
            .rows
            .iter()
            .filter(|(_, row)| row.member.state != State::Gone)
            .filter(|(_, row)| {
                row.heard
                    .is_some_and(|heard| now.since(heard) > SUSPECT_AFTER)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            // The ring may have changed, and the member sends to others now.
            let is_heard = self.is_heard_here(&id);
            self.end_watch(&id, is_heard, now, round);
        }
    }

    /// Stops waiting for a silent member and, if it should be heard, suspects it.
    fn end_watch(&mut self, id: &Name, is_heard: bool, now: Time, round: &mut Round) {
        let suspicion = Suspicion {
            observer: self.me.id.clone(),
            domain: self.me.domain.clone(),
        };
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        row.heard = None;
        if !is_heard || row.suspicions.contains(&suspicion) {
            return;
        }
        row.suspicions.push(suspicion);
        row.silent_since = Some(now);
        round.facts.push(Fact::Suspect {
            subject: id.clone(),
            incarnation: row.member.incarnation,
            observer: self.me.id.clone(),
            domain: self.me.domain.clone(),
            at: now,
        });
    }

    /// Declares neighbours as stopped that were not heard for very long.
    fn declare_gone(&mut self, now: Time, round: &mut Round) {
        for (_, row) in self.rows.iter_mut() {
            let is_over = row
                .silent_since
                .is_some_and(|since| now.since(since) > GONE_AFTER);
            if is_over && row.member.state != State::Gone {
                row.member.state = State::Gone;
                row.member.at = now;
                round.facts.push(Fact::Member(row.member.clone()));
            }
        }
    }

    fn forget_gone(&mut self, now: Time) {
        self.rows.retain(|_, row| {
            row.member.state != State::Gone || now.since(row.member.at) <= FORGET_AFTER
        });
    }

    /// Returns the members that have a place on the ring.
    ///
    /// A suspected member keeps its place, so that its neighbours go on trying
    /// to reach it and the ring does not change while a region is cut off.
    fn ring(&self) -> impl Iterator<Item = &Member> {
        let others = self
            .rows
            .iter()
            .map(|(_, row)| &row.member)
            .filter(|member| member.state != State::Gone);
        std::iter::once(&self.me).chain(others)
    }

    /// Returns whether suspicions of a member suffice to send nothing to it.
    ///
    /// Observers from two failure domains are needed if there are two besides
    /// the member itself, so that a domain that is cut off does not count all
    /// others as failed.
    fn is_suspected(&self, row: &Row) -> bool {
        let mut domains: Vec<&Name> = row.suspicions.iter().map(|s| &s.domain).collect();
        domains.sort();
        domains.dedup();
        !domains.is_empty() && domains.len() >= self.needed_domains(&row.member.id)
    }

    fn needed_domains(&self, subject: &Name) -> usize {
        let mut domains: Vec<&Name> = self
            .ring()
            .filter(|member| member.id != *subject)
            .map(|member| &member.domain)
            .collect();
        domains.sort();
        domains.dedup();
        domains.len().min(2)
    }

    /// Returns whether a member is known and believed to take requests.
    pub fn is_live(&self, id: &str) -> bool {
        if *id == *self.me.id {
            return self.me.state == State::Live;
        }
        self.rows
            .get(id)
            .is_some_and(|row| row.member.state == State::Live && !self.is_suspected(row))
    }

    /// Returns the members that are believed to take requests, sorted by name.
    pub fn live(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self
            .ring()
            .filter(|member| self.is_live(&member.id))
            .cloned()
            .collect();
        members.sort_by(|a, b| a.id.cmp(&b.id));
        members
    }

    /// Returns all members and whether each is believed to take requests.
    pub fn all(&self) -> Vec<(Member, bool)> {
        let mut members: Vec<(Member, bool)> = self
            .ring()
            .map(|member| (member.clone(), self.is_live(&member.id)))
            .collect();
        members.sort_by(|a, b| a.0.id.cmp(&b.0.id));
        members
    }

    /// Returns a member by its name.
    pub fn get(&self, id: &str) -> Option<&Member> {
        if *id == *self.me.id {
            return Some(&self.me);
        }
        self.rows.get(id).map(|row| &row.member)
    }

    /// Returns whether this node is one of the relays of its failure domain.
    pub fn is_relay(&self) -> bool {
        let items: Vec<subset::SubsetItem> = self
            .live()
            .iter()
            .filter(|member| member.domain == self.me.domain)
            .map(Member::placed)
            .collect();
        subset::pick("relay", &items, RELAYS).contains(&self.me.id)
    }

    /// Returns the entry nodes for a workspace, of the live ones.
    pub fn entries(&self, workspace: &str) -> Vec<Member> {
        let live = self.live();
        let items: Vec<subset::SubsetItem> = live.iter().map(Member::placed).collect();
        subset::pick(workspace, &items, subset::MAX_ENTRY_NODES)
            .iter()
            .filter_map(|id| live.iter().find(|member| member.id == *id).cloned())
            .collect()
    }
}
