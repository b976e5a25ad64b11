//! Datagrams between entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::core::Name;
use crate::core::aggregate::summary::DomainSummary;
use crate::core::catalog::WorkspaceHistory;
use crate::core::name_map::NameMap;
use crate::core::peer::Heartbeat;
use crate::core::peer::NodeStatus;
use crate::core::quarantine::bulletin::Bulletin;
use crate::core::quarantine::bulletin::Scope;
use crate::core::route::servers::cold::news::ColdNews;
use crate::core::route::servers::evacuation::Evacuations;
use crate::core::route::servers::limit::LimitEnd;
use crate::core::route::servers::notice::Departure;
use crate::core::route::speed::share::Message;
use crate::core::time::Time;
use crate::entry::Entry;
use crate::entry::backends::cold;
use crate::entry::evacuations;
use crate::entry::limits;
use crate::entry::membership;
use crate::entry::membership::aggregation::Digest;
use crate::entry::membership::aggregation::Round;
use crate::entry::moves::exchange::MoveReport;
use crate::entry::moves::exchange::PromotionReport;
use crate::entry::notices;
use crate::entry::relay;
use crate::entry::speeds;
use crate::entry::speeds::Routes;
use crate::entry::workspaces;
use crate::error::Error;
use crate::frame;
use crate::telemetry::events::Event;

/// Interval of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 60_000;

/// Represents a message from one entry to another.
#[derive(Deserialize, Serialize)]
enum Datagram {
    Heartbeat(Box<Heartbeat>),
    Query(relay::Query),
    Reply(relay::Reply),
    Summary(Box<DomainSummary>),
    Digest(Box<Digest>),
    Bulletin(Box<Bulletin>),
    Departures(Vec<Departure>),
    Evacuations(Evacuations),
    Moves(Vec<MoveReport>),
    Promotions(Vec<PromotionReport>),
    LimitEnds(Vec<LimitEnd>),
    /// The newest window whose usage the lease holder has claimed.
    UsageClaimed(u64),
    Cold(ColdNews),
    /// What the sender knows of the speeds and the load of backend servers.
    Speeds(Box<Message>),
    /// The sender has seen workspaces, which the newest catalog no longer declares.
    WorkspacesDeclared,
}

/// Binds the UDP socket for messages between entries.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> Result<UdpSocket, Error> {
    UdpSocket::bind(address)
        .await
        .map_err(|e| Error::io(address.to_string(), &e))
}

/// Sends and receives datagrams until the entry stops.
pub async fn run(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
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
            _ = heartbeat_timer.tick() => send_round(&entry, &socket).await,
            _ = query_timer.tick() => if let Some((to, query)) = relay::next_query(&entry) {
                send(&entry, &socket, &[to], &Datagram::Query(query)).await;
            },
            () = entry.membership.speeds_urgent.notified() => send_speeds(&entry, &socket).await,
            () = entry.membership.urgent.notified() => send_round(&entry, &socket).await,
            changed = leaving.changed() => match changed {
                Ok(()) => send_round(&entry, &socket).await,
                Err(_) => return,
            },
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    if let Some(reply) = receive(&entry, &buffer[..length], from) {
                        send(&entry, &socket, &[from], &reply).await;
                    }
                    if entry.relay.needs_query(&entry)
                        && let Some((to, query)) = relay::next_query(&entry)
                    {
                        send(&entry, &socket, &[to], &Datagram::Query(query)).await;
                    }
                }
                // The error reports that an earlier datagram reached a closed port.
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            },
        }
    }
}

async fn send(entry: &Entry, socket: &UdpSocket, targets: &[SocketAddr], datagram: &Datagram) {
    let bytes = match frame::encode(datagram) {
        Ok(bytes) => bytes,
        Err(e) => {
            let event = Event::new("datagram_unsendable").with("reason", format!("{e:?}"));
            return entry.events.write(event);
        }
    };
    for target in targets {
        // A failed send is equivalent to a lost datagram.
        let _ = socket.send_to(&bytes, target).await;
    }
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
        phase: membership::phase(entry),
        time: now,
        lease,
        quota_usage: entry.limits.quota_usage(now),
        traffic: entry.service_load.traffic(),
        request_counts: entry.usage.counts(),
        crashes: Vec::new(),
        evidence: entry.moves.evidence(),
        vetoes: entry.moves.vetoes(),
    })
}

/// Sends the messages of one round.
async fn send_round(entry: &Entry, socket: &UdpSocket) {
    let Some(front) = entry.settings.load().front else {
        return;
    };
    let Some(own) = own_status(entry, front) else {
        return;
    };
    if entry.membership.is_aggregated() {
        return send_aggregated(entry, socket, own).await;
    }
    let targets = mesh_targets(entry, &own.node);
    send_heartbeat(entry, socket, &targets, own).await;
    send_news(entry, socket, &targets, Scope::Own).await;
    let routes = Routes {
        mesh: targets,
        ..Routes::default()
    };
    entry.membership.state.lock().unwrap().speed_routes = routes;
    send_speeds(entry, socket).await;
}

/// Sends what this entry knows of crashing requests, of servers that leave or no longer
/// limit their rate, of evacuations and of moves in progress, if there is anything to tell.
async fn send_news(entry: &Entry, socket: &UdpSocket, to: &[SocketAddr], scope: Scope) {
    let bulletin = entry.crashes.bulletin(scope, entry.cluster_time());
    if !bulletin.is_empty() {
        send(entry, socket, to, &Datagram::Bulletin(Box::new(bulletin))).await;
    }
    if entry.catalog.has_lost_workspaces() {
        send(entry, socket, to, &Datagram::WorkspacesDeclared).await;
    }
    let now = entry.clock.now();
    let (departures, evacuations, limit_ends) = entry.backends.with_servers(|servers| {
        let evacuations = servers.evacuated().news(now).cloned();
        (
            servers.departures(now),
            evacuations,
            servers.limit_ends(now),
        )
    });
    if !departures.is_empty() {
        send(entry, socket, to, &Datagram::Departures(departures)).await;
    }
    if !limit_ends.is_empty() {
        send(entry, socket, to, &Datagram::LimitEnds(limit_ends)).await;
    }
    if let Some(news) = cold::news(entry, scope == Scope::All) {
        send(entry, socket, to, &Datagram::Cold(news)).await;
    }
    if let Some(evacuations) = evacuations {
        send(entry, socket, to, &Datagram::Evacuations(evacuations)).await;
    }
    let reports = entry.moves.reports(now);
    if !reports.is_empty() {
        send(entry, socket, to, &Datagram::Moves(reports)).await;
    }
    if let Some(window) = entry.usage.claimed()
        && entry.membership.is_lease_holder()
    {
        send(entry, socket, to, &Datagram::UsageClaimed(window)).await;
    }
    let promotions = entry.moves.promotions(now);
    if !promotions.is_empty() {
        send(entry, socket, to, &Datagram::Promotions(promotions)).await;
    }
}

async fn send_heartbeat(entry: &Entry, socket: &UdpSocket, to: &[SocketAddr], own: NodeStatus) {
    let heartbeat = Heartbeat {
        own,
        others: Vec::new(),
    };
    send(entry, socket, to, &Datagram::Heartbeat(Box::new(heartbeat))).await;
}

/// Sends what is new of the speeds of servers to where the last round went.
async fn send_speeds(entry: &Entry, socket: &UdpSocket) {
    let routes = entry.membership.state.lock().unwrap().speed_routes.clone();
    for (message, to) in speeds::messages(entry, &routes) {
        send(entry, socket, to, &Datagram::Speeds(Box::new(message))).await;
    }
}

/// Returns the addresses of all other entries.
fn mesh_targets(entry: &Entry, own: &Name) -> Vec<SocketAddr> {
    let now = entry.clock.now();
    let state = entry.membership.state.lock().unwrap();
    let registered = state.registrations.iter();
    let registered = registered.map(|(name, row)| (name.clone(), row.registration.peer));
    let heard = state.peers.live(now);
    let heard = heard.map(|status| (status.node.clone(), status.peer));
    let known: NameMap<SocketAddr> = registered.chain(heard).collect();
    let others = known.iter().filter(|(name, _)| *name != own);
    others.map(|(_, peer)| *peer).collect()
}

/// Reports to the aggregators, and publishes what this entry aggregates.
async fn send_aggregated(entry: &Entry, socket: &UdpSocket, own: NodeStatus) {
    let now = entry.clock.now();
    let is_following = !entry.relay.is_relayed(now);
    let random = entry.random_u64();
    let Round {
        aggregators,
        summary,
        digest,
        role_change,
    } = {
        let mut state = entry.membership.state.lock().unwrap();
        state.aggregate(&own, entry.moves.listing(), is_following, random, now)
    };
    if let Some(is_acting) = role_change {
        let event = Event::new("aggregator_role").with("is_aggregator", is_acting);
        entry.events.write(event.with("domain", &*own.domain));
    }
    send_heartbeat(entry, socket, &aggregators, own).await;
    let mut routes = Routes {
        aggregators: aggregators.clone(),
        ..Routes::default()
    };
    let scope = if digest.is_some() {
        Scope::All
    } else {
        Scope::Own
    };
    let mut informed = aggregators;
    if let Some((summary, receivers)) = summary {
        let datagram = Datagram::Summary(Box::new(summary));
        send(entry, socket, &receivers, &datagram).await;
        routes.receivers.clone_from(&receivers);
        informed.extend(receivers);
    }
    if let Some((digest, reporters)) = digest {
        apply_digest(entry, &digest);
        let datagram = Datagram::Digest(Box::new(digest));
        send(entry, socket, &reporters, &datagram).await;
        routes.reporters.clone_from(&reporters);
        informed.extend(reporters);
    }
    informed.sort_unstable();
    informed.dedup();
    send_news(entry, socket, &informed, scope).await;
    entry.membership.state.lock().unwrap().speed_routes = routes;
    send_speeds(entry, socket).await;
}

/// Handles a datagram and returns the reply to it, if there is one.
fn receive(entry: &Entry, datagram: &[u8], from: SocketAddr) -> Option<Datagram> {
    match frame::decode(datagram) {
        Ok(Datagram::Heartbeat(heartbeat)) => {
            let digest = apply_heartbeat(entry, *heartbeat)?;
            return Some(Datagram::Digest(Box::new(digest)));
        }
        Ok(Datagram::Query(query)) => return relay::answer(entry, &query).map(Datagram::Reply),
        Ok(Datagram::Reply(reply)) => relay::apply_reply(entry, reply),
        Ok(Datagram::Summary(summary)) => apply_summary(entry, *summary),
        Ok(Datagram::Digest(digest)) => receive_digest(entry, &digest),
        Ok(Datagram::Bulletin(bulletin)) => {
            entry.crashes.merge(*bulletin, entry.cluster_time());
        }
        Ok(Datagram::Departures(departures)) => {
            notices::record_departures(entry, from, &departures);
        }
        Ok(Datagram::UsageClaimed(window)) => {
            entry.usage.record_claimed(window, entry.cluster_time());
        }
        Ok(Datagram::WorkspacesDeclared) => {
            workspaces::record(entry, WorkspaceHistory::Declared, "peer");
        }
        Ok(Datagram::Cold(news)) => cold::record_news(entry, &news),
        Ok(Datagram::Speeds(message)) => speeds::merge(entry, from, &message),
        Ok(Datagram::LimitEnds(ends)) => notices::record_limit_ends(entry, from, &ends),
        Ok(Datagram::Evacuations(evacuations)) => evacuations::merge(entry, from, evacuations),
        Ok(Datagram::Moves(reports)) => {
            let sender = from.to_string().into();
            entry
                .moves
                .merge_reports(&sender, &reports, entry.clock.now());
        }
        Ok(Datagram::Promotions(reports)) => {
            let events = entry.moves.merge_promotions(&reports, entry.clock.now());
            events
                .into_iter()
                .for_each(|event| entry.events.write(event));
        }
        Err(e) => {
            let event = Event::new("datagram_unreadable").with("from", from.to_string());
            entry.events.write(event.with("reason", format!("{e:?}")));
        }
    }
    None
}

/// Applies a heartbeat and returns the state of the fleet if this is the first
/// report of its sender to this aggregator.
fn apply_heartbeat(entry: &Entry, heartbeat: Heartbeat) -> Option<Digest> {
    let now = entry.clock.now();
    let sender = heartbeat.own.node.clone();
    let time = heartbeat.own.time;
    let is_local = heartbeat.own.domain == entry.settings.load().domain;
    let digest = if is_local && sender != entry.settings.load().node {
        let mut state = entry.membership.state.lock().unwrap();
        state.aggregation.record_report(&heartbeat.own, now)
    } else {
        None
    };
    for status in std::iter::once(heartbeat.own).chain(heartbeat.others) {
        apply_status(entry, status, now);
    }
    let mut state = entry.membership.state.lock().unwrap();
    state.peers.record_time(&sender, time, now);
    digest
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
    entry.moves.merge(&status);
}

fn apply_summary(entry: &Entry, summary: DomainSummary) {
    let now = entry.clock.now();
    let mut state = entry.membership.state.lock().unwrap();
    let aggregation = &mut state.aggregation;
    aggregation.contacts.record_heard(&summary.node, now);
    aggregation.collector.record(summary, now);
}

/// Applies a digest that another entry has sent.
fn receive_digest(entry: &Entry, digest: &Digest) {
    let now = entry.clock.now();
    let is_following = !entry.relay.is_relayed(now);
    {
        let mut state = entry.membership.state.lock().unwrap();
        let aggregation = &mut state.aggregation;
        aggregation.contacts.record_heard(&digest.node, now);
        if !aggregation.is_newer(digest) {
            return;
        }
        if let Some(ranked) = digest.ranked.as_ref().filter(|_| !is_following) {
            aggregation.set_ranked(ranked.clone(), now);
        }
    }
    if let Some((revision, moves)) = &digest.moves {
        entry.apply_moves(*revision, moves.clone());
    }
    apply_digest(entry, digest);
}

/// Applies the state of the fleet.
fn apply_digest(entry: &Entry, digest: &Digest) {
    let now = entry.clock.now();
    let own = entry.limits.quota_usage(now);
    let is_used = {
        let mut state = entry.membership.state.lock().unwrap();
        state.apply_digest(digest, &own, now)
    };
    if !is_used {
        return;
    }
    let fleet = &digest.fleet;
    let own_domain = &entry.settings.load().domain;
    for (domain, services) in fleet.evidence.iter() {
        let is_own = domain == own_domain;
        entry.moves.merge_domain(domain, services, is_own);
    }
    entry.moves.merge_vetoes(&fleet.vetoes);
    limits::refresh(entry);
}
