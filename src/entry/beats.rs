//! Heartbeats between entries, as datagrams.
//!
//! A datagram that is lost needs no repeat, since the next one says the same
//! and more; and nothing is kept between two entries that could go silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::core::Name;
use crate::core::lease::Lease;
use crate::core::peer;
use crate::core::peer::Beat;
use crate::core::peer::Peers;
use crate::core::peer::Phase;
use crate::core::peer::Status;
use crate::core::table::Table;
use crate::core::time::Time;
use crate::core::usage::Counts;
use crate::entry::Entry;
use crate::entry::relay;
use crate::error::Error;
use crate::frame;
use crate::telemetry::events::Event;

/// Time between two heartbeats.
const STEP: Duration = Duration::from_millis(500);

/// Entries up to which each one sends to all others.
const FULL_MESH: usize = 16;

/// Entries that one sends to at a time when there are more.
const FAN_OUT: usize = 8;

/// Statuses of others that are passed on in one datagram.
const PASSED_ON: usize = 4;

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 60_000;

/// Time for which an entry that was registered and not heard counts as there.
const UNHEARD: Duration = Duration::from_secs(10);

/// Time after which a registration that is not heard is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(60);

/// What one entry sends to another.
#[derive(Deserialize, Serialize)]
enum Datagram {
    Beat(Box<Beat>),
    Ask(relay::Ask),
    Told(relay::Told),
}

/// An entry as registered in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for heartbeats.
    pub peer: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Time of its start, in microseconds since 1970 by its own clock.
    pub started: u64,
}

#[derive(Clone, Debug)]
struct Registered {
    member: Member,
    revision: u64,
    since: Time,
}

#[derive(Default)]
struct State {
    peers: Peers,
    members: Table<Registered>,
    incarnation: u64,
    seq: u64,
    lease: Option<Lease>,
}

/// Who shares the limits with this entry.
#[derive(Clone, Debug)]
pub struct Used {
    /// Entries, this one included.
    pub nodes: usize,
    /// Entries that are registered and were not heard yet.
    pub unheard: usize,
    /// How the others use the quotas, by workspace.
    pub others: Table<peer::Used>,
}

/// What this entry knows of the others.
#[derive(Default)]
pub struct Beats {
    state: Mutex<State>,
}

/// Binds the socket for heartbeats.
///
/// # Errors
///
/// Returns an error if the address cannot be used.
pub async fn bind(address: SocketAddr) -> Result<UdpSocket, Error> {
    UdpSocket::bind(address)
        .await
        .map_err(|e| Error::io(address.to_string(), &e))
}

impl Beats {
    /// Creates a view without other entries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the incarnation of this process, unless it has one.
    ///
    /// A process that registers again goes on under its first incarnation, so
    /// that its counts are not taken for those of another one.
    pub fn set_incarnation(&self, revision: u64) {
        let mut state = self.state.lock().unwrap();
        if state.incarnation == 0 {
            state.incarnation = revision;
        }
    }

    /// Returns the incarnation of this process, or 0 before it is registered.
    pub fn incarnation(&self) -> u64 {
        self.state.lock().unwrap().incarnation
    }

    /// Says which lease this entry holds.
    pub fn set_lease(&self, lease: Option<Lease>) {
        self.state.lock().unwrap().lease = lease;
    }

    /// Takes over one registration; `None` means that it was removed.
    pub fn set_member(&self, name: &Name, member: Option<(Member, u64)>, now: Time) {
        let mut state = self.state.lock().unwrap();
        match member {
            Some((member, revision)) => {
                let registered = Registered {
                    member,
                    revision,
                    since: now,
                };
                state.members.insert(name.clone(), registered);
            }
            None => {
                state.members.remove(name);
                state.peers.remove(name, now);
            }
        }
    }

    /// Returns the names of all registered entries.
    pub fn members(&self) -> Vec<Name> {
        let state = self.state.lock().unwrap();
        state.members.iter().map(|(name, _)| name.clone()).collect()
    }

    /// Returns registrations of entries that were not heard for long.
    pub fn removable(&self, own: &str, now: Time) -> Vec<(Name, u64)> {
        let state = self.state.lock().unwrap();
        let heard = state.peers.heard(now, REMOVE_AFTER);
        state
            .members
            .iter()
            .filter(|(name, _)| ***name != *own && heard.binary_search(name).is_err())
            .filter(|(_, row)| now.since(row.since) > REMOVE_AFTER)
            .map(|(name, row)| (name.clone(), row.revision))
            .collect()
    }

    /// Returns whether the registrations were read.
    pub fn is_known(&self) -> bool {
        !self.state.lock().unwrap().members.is_empty()
    }

    /// Returns who shares the limits and how the others use the quotas.
    pub fn used(&self, now: Time) -> Used {
        let mut state = self.state.lock().unwrap();
        let (heard, used) = state.peers.take_used(now);
        let known = state.peers.names();
        let unheard = state.members.iter().filter(|(name, row)| {
            known.binary_search(name).is_err() && now.since(row.since) < UNHEARD
        });
        // The own registration is never heard, and stands for this entry.
        let unheard = unheard.count().saturating_sub(1);
        Used {
            nodes: heard + unheard + 1,
            unheard,
            others: used,
        }
    }

    /// Returns the difference of the time of day to that of most entries, in
    /// microseconds.
    pub fn clock_offset(&self, now: Time) -> i64 {
        self.state.lock().unwrap().peers.clock_offset(now)
    }

    /// Returns the usage counts of the other entries.
    pub fn counts(&self) -> Vec<Counts> {
        let state = self.state.lock().unwrap();
        state.peers.counts().cloned().collect()
    }

    /// Returns the lease of the duties as another entry last told it.
    pub fn lease(&self) -> Option<Lease> {
        self.state.lock().unwrap().peers.lease().cloned()
    }

    /// Takes over the status of another entry, and returns whether it was new.
    pub fn merge(&self, status: Status, now: Time) -> bool {
        self.state.lock().unwrap().peers.merge(status, now)
    }

    /// Returns the statuses of the other entries that were heard lately.
    pub fn live(&self, now: Time) -> Vec<Status> {
        self.state
            .lock()
            .unwrap()
            .peers
            .live(now)
            .cloned()
            .collect()
    }

    /// Returns the addresses for callers of the others in the best phase that
    /// any of them, or this entry in `own`, is in.
    pub fn fronts(&self, own: Phase, now: Time) -> (bool, Vec<SocketAddr>) {
        let state = self.state.lock().unwrap();
        let serving = |phase| matches!(phase, Phase::Ready | Phase::Stale);
        let best = state
            .peers
            .live(now)
            .map(|status| status.phase)
            .chain([own])
            .filter(|phase| serving(*phase))
            .max();
        let Some(best) = best else {
            return (false, Vec::new());
        };
        let fronts = state
            .peers
            .live(now)
            .filter(|status| status.phase == best)
            .map(|status| status.front)
            .collect();
        (own == best, fronts)
    }
}

/// Returns what this entry can do at the moment.
pub fn phase(entry: &Entry) -> Phase {
    let now = entry.clock.now();
    if entry.is_leaving() {
        Phase::Leaving
    } else if entry.catalog.version() == 0 {
        Phase::Starting
    } else if entry
        .catalog
        .is_stale(entry.settings.load().bounds.revoke, now)
    {
        Phase::Stale
    } else {
        Phase::Ready
    }
}

/// Sends and receives heartbeats until the entry stops.
pub async fn run(entry: Arc<Entry>, socket: UdpSocket) {
    let every = |span| {
        let mut step = tokio::time::interval(span);
        step.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        step
    };
    let mut step = every(STEP);
    let mut ask_step = every(relay::ASK_STEP);
    let mut leaving = entry.leaving.subscribe();
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        tokio::select! {
            _ = step.tick() => send(&entry, &socket).await,
            _ = ask_step.tick() => if let Some((to, ask)) = relay::ask(&entry) {
                send_one(&entry, &socket, to, &Datagram::Ask(ask)).await;
            },
            changed = leaving.changed() => match changed {
                Ok(()) => send(&entry, &socket).await,
                Err(_) => return,
            },
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    if let Some(answer) = receive(&entry, &buffer[..length], from) {
                        send_one(&entry, &socket, from, &answer).await;
                    }
                }
                // Reports that an earlier datagram met a closed port.
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            },
        }
    }
}

async fn send_one(entry: &Entry, socket: &UdpSocket, to: SocketAddr, datagram: &Datagram) {
    match frame::encode(datagram) {
        // A datagram that cannot be sent is like one that is lost.
        Ok(bytes) => drop(socket.send_to(&bytes, to).await),
        Err(e) => note_unsendable(entry, &format!("{e:?}")),
    }
}

fn note_unsendable(entry: &Entry, reason: &str) {
    entry
        .events
        .write(Event::new("datagram_unsendable").with("reason", reason));
}

fn own_status(entry: &Entry, front: SocketAddr) -> Option<Status> {
    let settings = entry.settings.load();
    let now = entry.clock.now();
    let mut state = entry.beats.state.lock().unwrap();
    if state.incarnation == 0 {
        return None;
    }
    state.seq += 1;
    let (incarnation, seq, lease) = (state.incarnation, state.seq, state.lease.clone());
    drop(state);
    Some(Status {
        node: settings.node.clone(),
        incarnation,
        seq,
        domain: settings.domain.clone(),
        front,
        peer: settings.peer,
        phase: phase(entry),
        time: now,
        lease,
        used: entry.limits.used(now),
        traffic: entry.fleet.traffic(),
        usage: entry.usage.counts(),
        crashes: entry.crashes.lock().unwrap().recent(now),
        judged: entry.moves.judged(),
        vetoes: entry.moves.vetoes(),
    })
}

async fn send(entry: &Entry, socket: &UdpSocket) {
    let Some(front) = entry.settings.load().front else {
        return;
    };
    let Some(own) = own_status(entry, front) else {
        return;
    };
    let now = entry.clock.now();
    let me = own.node.clone();
    let (mut targets, others) = {
        let state = entry.beats.state.lock().unwrap();
        let members = state.members.iter();
        let members = members.map(|(name, row)| (name.clone(), row.member.peer));
        let heard = state.peers.live(now);
        let heard = heard.map(|status| (status.node.clone(), status.peer));
        let known: Table<SocketAddr> = members.chain(heard).collect();
        let others = known.iter().filter(|(name, _)| **name != me);
        let targets: Vec<SocketAddr> = others.map(|(_, peer)| *peer).collect();
        let others = if targets.len() < FULL_MESH {
            Vec::new()
        } else {
            state.peers.freshest(PASSED_ON, now)
        };
        (targets, others)
    };
    if targets.len() >= FULL_MESH {
        for at in 0..FAN_OUT {
            let other = at + (entry.draw() % (targets.len() - at) as u64) as usize;
            targets.swap(at, other);
        }
        targets.truncate(FAN_OUT);
    }
    let datagram = match frame::encode(&Datagram::Beat(Box::new(Beat { own, others }))) {
        Ok(datagram) => datagram,
        Err(e) => return note_unsendable(entry, &format!("{e:?}")),
    };
    for target in targets {
        // A datagram that cannot be sent is like one that is lost.
        let _ = socket.send_to(&datagram, target).await;
    }
}

/// Takes over a datagram and returns the answer to it, if there is one.
fn receive(entry: &Entry, datagram: &[u8], from: SocketAddr) -> Option<Datagram> {
    match frame::decode(datagram) {
        Ok(Datagram::Beat(beat)) => take_beat(entry, *beat),
        Ok(Datagram::Ask(ask)) => return relay::answer(entry, &ask).map(Datagram::Told),
        Ok(Datagram::Told(told)) => relay::take(entry, told),
        Err(e) => {
            let line = Event::new("datagram_unreadable").with("from", from.to_string());
            entry.events.write(line.with("reason", format!("{e:?}")));
        }
    }
    None
}

fn take_beat(entry: &Entry, beat: Beat) {
    let now = entry.clock.now();
    let sender = beat.own.node.clone();
    let time = beat.own.time;
    for status in std::iter::once(beat.own).chain(beat.others) {
        take(entry, status, now);
    }
    let mut state = entry.beats.state.lock().unwrap();
    state.peers.record_time(&sender, time, now);
}

/// Takes over what another entry says, if it is new.
fn take(entry: &Entry, status: Status, now: Time) {
    if status.node == entry.settings.load().node {
        return;
    }
    let before = {
        let state = entry.beats.state.lock().unwrap();
        state.peers.phase(&status.node, now)
    };
    if !entry.beats.merge(status.clone(), now) {
        return;
    }
    if before != Some(status.phase) {
        entry.events.write(
            Event::new("peer_phase")
                .with("peer", &*status.node)
                .with("incarnation", status.incarnation)
                .with("phase", format!("{:?}", status.phase)),
        );
    }
    let mut crashes = entry.crashes.lock().unwrap();
    for crash in status.crashes {
        crashes.record(crash);
    }
    drop(crashes);
    entry
        .moves
        .merge(&status.node, &status.judged, &status.vetoes);
}
