//! Discovery of backend servers: the platform's list of VMs, reclaim notices,
//! and polls of load and cache events.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use http_body_util::Full;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::core::Name;
use crate::core::config::ServiceKind;
use crate::core::member::gossip::Fact;
use crate::core::route::prefix;
use crate::core::route::servers::LoadReport;
use crate::core::time::Time;
use crate::node::Node;
use crate::node::members;
use crate::node::peers::Answer;
use crate::node::peers::Call;
use crate::node::peers::VmDelta;
use crate::node::platform_api::Unavailable;
use crate::node::platform_api::client;
use crate::web;

/// Interval between two reads of the list by a relay.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two reads of the list by a node that is not a relay.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(10);

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Polls of backend servers per second by one node.
///
/// A low rate suffices because servers also report their load with each
/// answer.
const POLLS_PER_S: u32 = 3;

/// Timeout of a poll of a backend server.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of the answer to a poll, in bytes.
const MAX_ANSWER_BYTES: usize = 262_144;

/// Load polls of a server per poll of its cache events.
const LOAD_POLLS_PER_EVENT_POLL: u64 = 4;

/// Marks a backend server as leaving, so that its streams move to other servers.
pub fn set_leaving(node: &Node, server: &Name, until: Time) {
    let is_new_notice = {
        let mut notices = node.notices.lock().unwrap();
        notices.insert(server.clone(), until).is_none()
    };
    let is_newly_marked = node.servers.lock().unwrap().set_leaving(server);
    if is_new_notice || is_newly_marked {
        log::info!("feed: {server} is leaving and gets no new requests");
        node.leave_count.send_modify(|count| *count += 1);
    }
}

/// Watches the platform's reclaim notices while this node is a relay.
pub async fn watch_notices(node: Arc<Node>) {
    let mut after = 0;
    loop {
        if !node.roster.lock().unwrap().is_relay() {
            tokio::time::sleep(LIST_INTERVAL).await;
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
                    apply_notice(&node, notice.vm, until);
                }
            }
            Err(Unavailable) => {
                node.count_store_failure("notices");
                tokio::time::sleep(RETRY_DELAY + node.jitter(RETRY_DELAY)).await;
            }
        }
    }
}

/// Applies a reclaim notice and publishes it to the other nodes.
fn apply_notice(node: &Arc<Node>, vm: Name, until: Time) {
    if vm == node.settings.id {
        let _ = node.own_notice.send(Some(until));
    }
    set_leaving(node, &vm, until);
    members::publish(node, Fact::Notice { server: vm, until });
}

/// Keeps the list of VMs up to date by polling the platform.
pub async fn sync_vms(node: Arc<Node>) {
    loop {
        read_vms(&node).await;
        let is_relay = node.roster.lock().unwrap().is_relay();
        let wait = if is_relay {
            LIST_INTERVAL
        } else {
            FALLBACK_INTERVAL
        };
        tokio::time::sleep(wait + node.jitter(wait / 4)).await;
    }
}

/// Reads the changes to the list of VMs from the platform.
pub async fn read_vms(node: &Arc<Node>) {
    let after = node.vms.lock().unwrap().revision();
    match node.platform.vms(after).await {
        Ok(changes) => {
            let delta = VmDelta {
                revision: changes.revision,
                vms: changes.vms,
                removed: changes.removed,
            };
            apply_delta(node, after, delta);
        }
        Err(Unavailable) => node.count_store_failure("list"),
    }
}

/// Reads the changes to the list of VMs from the first neighbour that has any.
pub async fn sync_from_peers(node: &Arc<Node>) {
    let peers = node.neighbour_addresses.lock().unwrap().clone();
    for peer in peers {
        let after = node.vms.lock().unwrap().revision();
        let answer = node.peers.call(&peer, &Call::GetVms(after)).await;
        if let Ok(Answer::Vms(delta)) = answer
            && apply_delta(node, after, delta)
        {
            return;
        }
    }
}

fn apply_delta(node: &Arc<Node>, after: u64, delta: VmDelta) -> bool {
    let revision = delta.revision;
    let all = {
        let mut vms = node.vms.lock().unwrap();
        if !vms.apply(after, delta) {
            return false;
        }
        vms.all()
    };
    let has_leaving = all.iter().any(|vm| vm.leaving);
    {
        let notices = node.notices.lock().unwrap();
        let mut servers = node.servers.lock().unwrap();
        servers.update(&all);
        for (server, _) in notices.iter() {
            servers.set_leaving(server);
        }
    }
    if has_leaving {
        node.leave_count.send_modify(|count| *count += 1);
    }
    node.admission.wake();
    members::publish(node, Fact::List { revision });
    true
}

/// Polls the load and cache events of backend servers in turn, a few each
/// second.
pub async fn poll_servers(node: Arc<Node>) {
    let mut turn = 0_u64;
    let mut interval = tokio::time::interval(Duration::from_secs(1) / POLLS_PER_S);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let targets = targets(&node);
        if targets.is_empty() {
            continue;
        }
        let count = targets.len() as u64;
        let target = targets[(turn % count) as usize].clone();
        let polls_events =
            target.is_llm && (turn / count).is_multiple_of(LOAD_POLLS_PER_EVENT_POLL);
        turn += 1;
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            if polls_events {
                poll_events(&node, &target).await;
            }
            poll_load(&node, &target).await;
        });
    }
}

/// A backend server to poll.
#[derive(Clone, Debug)]
struct Target {
    id: Name,
    address: Name,
    is_llm: bool,
}

/// Returns this node's candidate servers of all services.
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
                is_llm: service.kind == ServiceKind::Llm,
            }));
        }
    }
    targets
}

async fn get_json<T: DeserializeOwned>(node: &Node, address: &str, path: &str) -> Option<T> {
    let request = Request::get(format!("http://{address}{path}"))
        .body(Full::default())
        .ok()?;
    let response = node.client.send(request, false, POLL_TIMEOUT).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let reading = web::read(response.into_body(), MAX_ANSWER_BYTES);
    let content = tokio::time::timeout(POLL_TIMEOUT, reading).await;
    let content = content.ok()?.ok()?;
    serde_json::from_slice(&content).ok()
}

async fn poll_load(node: &Arc<Node>, target: &Target) {
    let Some(load) = get_json::<LoadReport>(node, &target.address, "/load").await else {
        return;
    };
    let now = node.clock.now();
    node.servers
        .lock()
        .unwrap()
        .record_load(&target.id, load, now);
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
        let snapshot = get_json::<Snapshot>(node, &target.address, "/cache/snapshot").await;
        let mut servers = node.servers.lock().unwrap();
        if let (Some(snapshot), Some(index)) = (snapshot, servers.index_mut(&target.id)) {
            index.replace(snapshot.seq, &snapshot.blocks);
        }
        return;
    }
    let path = format!("/cache/events?from={from}");
    let Some(events) = get_json::<Vec<prefix::CacheEvent>>(node, &target.address, &path).await
    else {
        return;
    };
    let mut servers = node.servers.lock().unwrap();
    if let Some(index) = servers.index_mut(&target.id) {
        for event in &events {
            index.apply(event);
        }
    }
}
