//! List of the known nodes and the suspicions against them.

use std::time::Duration;

use crate::core::Name;
use crate::core::member::Member;
use crate::core::member::State;
use crate::core::member::gossip::Fact;
use crate::core::member::neighbours;
use crate::core::name_map::NameMap;
use crate::core::route::subset;
use crate::core::time::Time;

/// Interval between heartbeats to a neighbour.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a heartbeat after which a node suspects its neighbour.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum time between two rounds; a longer gap means that the node was paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(2_000);

/// Time after which a stopped node is removed from the roster.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// Time after the start of a suspicion until the node is declared stopped.
///
/// It is longer than network partitions between regions usually last.
const GONE_TIMEOUT: Duration = Duration::from_secs(2 * 3_600);

/// Maximum number of members that one round checks for whether this node must monitor them.
const MAX_MONITOR_CHECKS: usize = 8;

/// Number of configuration relays in each failure domain.
pub const RELAYS_PER_DOMAIN: usize = 2;

#[derive(Clone, Debug)]
struct MemberEntry {
    member: Member,
    last_heartbeat: Option<Time>,
    suspicions: Vec<Suspicion>,
    suspected_since: Option<Time>,
    is_checked: bool,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Suspicion {
    observer: Name,
    domain: Name,
}

/// Tracks the members of the cluster from the point of view of one node.
#[derive(Debug)]
pub struct Roster {
    local: Member,
    entries: NameMap<MemberEntry>,
    last_round: Option<Time>,
}

/// Result of a round of failure detection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoundOutcome {
    /// Facts to flood.
    pub facts: Vec<Fact>,
    /// Neighbours to send heartbeats to.
    pub neighbours: Vec<Member>,
    /// Whether this node was paused since the previous round.
    pub was_paused: bool,
}

impl Roster {
    /// Creates the roster of the node `local`, without any other node.
    pub fn new(local: Member) -> Self {
        Self {
            local,
            entries: NameMap::new(),
            last_round: None,
        }
    }

    /// Returns the local node's own member record.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Sets the state of the local node and returns the fact to flood.
    pub fn set_state(&mut self, state: State, now: Time) -> Fact {
        self.local.state = state;
        self.local.at = now;
        Fact::Member(self.local.clone())
    }

    /// Applies a fact about members and returns a refutation if it wrongly concerns this node.
    pub fn apply(&mut self, fact: &Fact) -> Option<Fact> {
        match fact {
            Fact::Member(member) if member.id == self.local.id => self.refute(member),
            Fact::Member(member) => {
                self.apply_member(member);
                None
            }
            Fact::Suspect {
                subject,
                incarnation,
                observer,
                domain,
                ..
            } => self.apply_suspicion(subject, *incarnation, observer, domain),
            _ => None,
        }
    }

    /// Refutes a fact about this node that it did not send itself.
    fn refute(&mut self, member: &Member) -> Option<Fact> {
        let is_older = member.incarnation < self.local.incarnation;
        if is_older || *member == self.local {
            return None;
        }
        self.local.incarnation = member.incarnation + 1;
        Some(Fact::Member(self.local.clone()))
    }

    fn apply_member(&mut self, member: &Member) {
        let entry = self.entries.get_or_insert_with(&member.id, || MemberEntry {
            member: member.clone(),
            last_heartbeat: None,
            suspicions: Vec::new(),
            suspected_since: None,
            is_checked: false,
        });
        if member.incarnation > entry.member.incarnation {
            entry.suspicions.clear();
            entry.last_heartbeat = None;
            entry.suspected_since = None;
            entry.is_checked = false;
        }
        if (member.incarnation, member.state) >= (entry.member.incarnation, entry.member.state) {
            entry.member = member.clone();
        }
    }

    fn apply_suspicion(
        &mut self,
        subject: &Name,
        incarnation: u64,
        observer: &Name,
        domain: &Name,
    ) -> Option<Fact> {
        if *subject == self.local.id {
            if incarnation < self.local.incarnation {
                return None;
            }
            self.local.incarnation = incarnation + 1;
            return Some(Fact::Member(self.local.clone()));
        }
        let entry = self.entries.get_mut(subject)?;
        if incarnation < entry.member.incarnation {
            return None;
        }
        let suspicion = Suspicion {
            observer: observer.clone(),
            domain: domain.clone(),
        };
        if !entry.suspicions.contains(&suspicion) {
            entry.suspicions.push(suspicion);
        }
        None
    }

    /// Records a heartbeat from a neighbour.
    pub fn record_heartbeat(&mut self, from: &Member, now: Time) {
        if from.id == self.local.id {
            return;
        }
        self.apply_member(from);
        if let Some(entry) = self.entries.get_mut(&from.id) {
            entry.last_heartbeat = Some(now);
            entry.suspected_since = None;
            let local = &self.local.id;
            entry
                .suspicions
                .retain(|suspicion| suspicion.observer != *local);
        }
    }

    /// Runs a round of failure detection and selects the heartbeat targets.
    pub fn run_round(&mut self, now: Time) -> RoundOutcome {
        let was_paused = self
            .last_round
            .is_some_and(|last| now.since(last) > PAUSE_THRESHOLD);
        self.last_round = Some(now);
        let mut round = RoundOutcome {
            was_paused,
            ..RoundOutcome::default()
        };
        if was_paused {
            self.restart_timeouts(now);
        }
        self.start_timeouts(now);
        self.suspect_silent(now, &mut round);
        self.declare_gone(now, &mut round);
        self.remove_gone(now);
        round.neighbours = self.neighbours();
        round
    }

    /// Returns the neighbours that this node sends heartbeats to.
    pub fn neighbours(&self) -> Vec<Member> {
        neighbours::neighbours_of(&self.local.id, self.ring())
            .iter()
            .filter_map(|id| self.entries.get(id))
            .map(|entry| entry.member.clone())
            .collect()
    }

    /// Restarts all heartbeat timeouts after a pause of this node, which may have missed
    /// heartbeats itself.
    fn restart_timeouts(&mut self, now: Time) {
        for (_, entry) in self.entries.iter_mut() {
            if entry.last_heartbeat.is_some() {
                entry.last_heartbeat = Some(now);
            }
        }
    }

    /// Returns whether `subject` sends heartbeats to this node.
    fn is_monitored(&self, subject: &str) -> bool {
        neighbours::neighbours_of(subject, self.ring()).contains(&self.local.id)
    }

    /// Starts the timeout for members that have not sent their first heartbeat yet.
    ///
    /// Without it, a member that stops before its first heartbeat would never
    /// be suspected.
    fn start_timeouts(&mut self, now: Time) {
        let unchecked: Vec<Name> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.is_checked && entry.member.state == State::Live)
            .map(|(id, _)| id.clone())
            .take(MAX_MONITOR_CHECKS)
            .collect();
        for id in unchecked {
            let is_monitored = self.is_monitored(&id);
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.is_checked = true;
                if is_monitored && entry.last_heartbeat.is_none() && entry.suspected_since.is_none()
                {
                    entry.last_heartbeat = Some(now);
                }
            }
        }
    }

    fn suspect_silent(&mut self, now: Time, round: &mut RoundOutcome) {
        let silent: Vec<Name> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.member.state != State::Gone)
            .filter(|(_, entry)| {
                entry
                    .last_heartbeat
                    .is_some_and(|last| now.since(last) > SUSPECT_TIMEOUT)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            // The ring may have changed so that the member sends to other nodes now.
            let is_monitored = self.is_monitored(&id);
            self.end_timeout(&id, is_monitored, now, round);
        }
    }

    /// Stops the timeout of a silent member and suspects it if it should send to this node.
    fn end_timeout(&mut self, id: &Name, is_monitored: bool, now: Time, round: &mut RoundOutcome) {
        let suspicion = Suspicion {
            observer: self.local.id.clone(),
            domain: self.local.domain.clone(),
        };
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.last_heartbeat = None;
        if !is_monitored || entry.suspicions.contains(&suspicion) {
            return;
        }
        entry.suspicions.push(suspicion);
        entry.suspected_since = Some(now);
        round.facts.push(Fact::Suspect {
            subject: id.clone(),
            incarnation: entry.member.incarnation,
            observer: self.local.id.clone(),
            domain: self.local.domain.clone(),
            at: now,
        });
    }

    /// Declares neighbours stopped that have been silent for longer than [`GONE_TIMEOUT`].
    fn declare_gone(&mut self, now: Time, round: &mut RoundOutcome) {
        for (_, entry) in self.entries.iter_mut() {
            let is_over = entry
                .suspected_since
                .is_some_and(|since| now.since(since) > GONE_TIMEOUT);
            if is_over && entry.member.state != State::Gone {
                entry.member.state = State::Gone;
                entry.member.at = now;
                round.facts.push(Fact::Member(entry.member.clone()));
            }
        }
    }

    fn remove_gone(&mut self, now: Time) {
        self.entries.retain(|_, entry| {
            entry.member.state != State::Gone || now.since(entry.member.at) <= GONE_RETENTION
        });
    }

    /// Returns the members on the ring.
    ///
    /// A suspected member stays on the ring, so that its neighbours keep trying
    /// to reach it and the ring does not change during a network partition.
    fn ring(&self) -> impl Iterator<Item = &Member> {
        let others = self
            .entries
            .iter()
            .map(|(_, entry)| &entry.member)
            .filter(|member| member.state != State::Gone);
        std::iter::once(&self.local).chain(others)
    }

    /// Returns whether the suspicions against a member suffice to stop routing to it.
    ///
    /// Observers from two failure domains are required if the other members
    /// span at least two, so that a partitioned domain does not consider all
    /// others failed.
    fn is_suspected(&self, entry: &MemberEntry) -> bool {
        let mut domains: Vec<&Name> = entry
            .suspicions
            .iter()
            .map(|suspicion| &suspicion.domain)
            .collect();
        domains.sort();
        domains.dedup();
        !domains.is_empty() && domains.len() >= self.required_domains(&entry.member.id)
    }

    fn required_domains(&self, subject: &Name) -> usize {
        let mut domains: Vec<&Name> = self
            .ring()
            .filter(|member| member.id != *subject)
            .map(|member| &member.domain)
            .collect();
        domains.sort();
        domains.dedup();
        domains.len().min(2)
    }

    /// Returns whether a member is known, in the live state and not suspected.
    pub fn is_live(&self, id: &str) -> bool {
        if *id == *self.local.id {
            return self.local.state == State::Live;
        }
        self.entries
            .get(id)
            .is_some_and(|entry| entry.member.state == State::Live && !self.is_suspected(entry))
    }

    /// Returns the members that are live and not suspected, sorted by name.
    pub fn live_members(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self
            .ring()
            .filter(|member| self.is_live(&member.id))
            .cloned()
            .collect();
        members.sort_by(|a, b| a.id.cmp(&b.id));
        members
    }

    /// Returns all members, sorted by name, and whether each is live and not suspected.
    pub fn members(&self) -> Vec<(Member, bool)> {
        let mut members: Vec<(Member, bool)> = self
            .ring()
            .map(|member| (member.clone(), self.is_live(&member.id)))
            .collect();
        members.sort_by(|a, b| a.0.id.cmp(&b.0.id));
        members
    }

    /// Returns the member named `id`.
    pub fn get(&self, id: &str) -> Option<&Member> {
        if *id == *self.local.id {
            return Some(&self.local);
        }
        self.entries.get(id).map(|entry| &entry.member)
    }

    /// Returns whether this node is one of the configuration relays of its failure domain.
    pub fn is_relay(&self) -> bool {
        let items: Vec<subset::SubsetItem> = self
            .live_members()
            .iter()
            .filter(|member| member.domain == self.local.domain)
            .map(Member::placed)
            .collect();
        subset::pick("relay", &items, RELAYS_PER_DOMAIN).contains(&self.local.id)
    }

    /// Returns the live members that are entry nodes for a workspace.
    pub fn entry_nodes(&self, workspace: &str) -> Vec<Member> {
        let live = self.live_members();
        let items: Vec<subset::SubsetItem> = live.iter().map(Member::placed).collect();
        subset::pick(workspace, &items, subset::MAX_ENTRY_NODES)
            .iter()
            .filter_map(|id| live.iter().find(|member| member.id == *id).cloned())
            .collect()
    }
}
