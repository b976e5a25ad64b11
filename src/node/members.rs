//! Membership and gossip: heartbeats, failure detection and the exchange of facts.

use std::sync::Arc;

use crate::core::Name;
use crate::core::member::Member;
use crate::core::member::State;
use crate::core::member::gossip::Fact;
use crate::core::member::roster;
use crate::core::member::roster::RoundOutcome;
use crate::node::Node;
use crate::node::config;
use crate::node::discovery;
use crate::node::peers::Answer;
use crate::node::peers::Call;
use crate::node::peers::Heartbeat;

/// Returns the peer addresses known from the settings, the platform's list of VMs
/// and the roster, without this node's own.
pub fn known_peers(node: &Node) -> Vec<Name> {
    let own_address = &node.peer_address;
    let mut peers: Vec<Name> = node
        .settings
        .seeds
        .iter()
        .map(|address| address.to_string().into())
        .collect();
    let listed = node
        .vms
        .lock()
        .unwrap()
        .of_service(&node.settings.node_service);
    peers.extend(
        listed
            .into_iter()
            .filter(|vm| !vm.leaving)
            .map(|vm| vm.address),
    );
    let live = node.roster.lock().unwrap().live_members();
    peers.extend(live.into_iter().map(|member| member.peer));
    peers.sort();
    peers.dedup();
    peers.retain(|peer| peer != own_address);
    peers
}

/// Publishes a fact to all nodes by sending it to the neighbours, which forward it.
pub fn publish(node: &Arc<Node>, fact: Fact) {
    let now = node.clock.now();
    let new_fact = node.gossip.lock().unwrap().merge(&fact, now);
    if let Some(fact) = new_fact {
        forward(node, vec![fact]);
    }
}

/// Publishes a fact and waits until every neighbour has answered or failed.
pub async fn publish_and_wait(node: &Arc<Node>, fact: Fact) {
    let now = node.clock.now();
    let Some(new_fact) = node.gossip.lock().unwrap().merge(&fact, now) else {
        return;
    };
    let call = Call::Facts(vec![new_fact]);
    let calls = neighbour_addresses(node).into_iter().map(|peer| {
        let call = call.clone();
        async move {
            // A neighbour that cannot be reached gets it when the next
            // heartbeat finds that the digests differ.
            let _ = node.peers.call(&peer, &call).await;
        }
    });
    futures_util::future::join_all(calls).await;
}

fn neighbour_addresses(node: &Node) -> Vec<Name> {
    node.neighbour_addresses.lock().unwrap().clone()
}

fn set_neighbours(node: &Node, neighbours: &[Member]) {
    let peers = neighbours
        .iter()
        .map(|member| member.peer.clone())
        .collect();
    *node.neighbour_addresses.lock().unwrap() = peers;
}

fn forward(node: &Arc<Node>, facts: Vec<Fact>) {
    for peer in neighbour_addresses(node) {
        let node = Arc::clone(node);
        let call = Call::Facts(facts.clone());
        tokio::spawn(async move {
            // A neighbour that cannot be reached gets it when the next
            // heartbeat finds that the digests differ.
            let _ = node.peers.call(&peer, &call).await;
        });
    }
}

/// Applies facts from another node and forwards those that are new.
pub fn receive_facts(node: &Arc<Node>, facts: &[Fact]) {
    let now = node.clock.now();
    let mut new_facts = Vec::new();
    let mut has_members = false;
    for fact in facts {
        let merged = node.gossip.lock().unwrap().merge(fact, now);
        let Some(fact) = merged else { continue };
        let refutation = node.roster.lock().unwrap().apply(&fact);
        if let Some(refutation) = refutation {
            let merged = node.gossip.lock().unwrap().merge(&refutation, now);
            new_facts.extend(merged);
        }
        apply_fact(node, &fact);
        has_members |= matches!(fact, Fact::Member(_));
        new_facts.push(fact);
    }
    if has_members {
        let neighbours = node.roster.lock().unwrap().neighbours();
        set_neighbours(node, &neighbours);
    }
    if !new_facts.is_empty() {
        forward(node, new_facts);
    }
}

fn apply_fact(node: &Arc<Node>, fact: &Fact) {
    match fact {
        Fact::Move {
            name,
            start_ms,
            facts,
        } => node.moves.merge(name, *start_ms, facts),
        Fact::Crash(crash) => {
            node.crashes.lock().unwrap().record(crash.clone());
        }
        Fact::Notice { server, until } => discovery::set_leaving(node, server, *until),
        Fact::Config { number } if *number > node.config.number() => {
            let node = Arc::clone(node);
            tokio::spawn(async move { update_config(&node).await });
        }
        Fact::List { revision } if *revision > node.vms.lock().unwrap().revision() => {
            let node = Arc::clone(node);
            tokio::spawn(async move { discovery::sync_from_peers(&node).await });
        }
        Fact::Config { .. } | Fact::List { .. } | Fact::Member(_) | Fact::Suspect { .. } => {}
    }
}

/// Installs a newer configuration from the first neighbour that holds one.
async fn update_config(node: &Arc<Node>) {
    for peer in neighbour_addresses(node) {
        let before = node.config.number();
        if config::update_from_peer(node, &peer).await.is_ok() && node.config.number() > before {
            return;
        }
    }
}

/// Records a heartbeat from another node.
pub fn receive_heartbeat(node: &Arc<Node>, heartbeat: &Heartbeat) {
    let now = node.clock.now();
    node.roster
        .lock()
        .unwrap()
        .record_heartbeat(&heartbeat.from, now);
    let fact = Fact::Member(heartbeat.from.clone());
    receive_facts(node, &[fact]);
    node.moves
        .merge_evidence(&heartbeat.from.id, &heartbeat.evidence);
}

/// Sends heartbeats and detects silent neighbours until the node stops.
pub async fn run(node: Arc<Node>) {
    join(&node).await;
    let mut interval = tokio::time::interval(roster::HEARTBEAT_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut rounds = 0_u64;
    loop {
        interval.tick().await;
        rounds += 1;
        let now = node.clock.now();
        let round = node.roster.lock().unwrap().run_round(now);
        if round.was_paused {
            log::warn!("members: this node was paused; rereading all state");
            tokio::spawn(refresh(Arc::clone(&node)));
        }
        node.gossip.lock().unwrap().expire(now);
        send_heartbeats(&node, &round);
        for fact in round.facts {
            if let Fact::Suspect { subject, .. } = &fact {
                log::warn!("members: no heartbeat from {subject}; it is suspected to have failed");
                metrics::counter!("cassialock_suspicions_total", "node" => node.label())
                    .increment(1);
            }
            publish(&node, fact);
        }
        if round.neighbours.is_empty() || rounds.is_multiple_of(20) {
            join(&node).await;
        }
    }
}

/// Rereads the configuration, the list of VMs and the facts after a pause, during
/// which all of them may have become stale.
async fn refresh(node: Arc<Node>) {
    // The next regular read makes up for a failure.
    let _ = config::update_from_store(&node).await;
    discovery::read_vms(&node).await;
    for peer in neighbour_addresses(&node) {
        exchange_facts(&node, &peer).await;
    }
}

fn send_heartbeats(node: &Arc<Node>, round: &RoundOutcome) {
    set_neighbours(node, &round.neighbours);
    let local = node.roster.lock().unwrap().local().clone();
    let digest = node.gossip.lock().unwrap().digest();
    let heartbeat = Heartbeat {
        from: local,
        digest,
        evidence: node.moves.evidence(),
    };
    for member in &round.neighbours {
        tokio::spawn(send_heartbeat(
            Arc::clone(node),
            member.clone(),
            heartbeat.clone(),
        ));
    }
}

async fn send_heartbeat(node: Arc<Node>, to: Member, heartbeat: Heartbeat) {
    let digest = heartbeat.digest;
    let answer = node.peers.call(&to.peer, &Call::Heartbeat(heartbeat)).await;
    match answer {
        Ok(Answer::Digest(other)) if other != digest => exchange_facts(&node, &to.peer).await,
        Ok(_) | Err(_) => {}
    }
}

/// Exchanges all facts with the node at `peer`.
async fn exchange_facts(node: &Arc<Node>, peer: &Name) {
    if let Ok(Answer::Facts(facts)) = node.peers.call(peer, &Call::GetFacts).await {
        receive_facts(node, &facts);
    }
    let facts = node.gossip.lock().unwrap().facts();
    // If the call fails, the next heartbeat finds that the digests differ.
    let _ = node.peers.call(peer, &Call::Facts(facts)).await;
}

/// Publishes this node's membership and exchanges facts with nodes that are known
/// by address only.
async fn join(node: &Arc<Node>) {
    let membership = Fact::Member(node.roster.lock().unwrap().local().clone());
    publish(node, membership);
    let known: Vec<Name> = node
        .roster
        .lock()
        .unwrap()
        .members()
        .into_iter()
        .map(|(member, _)| member.peer)
        .collect();
    let unknown: Vec<Name> = known_peers(node)
        .into_iter()
        .filter(|peer| !known.contains(peer))
        .collect();
    for peer in unknown {
        exchange_facts(node, &peer).await;
    }
}

/// Sets this node's own state and publishes it.
pub async fn set_state(node: &Arc<Node>, state: State) {
    let now = node.clock.now();
    let fact = node.roster.lock().unwrap().set_state(state, now);
    publish_and_wait(node, fact).await;
}
