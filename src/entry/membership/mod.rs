//! Membership of entries: registrations in the store and heartbeats over UDP.
//!
//! Lost datagrams are not retransmitted, because each heartbeat carries the full
//! state of its sender. There is no connection between entries that could stall.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::core::Name;
use crate::core::lease::Lease;
use crate::core::name_map::NameMap;
use crate::core::peer;
use crate::core::peer::Heartbeat;
use crate::core::peer::NodeStatus;
use crate::core::peer::Peers;
use crate::core::peer::Phase;
use crate::core::time::Time;
use crate::core::usage::WindowCounts;
use crate::entry::Entry;
use crate::entry::relay;
use crate::error::Error;
use crate::frame;
use crate::telemetry::events::Event;

/// Interval of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Number of other entries below which each heartbeat is sent to all of them.
const FULL_MESH_LIMIT: usize = 16;

/// Number of random entries that a heartbeat is sent to when there are more.
const FAN_OUT: usize = 8;

/// Statuses of other entries forwarded in one heartbeat.
const FORWARDED_STATUSES: usize = 4;

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 60_000;

/// Time for which a registered entry counts as present before its first heartbeat.
const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without heartbeats after which a registration is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(60);

/// Represents a message from one entry to another.
#[derive(Deserialize, Serialize)]
enum Datagram {
    Heartbeat(Box<Heartbeat>),
    Query(relay::Query),
    Reply(relay::Reply),
}

/// Describes an entry, as registered in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// Address that callers connect to.
    pub front: SocketAddr,
    /// UDP address for heartbeats.
    pub peer: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Start time in microseconds since 1970, by its own clock.
    pub started: u64,
}

#[derive(Clone, Debug)]
struct KnownRegistration {
    registration: Registration,
    revision: u64,
    since: Time,
}

#[derive(Default)]
struct State {
    peers: Peers,
    registrations: NameMap<KnownRegistration>,
    incarnation: u64,
    seq: u64,
    lease: Option<Lease>,
}

/// Describes how the quotas are used and how many entries share them.
#[derive(Clone, Debug)]
pub struct QuotaUsage {
    /// Number of entries, including this one.
    pub nodes: usize,
    /// Number of registered entries without a heartbeat so far.
    pub unheard: usize,
    /// Quota usage of the other entries, by workspace.
    pub others: NameMap<peer::QuotaUsage>,
}

/// Tracks the other entries of the deployment.
#[derive(Default)]
pub struct Membership {
    state: Mutex<State>,
}

/// Binds the UDP socket for heartbeats.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> Result<UdpSocket, Error> {
    UdpSocket::bind(address)
        .await
        .map_err(|e| Error::io(address.to_string(), &e))
}

impl Membership {
    /// Creates a tracker without other entries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the incarnation of this process, unless it is already set.
    ///
    /// A process that registers again keeps its first incarnation, so that its
    /// counts are not attributed to another process.
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

    /// Sets the lease that this entry holds and announces in its heartbeats.
    pub fn set_lease(&self, lease: Option<Lease>) {
        self.state.lock().unwrap().lease = lease;
    }

    /// Adds or replaces a registration, or removes it if `registration` is `None`.
    pub fn set_registration(
        &self,
        name: &Name,
        registration: Option<(Registration, u64)>,
        now: Time,
    ) {
        let mut state = self.state.lock().unwrap();
        match registration {
            Some((registration, revision)) => {
                let known = KnownRegistration {
                    registration,
                    revision,
                    since: now,
                };
                state.registrations.insert(name.clone(), known);
            }
            None => {
                state.registrations.remove(name);
                state.peers.remove(name, now);
            }
        }
    }

    /// Returns the names of all registered entries.
    pub fn registered(&self) -> Vec<Name> {
        let state = self.state.lock().unwrap();
        state
            .registrations
            .iter()
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the registrations to remove, with their revisions.
    ///
    /// These are the registrations of entries without recent heartbeats.
    pub fn stale_registrations(&self, own: &str, now: Time) -> Vec<(Name, u64)> {
        let state = self.state.lock().unwrap();
        let heard = state.peers.heard_within(now, REMOVE_AFTER);
        state
            .registrations
            .iter()
            .filter(|(name, _)| ***name != *own && heard.binary_search(name).is_err())
            .filter(|(_, row)| now.since(row.since) > REMOVE_AFTER)
            .map(|(name, row)| (name.clone(), row.revision))
            .collect()
    }

    /// Returns whether the registrations have been read from the store.
    pub fn has_registrations(&self) -> bool {
        !self.state.lock().unwrap().registrations.is_empty()
    }

    /// Returns the demand of the other entries and the units that they admitted
    /// since the last call.
    pub fn take_quota_usage(&self, now: Time) -> QuotaUsage {
        let mut state = self.state.lock().unwrap();
        let (heard, usage) = state.peers.take_quota_usage(now);
        let known = state.peers.names();
        let unheard = state.registrations.iter().filter(|(name, row)| {
            known.binary_search(name).is_err() && now.since(row.since) < FIRST_HEARTBEAT_TIMEOUT
        });
        // This entry sends itself no heartbeats, so its own registration is
        // subtracted.
        let unheard = unheard.count().saturating_sub(1);
        QuotaUsage {
            nodes: heard + unheard + 1,
            unheard,
            others: usage,
        }
    }

    /// Returns the median clock offset of the live entries, in microseconds.
    pub fn clock_offset(&self, now: Time) -> i64 {
        self.state.lock().unwrap().peers.clock_offset(now)
    }

    /// Returns the usage counts of the other entries.
    pub fn usage_counts(&self) -> Vec<WindowCounts> {
        let state = self.state.lock().unwrap();
        state.peers.request_counts().cloned().collect()
    }

    /// Returns the lease as last announced by another entry.
    pub fn lease(&self) -> Option<Lease> {
        self.state.lock().unwrap().peers.lease().cloned()
    }

    /// Merges the status of another entry, and returns whether it was new.
    pub fn merge(&self, status: NodeStatus, now: Time) -> bool {
        self.state.lock().unwrap().peers.merge(status, now)
    }

    /// Returns the statuses of the other entries with recent heartbeats.
    pub fn live(&self, now: Time) -> Vec<NodeStatus> {
        self.state
            .lock()
            .unwrap()
            .peers
            .live(now)
            .cloned()
            .collect()
    }

    /// Returns the caller addresses of the other entries in the best serving phase,
    /// and whether this entry, in phase `own`, is in that phase too.
    pub fn best_fronts(&self, own: Phase, now: Time) -> (bool, Vec<SocketAddr>) {
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

/// Returns the current phase of this entry.
pub fn phase(entry: &Entry) -> Phase {
    let now = entry.clock.now();
    if entry.is_leaving() {
        Phase::Leaving
    } else if entry.catalog.version() == 0 {
        Phase::Starting
    } else if entry
        .catalog
        .is_stale(entry.settings.load().bounds.revoke_delay, now)
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
    let mut heartbeat_timer = every(HEARTBEAT_INTERVAL);
    let mut query_timer = every(relay::QUERY_INTERVAL);
    let mut leaving = entry.leaving.subscribe();
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        tokio::select! {
            _ = heartbeat_timer.tick() => send_heartbeat(&entry, &socket).await,
            _ = query_timer.tick() => if let Some((to, query)) = relay::next_query(&entry) {
                send_datagram(&entry, &socket, to, &Datagram::Query(query)).await;
            },
            changed = leaving.changed() => match changed {
                Ok(()) => send_heartbeat(&entry, &socket).await,
                Err(_) => return,
            },
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    if let Some(reply) = receive(&entry, &buffer[..length], from) {
                        send_datagram(&entry, &socket, from, &reply).await;
                    }
                }
                // The error reports that an earlier datagram reached a closed port.
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            },
        }
    }
}

async fn send_datagram(entry: &Entry, socket: &UdpSocket, to: SocketAddr, datagram: &Datagram) {
    match frame::encode(datagram) {
        // A failed send is equivalent to a lost datagram.
        Ok(bytes) => drop(socket.send_to(&bytes, to).await),
        Err(e) => log_unsendable(entry, &format!("{e:?}")),
    }
}

fn log_unsendable(entry: &Entry, reason: &str) {
    entry
        .events
        .write(Event::new("datagram_unsendable").with("reason", reason));
}

fn own_status(entry: &Entry, front: SocketAddr) -> Option<NodeStatus> {
    let settings = entry.settings.load();
    let now = entry.clock.now();
    let mut state = entry.membership.state.lock().unwrap();
    if state.incarnation == 0 {
        return None;
    }
    state.seq += 1;
    let (incarnation, seq, lease) = (state.incarnation, state.seq, state.lease.clone());
    drop(state);
    Some(NodeStatus {
        node: settings.node.clone(),
        incarnation,
        seq,
        domain: settings.domain.clone(),
        front,
        peer: settings.peer,
        phase: phase(entry),
        time: now,
        lease,
        quota_usage: entry.limits.quota_usage(now),
        traffic: entry.service_load.traffic(),
        request_counts: entry.usage.counts(),
        crashes: entry.crashes.lock().unwrap().recent(now),
        evidence: entry.moves.evidence(),
        vetoes: entry.moves.vetoes(),
    })
}

async fn send_heartbeat(entry: &Entry, socket: &UdpSocket) {
    let Some(front) = entry.settings.load().front else {
        return;
    };
    let Some(own) = own_status(entry, front) else {
        return;
    };
    let now = entry.clock.now();
    let own_name = own.node.clone();
    let (mut targets, others) = {
        let state = entry.membership.state.lock().unwrap();
        let registered = state.registrations.iter();
        let registered = registered.map(|(name, row)| (name.clone(), row.registration.peer));
        let heard = state.peers.live(now);
        let heard = heard.map(|status| (status.node.clone(), status.peer));
        let known: NameMap<SocketAddr> = registered.chain(heard).collect();
        let others = known.iter().filter(|(name, _)| **name != own_name);
        let targets: Vec<SocketAddr> = others.map(|(_, peer)| *peer).collect();
        let others = if targets.len() < FULL_MESH_LIMIT {
            Vec::new()
        } else {
            state.peers.recently_heard(FORWARDED_STATUSES, now)
        };
        (targets, others)
    };
    if targets.len() >= FULL_MESH_LIMIT {
        for at in 0..FAN_OUT {
            let other = at + (entry.random_u64() % (targets.len() - at) as u64) as usize;
            targets.swap(at, other);
        }
        targets.truncate(FAN_OUT);
    }
    let datagram = match frame::encode(&Datagram::Heartbeat(Box::new(Heartbeat { own, others }))) {
        Ok(datagram) => datagram,
        Err(e) => return log_unsendable(entry, &format!("{e:?}")),
    };
    for target in targets {
        // A failed send is equivalent to a lost datagram.
        let _ = socket.send_to(&datagram, target).await;
    }
}

/// Handles a datagram and returns the reply to it, if there is one.
fn receive(entry: &Entry, datagram: &[u8], from: SocketAddr) -> Option<Datagram> {
    match frame::decode(datagram) {
        Ok(Datagram::Heartbeat(heartbeat)) => apply_heartbeat(entry, *heartbeat),
        Ok(Datagram::Query(query)) => return relay::answer(entry, &query).map(Datagram::Reply),
        Ok(Datagram::Reply(reply)) => relay::apply_reply(entry, reply),
        Err(e) => {
            let event = Event::new("datagram_unreadable").with("from", from.to_string());
            entry.events.write(event.with("reason", format!("{e:?}")));
        }
    }
    None
}

fn apply_heartbeat(entry: &Entry, heartbeat: Heartbeat) {
    let now = entry.clock.now();
    let sender = heartbeat.own.node.clone();
    let time = heartbeat.own.time;
    for status in std::iter::once(heartbeat.own).chain(heartbeat.others) {
        apply_status(entry, status, now);
    }
    let mut state = entry.membership.state.lock().unwrap();
    state.peers.record_time(&sender, time, now);
}

/// Applies the status of another entry, if it is new.
fn apply_status(entry: &Entry, status: NodeStatus, now: Time) {
    if status.node == entry.settings.load().node {
        return;
    }
    let before = {
        let state = entry.membership.state.lock().unwrap();
        state.peers.phase(&status.node, now)
    };
    if !entry.membership.merge(status.clone(), now) {
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
        .merge(&status.node, &status.evidence, &status.vetoes);
}
