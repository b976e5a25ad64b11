//! Measures how the state, messages and CPU time of a node grow with the system.
//!
//! The measurements run the core in this process, without I/O.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use serde_json::json;

use crate::core::Name;
use crate::core::completion::Assembly;
use crate::core::completion::Progress;
use crate::core::completion::chunk;
use crate::core::completion::request::Endpoint;
use crate::core::config::head;
use crate::core::config::head::Head;
use crate::core::config::patch;
use crate::core::config::patch::Patch;
use crate::core::limit::PendingRequest;
use crate::core::limit::Priority;
use crate::core::limit::queue::AdmissionQueue;
use crate::core::member::Member;
use crate::core::member::State;
use crate::core::member::gossip::Fact;
use crate::core::member::gossip::Gossip;
use crate::core::member::roster;
use crate::core::member::roster::Roster;
use crate::core::once;
use crate::core::route::Policy;
use crate::core::route::Request;
use crate::core::route::scored::Scored;
use crate::core::route::servers::Class;
use crate::core::route::servers::Filter;
use crate::core::route::servers::Servers;
use crate::core::route::servers::Vm;
use crate::core::time::Time;
use crate::frame;
use crate::load::benchmark;
use crate::load::linear_fit::LinearFit;
use crate::node::peers::Answer;
use crate::node::peers::Call;
use crate::node::peers::Heartbeat;
use crate::node::peers::PartText;

/// Bytes of the `h2`, TCP and IP headers of a call and its response.
const CALL_HEADER_BYTES: f64 = 130.0;

/// Number of measured heartbeat rounds.
const HEARTBEAT_ROUNDS: u32 = 40;

/// Iterations of a timed operation.
const ITERATIONS: u32 = 200;

/// System size that the design targets.
pub mod design {
    /// Number of nodes.
    pub const NODES: f64 = 1_300.0;
    /// Number of backend servers.
    pub const SERVERS: f64 = 10_000.0;
    /// Requests per second.
    pub const REQUESTS: f64 = 63_000.0;
    /// Tokens per second.
    pub const TOKENS: f64 = 25e6;
    /// Configuration changes per day.
    pub const CONFIG_CHANGES: f64 = 27_000.0;
    /// Nodes replaced per day, each with a stop and a start.
    pub const REPLACED_NODES: f64 = 1_200.0;
    /// Parts of the configuration: services, workspaces and moves.
    pub const CONFIG_PARTS: f64 = 1_000.0;
    /// Seconds per day.
    pub const DAY_S: f64 = 86_400.0;
}

/// Growth of a measured quantity, with a linear fit and a prediction.
#[derive(Clone, Debug, Serialize)]
pub struct ScalingTrend {
    /// Name and unit of the quantity.
    pub name: &'static str,
    /// Unit of the size.
    #[serde(rename = "per")]
    pub size_unit: &'static str,
    /// Measured `(size, value)` points.
    pub points: Vec<(f64, f64)>,
    /// Linear fit through the points.
    pub fit: LinearFit,
    /// Size at which the value is predicted.
    pub size: f64,
    /// Predicted value at `size`.
    pub predicted: f64,
    /// Whether the value depends on the machine, such as CPU time, and varies between runs.
    pub is_time: bool,
}

impl ScalingTrend {
    fn new(
        name: &'static str,
        size_unit: &'static str,
        points: Vec<(f64, f64)>,
        size: f64,
    ) -> Self {
        let fit = LinearFit::new(&points);
        Self {
            name,
            size_unit,
            predicted: fit.predict(size),
            points,
            fit,
            size,
            is_time: false,
        }
    }

    fn machine_dependent(mut self) -> Self {
        self.is_time = true;
        self
    }
}

/// Measures all quantities.
pub fn measure() -> Vec<ScalingTrend> {
    let mut trends = measure_membership();
    trends.extend(measure_config_changes());
    trends.push(measure_routing());
    trends.push(measure_server_capacity());
    trends.push(measure_server_memory());
    trends.push(measure_token_relay());
    trends.push(measure_admission());
    trends.push(measure_claim_writes());
    trends
}

fn member(at: usize) -> Member {
    Member {
        id: format!("entry-{at:04}").into(),
        incarnation: 1_790_000_000_000,
        state: State::Live,
        at: Time::from_millis(1_790_000_000_000),
        address: format!("10.{}.{}.7:8080", at / 256, at % 256).into(),
        peer: format!("10.{}.{}.7:8081", at / 256, at % 256).into(),
        domain: format!("domain-{}", at % 9).into(),
    }
}

/// Simulates the membership protocol of one node among `count` members.
///
/// Returns the bytes per second and the CPU time in percent of a core.
fn simulate_member(count: usize) -> (f64, f64) {
    let mut now = Time::from_millis(1_790_000_000_000);
    let mut node = Roster::new(member(0));
    let mut gossip = Gossip::new();
    for at in 1..count {
        let fact = Fact::Member(member(at));
        gossip.merge(&fact, now);
        node.apply(&fact);
    }
    let members: Vec<Member> = (0..count).map(member).collect();
    let senders: Vec<Member> = members
        .iter()
        .filter(|other| is_neighbour(other, &members, &member(0).id))
        .cloned()
        .collect();
    let mut bytes = 0.0;
    let began = Instant::now();
    for _ in 0..HEARTBEAT_ROUNDS {
        now = now + roster::HEARTBEAT_INTERVAL;
        let round = node.run_round(now);
        let heartbeat = Call::Heartbeat(Heartbeat {
            from: node.local().clone(),
            digest: gossip.digest(),
            evidence: Vec::new(),
        });
        let size = encoded_size(&heartbeat) + encoded_size(&Answer::Digest(gossip.digest()));
        let calls = round.neighbours.len() + senders.len();
        bytes += (size + CALL_HEADER_BYTES) * calls as f64;
        for sender in &senders {
            node.record_heartbeat(sender, now);
        }
        gossip.expire(now);
    }
    let span = roster::HEARTBEAT_INTERVAL.as_secs_f64() * f64::from(HEARTBEAT_ROUNDS);
    let cpu_time = began.elapsed().as_secs_f64();
    // Each call is shared by two nodes, so half of its bytes are attributed to this one.
    (bytes / 2.0 / span, cpu_time / span * 100.0)
}

fn is_neighbour(from: &Member, members: &[Member], to: &Name) -> bool {
    crate::core::member::neighbours::neighbours_of(&from.id, members).contains(to)
}

fn encoded_size<T: Serialize>(message: &T) -> f64 {
    frame::encode(message).map_or(0.0, |content| content.len() as f64)
}

fn measure_membership() -> Vec<ScalingTrend> {
    let sizes = [100, 200, 400, 800, 1_300];
    let mut bytes = Vec::new();
    let mut cpu_percent = Vec::new();
    let mut facts = Vec::new();
    for size in sizes {
        let (sent, time) = simulate_member(size);
        bytes.push((size as f64, sent));
        cpu_percent.push((size as f64, time));
        facts.push((
            size as f64,
            encoded_size(&Answer::Facts(member_facts(size))),
        ));
    }
    // A replacement creates two facts, each sent to five neighbours and received from five.
    // The bytes of a call are divided between its two nodes.
    let fact_bytes = encoded_size(&Call::Facts(vec![Fact::Member(member(0))])) + CALL_HEADER_BYTES;
    let replaced: Vec<(f64, f64)> = [300.0, 600.0, 1_200.0]
        .iter()
        .map(|count| (*count, count * 2.0 * 5.0 * fact_bytes / design::DAY_S))
        .collect();
    vec![
        ScalingTrend::new(
            "heartbeats, bytes/s of a node",
            "nodes",
            bytes,
            design::NODES,
        ),
        ScalingTrend::new(
            "membership, % of a core",
            "nodes",
            cpu_percent,
            design::NODES,
        )
        .machine_dependent(),
        ScalingTrend::new("all facts, bytes at a start", "nodes", facts, design::NODES),
        ScalingTrend::new(
            "news of replaced nodes, bytes/s of a node",
            "replaced a day",
            replaced,
            design::REPLACED_NODES,
        ),
    ]
}

fn member_facts(count: usize) -> Vec<Fact> {
    (0..count).map(|at| Fact::Member(member(at))).collect()
}

/// Returns the head of a configuration with `parts` workspaces, and its document.
fn configuration(parts: usize) -> (Head, serde_json::Value) {
    let workspaces: serde_json::Map<String, serde_json::Value> = (0..parts)
        .map(|at| {
            let value = json!({"weight": 1, "tokens_per_s": 1_000 + at});
            (format!("workspace-{at:04}"), value)
        })
        .collect();
    let doc = json!({ "workspaces": workspaces });
    let patch = change("setup", 0, &doc);
    (Head::default().next(&patch, &head::split(&doc), 0), doc)
}

fn change(id: &str, base: u64, body: &serde_json::Value) -> Patch {
    Patch {
        id: id.into(),
        base,
        author: "operator".into(),
        patch: body.clone(),
    }
}

fn measure_config_changes() -> Vec<ScalingTrend> {
    let mut head_bytes = Vec::new();
    let mut delta_bytes = Vec::new();
    for parts in [100, 300, 1_000] {
        let (mut head, mut doc) = configuration(parts);
        for at in 0..head::MAX_HISTORY {
            let body = json!({"workspaces": {"workspace-0000": {"weight": at + 1}}});
            let patch = change(&format!("change-{at}"), head.number, &body);
            doc = patch::apply(&doc, &body);
            head = head.next(&patch, &head::split(&doc), 0);
        }
        let text = serde_json::to_string(&head).unwrap_or_default();
        head_bytes.push((parts as f64, text.len() as f64));
        if let Some(delta) = head.delta_since(head.number - 1) {
            let part = PartText {
                key: "config/part/64-00000000000000000000000000000000".into(),
                text: json!({"weight": 1, "tokens_per_s": 1_000}).to_string(),
            };
            let answer = Answer::Delta(delta, vec![part], 1);
            delta_bytes.push((parts as f64, encoded_size(&answer) + CALL_HEADER_BYTES));
        }
    }
    let delta = LinearFit::new(&delta_bytes).predict(design::CONFIG_PARTS);
    let fact_bytes =
        encoded_size(&Call::Facts(vec![Fact::Config { number: 1 }])) + CALL_HEADER_BYTES;
    // Each change is sent to five neighbours, received from five, fetched once and
    // served once. The bytes of a call are divided between its two nodes.
    let change_bytes: Vec<(f64, f64)> = [9_000.0, 18_000.0, 27_000.0]
        .iter()
        .map(|count| (*count, count * (5.0 * fact_bytes + delta) / design::DAY_S))
        .collect();
    vec![
        ScalingTrend::new(
            "head of the configuration, bytes",
            "parts",
            head_bytes,
            design::CONFIG_PARTS,
        ),
        ScalingTrend::new(
            "delta of one change, bytes",
            "parts",
            delta_bytes,
            design::CONFIG_PARTS,
        ),
        ScalingTrend::new(
            "configuration, bytes/s of a node",
            "changes a day",
            change_bytes,
            design::CONFIG_CHANGES,
        ),
    ]
}

fn vm(at: usize) -> Vm {
    Vm {
        id: format!("server-{at:05}").into(),
        service: format!("service-{}", at % 10).into(),
        version: "v1".into(),
        address: format!("10.{}.{}.9:8000", at / 256, at % 256).into(),
        domain: format!("domain-{}", at % 9).into(),
        class: Class::Reclaimable,
        leaving: false,
    }
}

fn servers(count: usize) -> Servers {
    let mut servers = Servers::new("entry-0000".into(), "domain-0".into());
    let list: Vec<Vm> = (0..count).map(vm).collect();
    servers.update(&list);
    servers
}

fn mean_micros(began: Instant) -> f64 {
    began.elapsed().as_secs_f64() * 1e6 / f64::from(ITERATIONS)
}

/// Measures the time of a routing decision: the subset, its candidates and the policy.
fn measure_routing() -> ScalingTrend {
    let points = [500, 1_000, 2_500, 5_000, 10_000].map(|count| {
        let servers = servers(count);
        let mut policy = Scored::new();
        let request = Request {
            block_hashes: vec![1, 2, 3],
            prompt_tokens: 400,
            answer_tokens: 400,
            session: None,
        };
        let filter = Filter {
            service: "service-1",
            version: Some("v1"),
            slots: 8,
            excluded: &[],
            exclude_suspected: false,
        };
        let now = Time::from_millis(1_000);
        let began = Instant::now();
        for draw in 0..ITERATIONS {
            let candidates = servers.candidates(&filter, &request, now);
            std::hint::black_box(policy.choose(&request, &candidates, u64::from(draw)));
        }
        (count as f64, mean_micros(began))
    });
    let name = "choice of a server, µs";
    ScalingTrend::new(name, "servers", points.to_vec(), design::SERVERS).machine_dependent()
}

/// Measures the time to compute the free capacity of the servers, which admission needs.
fn measure_server_capacity() -> ScalingTrend {
    let points = [500, 1_000, 2_500, 5_000, 10_000].map(|count| {
        let servers = servers(count);
        let now = Time::from_millis(1_000);
        let began = Instant::now();
        for _ in 0..ITERATIONS {
            std::hint::black_box(servers.free_capacity("service-1", 8, now));
        }
        (count as f64, mean_micros(began))
    });
    let name = "room at the servers, µs";
    ScalingTrend::new(name, "servers", points.to_vec(), design::SERVERS).machine_dependent()
}

/// Measures the memory of the list of servers.
fn measure_server_memory() -> ScalingTrend {
    let points = [2_500, 5_000, 10_000].map(|count| {
        let copies = 8;
        let before = benchmark::resident_bytes();
        let lists: Vec<Servers> = (0..copies).map(|_| servers(count)).collect();
        let each = (benchmark::resident_bytes() - before).max(0.0) / f64::from(copies);
        drop(lists);
        (count as f64, each / 1e6)
    });
    let name = "view of the servers, MB";
    ScalingTrend::new(name, "servers", points.to_vec(), design::SERVERS).machine_dependent()
}

/// Measures the time to decode a chunk, add it to the response and encode it for the caller.
fn measure_token_relay() -> ScalingTrend {
    let points = [200_u32, 400, 800].map(|count| {
        let began = Instant::now();
        for _ in 0..ITERATIONS / 10 {
            relay_tokens(count);
        }
        let each = began.elapsed().as_secs_f64() / f64::from(ITERATIONS / 10);
        (f64::from(count), each * 1e6)
    });
    let per_node = design::TOKENS / design::NODES;
    let name = "relaying tokens, µs";
    ScalingTrend::new(name, "tokens", points.to_vec(), per_node).machine_dependent()
}

fn relay_tokens(count: u32) {
    let head = chunk::Header {
        request_id: "r-1",
        model: "dosel-llm",
        endpoint: Endpoint::Chat,
        created: 0,
    };
    let mut assembly = Assembly::new("r-1".into());
    let mut progress = Progress::default();
    for at in 0..count {
        let data = chunk::encode(&head, "word ", None, None);
        let id = format!("r-1:{at}");
        if let Ok(chunk) = chunk::decode(&id, &data) {
            // The result is ignored, because only the time is measured: a fault would show
            // as a missing token.
            let _ = std::hint::black_box(assembly.accept(&chunk, &mut progress));
        }
    }
}

/// Measures the time to submit a request to the admission queue, by the number of queued requests.
fn measure_admission() -> ScalingTrend {
    let points = [100, 400, 1_600].map(|queued| {
        let mut queue = AdmissionQueue::new();
        let now = Time::from_millis(1_000);
        for id in 0..queued {
            queue.submit(pending_request(id), 0, now);
        }
        let began = Instant::now();
        for id in 0..u64::from(ITERATIONS) {
            std::hint::black_box(queue.submit(pending_request(queued + id), 0, now));
            queue.cancel(queued + id);
        }
        (queued as f64, mean_micros(began))
    });
    ScalingTrend::new("admission, µs", "queued requests", points.to_vec(), 1_000.0)
        .machine_dependent()
}

fn pending_request(id: u64) -> PendingRequest {
    PendingRequest {
        id,
        workspace: format!("w{}", id % 20).into(),
        weight: 1,
        work: 100,
        deadline: Time::from_millis(1_000_000),
        service_time: Duration::from_millis(10),
        rank: Priority::Panel.rank(),
    }
}

/// Computes the store writes per second by the rate of claims.
///
/// A shard is written at most once per commit interval, with all claims that wait for it.
fn measure_claim_writes() -> ScalingTrend {
    const COMMIT_INTERVAL_S: f64 = 0.1;
    const DURATION_S: u64 = 20;
    let points = [10_u64, 100, 1_000, 10_000].map(|rate| {
        let mut next_free = vec![0.0_f64; once::SHARD_COUNT as usize];
        let mut writes = 0_u64;
        for at in 0..rate * DURATION_S {
            let time = at as f64 / rate as f64;
            let shard = once::shard_of(&format!("w/s/key-{at}")) as usize;
            // The claim joins a pending write of its shard, or else schedules the next one.
            if next_free[shard] <= time {
                writes += 1;
                next_free[shard] = time.max(next_free[shard]) + COMMIT_INTERVAL_S;
            }
        }
        (rate as f64, writes as f64 / DURATION_S as f64)
    });
    ScalingTrend::new(
        "claims, store writes/s",
        "claims a second",
        points.to_vec(),
        10_000.0,
    )
}
