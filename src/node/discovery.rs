//! News about backend servers: the platform's list, notices, loads and caches.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::core::Name;
use crate::core::config::Kind;
use crate::core::member::gossip::Fact;
use crate::core::route::prefix;
use crate::core::route::servers::Load;
use crate::core::time::Time;
use crate::node::Node;
use crate::node::members;
use crate::node::peers::Answer;
use crate::node::peers::Call;
use crate::node::peers::VmDelta;
use crate::node::platform::Unavailable;
use crate::node::platform::client;

/// Wait between two reads of the list by a relay.
const LIST_WAIT: Duration = Duration::from_millis(500);

/// Wait between two reads of the list by another node.
const FALLBACK_WAIT: Duration = Duration::from_secs(10);

/// Wait before a failed call is tried again.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// Calls for load reports and cache events that a node makes each second.
///
/// Servers that answer requests report their load with the answers.
const POLLS_PER_S: u32 = 3;

/// Time in which a backend server must answer a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest answer to a poll, in bytes.
const MAX_POLL_BYTES: usize = 262_144;

/// Polls of the load between two polls of the cache events of a server.
const LOADS_PER_EVENTS: u64 = 4;

/// Marks a backend server as leaving; its streams move.
pub fn set_leaving(node: &Node, server: &Name, until: Time) {
    let is_new = {
        let mut notices = node.notices.lock().unwrap();
        notices.insert(server.clone(), until).is_none()
    };
    let was_known = node.servers.lock().unwrap().set_leaving(server);
    if is_new || was_known {
        log::info!("feed: {server} is leaving and gets no new work");
        node.leave_count.send_modify(|count| *count += 1);
    }
}

/// Follows the platform's notices while this node is a relay.
pub async fn watch_notices(node: Arc<Node>) {
    let mut after = 0;
    loop {
        if !node.roster.lock().unwrap().is_relay() {
            tokio::time::sleep(LIST_WAIT).await;
            continue;
        }
        match node.platform.notices(after, client::MAX_WATCH_WAIT).await {
            Ok(notices) => {
                for notice in notices {
                    after = after.max(notice.seq);
                    let until = Time::from_millis(notice.until_ms);
                    if until < node.clock.now() {
                        continue;
                    }
                    take_notice(&node, notice.vm, until);
                }
            }
            Err(Unavailable) => {
                node.count_store_failure("notices");
                tokio::time::sleep(RETRY_WAIT + node.jitter(RETRY_WAIT)).await;
            }
        }
    }
}

/// Acts on a notice and tells the other nodes.
fn take_notice(node: &Arc<Node>, vm: Name, until: Time) {
    if vm == node.settings.id {
        let _ = node.own_notice.send(Some(until));
    }
    set_leaving(node, &vm, until);
    members::publish(node, Fact::Notice { server: vm, until });
}

/// Follows the platform's list of VMs.
pub async fn sync_vms(node: Arc<Node>) {
    loop {
        read_vms(&node).await;
        let is_relay = node.roster.lock().unwrap().is_relay();
        let wait = if is_relay { LIST_WAIT } else { FALLBACK_WAIT };
        tokio::time::sleep(wait + node.jitter(wait / 4)).await;
    }
}

/// Reads the changes of the list from the platform.
pub async fn read_vms(node: &Arc<Node>) {
    let after = node.vms.lock().unwrap().revision();
    match node.platform.vms(after).await {
        Ok(changes) => {
            let news = VmDelta {
                revision: changes.revision,
                vms: changes.vms,
                removed: changes.removed,
            };
            take_news(node, after, news);
        }
        Err(Unavailable) => node.count_store_failure("list"),
    }
}

/// Reads the changes of the list from a neighbour.
pub async fn sync_from_peers(node: &Arc<Node>) {
    let peers = node.links.lock().unwrap().clone();
    for peer in peers {
        let after = node.vms.lock().unwrap().revision();
        let answer = node.peers.call(&peer, &Call::GetVms(after)).await;
        if let Ok(Answer::Vms(news)) = answer
            && take_news(node, after, news)
        {
            return;
        }
    }
}

fn take_news(node: &Arc<Node>, after: u64, news: VmDelta) -> bool {
    let revision = news.revision;
    let all = {
        let mut vms = node.vms.lock().unwrap();
        if !vms.apply(after, news) {
            return false;
        }
        vms.all()
    };
    let had_leaving = all.iter().any(|vm| vm.leaving);
    {
        let notices = node.notices.lock().unwrap();
        let mut servers = node.servers.lock().unwrap();
        servers.update(&all);
        for (server, _) in notices.iter() {
            servers.set_leaving(server);
        }
    }
    if had_leaving {
        node.leave_count.send_modify(|count| *count += 1);
    }
    node.admission.wake();
    members::publish(node, Fact::List { revision });
    true
}

/// Asks backend servers for their load and cache events, a few each second.
pub async fn poll_servers(node: Arc<Node>) {
    let mut turn = 0_u64;
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / POLLS_PER_S);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let targets = targets(&node);
        if targets.is_empty() {
            continue;
        }
        let count = targets.len() as u64;
        let target = targets[(turn % count) as usize].clone();
        let asks_events = target.is_llm && (turn / count).is_multiple_of(LOADS_PER_EVENTS);
        turn += 1;
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            if asks_events {
                poll_events(&node, &target).await;
            }
            poll_load(&node, &target).await;
        });
    }
}

/// A server to poll.
#[derive(Clone, Debug)]
struct Target {
    id: Name,
    address: Name,
    is_llm: bool,
}

/// Returns this node's candidates over all services.
fn targets(node: &Node) -> Vec<Target> {
    let installed = node.config.load();
    let servers = node.servers.lock().unwrap();
    let mut targets = Vec::new();
    for (name, service) in installed.config.services.iter() {
        for version in node.moves.versions(name, service) {
            let candidates = servers.subset(name, Some(&version));
            targets.extend(candidates.map(|server| Target {
                id: server.vm.id.clone(),
                address: server.vm.address.clone(),
                is_llm: service.kind == Kind::Llm,
            }));
        }
    }
    targets
}

async fn ask<T: DeserializeOwned>(node: &Node, address: &str, path: &str) -> Option<T> {
    let request = Request::get(format!("http://{address}{path}"))
        .body(Full::default())
        .ok()?;
    let response = node.client.send(request, false, POLL_TIMEOUT).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = http_body_util::Limited::new(response.into_body(), MAX_POLL_BYTES);
    let content = tokio::time::timeout(POLL_TIMEOUT, body.collect()).await;
    let content = content.ok()?.ok()?.to_bytes();
    serde_json::from_slice(&content).ok()
}

async fn poll_load(node: &Arc<Node>, target: &Target) {
    let Some(load) = ask::<Load>(node, &target.address, "/load").await else {
        return;
    };
    let now = node.clock.now();
    node.servers.lock().unwrap().set_load(&target.id, load, now);
    node.admission.wake();
}

#[derive(Deserialize)]
struct Snapshot {
    seq: u64,
    blocks: Vec<u64>,
}

async fn poll_events(node: &Arc<Node>, target: &Target) {
    let (from, has_gap) = {
        let mut servers = node.servers.lock().unwrap();
        match servers.index_mut(&target.id) {
            Some(index) => (index.next_seq(), index.has_gap()),
            None => return,
        }
    };
    if has_gap {
        let snapshot = ask::<Snapshot>(node, &target.address, "/cache/snapshot").await;
        let mut servers = node.servers.lock().unwrap();
        if let (Some(snapshot), Some(index)) = (snapshot, servers.index_mut(&target.id)) {
            index.replace(snapshot.seq, &snapshot.blocks);
        }
        return;
    }
    let path = format!("/cache/events?from={from}");
    let Some(events) = ask::<Vec<prefix::Event>>(node, &target.address, &path).await else {
        return;
    };
    let mut servers = node.servers.lock().unwrap();
    if let Some(index) = servers.index_mut(&target.id) {
        for event in &events {
            index.apply(event);
        }
    }
}
