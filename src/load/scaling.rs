//! How state, messages and processor time of a node grow, measured with the
//! core in this process and no I/O.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use serde_json::json;

use crate::core::Name;
use crate::core::call::Assembly;
use crate::core::call::Progress;
use crate::core::call::chunk;
use crate::core::call::request::Shape;
use crate::core::config::head;
use crate::core::config::head::Head;
use crate::core::config::patch;
use crate::core::config::patch::Patch;
use crate::core::limit::Priority;
use crate::core::limit::Ticket;
use crate::core::limit::gate::Gate;
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

/// Bytes that one call and its answer take besides their frames: headers of
/// `h2`, TCP and IP.
const CALL_OVERHEAD: f64 = 130.0;

/// Rounds of heartbeats that are measured.
const ROUNDS: u32 = 40;

/// Repeats of a decision that is timed.
const REPEATS: u32 = 200;

/// The size that the design is for.
pub mod design {
    /// Nodes.
    pub const NODES: f64 = 1_300.0;
    /// Backend servers.
    pub const SERVERS: f64 = 10_000.0;
    /// Requests a second.
    pub const REQUESTS: f64 = 63_000.0;
    /// Tokens a second.
    pub const TOKENS: f64 = 25e6;
    /// Configuration changes a day.
    pub const CONFIG_CHANGES: f64 = 27_000.0;
    /// Nodes replaced a day, each with a stop and a start.
    pub const REPLACED_NODES: f64 = 1_200.0;
    /// Parts of the configuration: services, workspaces, moves.
    pub const CONFIG_PARTS: f64 = 1_000.0;
    /// Seconds in a day.
    pub const DAY_S: f64 = 86_400.0;
}

/// One measured quantity with its line and what it predicts.
#[derive(Clone, Debug, Serialize)]
pub struct ScalingTrend {
    /// What was measured, with its unit.
    pub name: &'static str,
    /// What its size is counted in.
    #[serde(rename = "per")]
    pub size_unit: &'static str,
    /// Measured points of size and value.
    pub points: Vec<(f64, f64)>,
    /// The line.
    pub fit: LinearFit,
    /// The size that the prediction is for.
    pub size: f64,
    /// The predicted value.
    pub predicted: f64,
    /// Whether the value is a processor time, which differs from run to run.
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

    fn time(mut self) -> Self {
        self.is_time = true;
        self
    }
}

/// Measures every quantity.
pub fn measure() -> Vec<ScalingTrend> {
    let mut slopes = members();
    slopes.extend(changes());
    slopes.push(routing());
    slopes.push(server_view());
    slopes.push(server_state());
    slopes.push(tokens());
    slopes.push(admission());
    slopes.push(claims());
    slopes
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

/// Runs one node among `count` members and returns its bytes and processor
/// time for a second.
fn run_member(count: usize) -> (f64, f64) {
    let mut now = Time::from_millis(1_790_000_000_000);
    let mut node = Roster::new(member(0));
    let mut gossip = Gossip::new();
    for at in 1..count {
        let fact = Fact::Member(member(at));
        gossip.take(&fact, now);
        node.take(&fact);
    }
    let everyone: Vec<Member> = (0..count).map(member).collect();
    let senders: Vec<Member> = everyone
        .iter()
        .filter(|other| links_to(other, &everyone, &member(0).id))
        .cloned()
        .collect();
    let mut bytes = 0.0;
    let began = Instant::now();
    for _ in 0..ROUNDS {
        now = now + roster::HEARTBEAT;
        let round = node.round(now);
        let heartbeat = Call::Heartbeat(Heartbeat {
            from: node.me().clone(),
            digest: gossip.digest(),
            evidence: Vec::new(),
        });
        let size = size_of(&heartbeat) + size_of(&Answer::Digest(gossip.digest()));
        let calls = round.links.len() + senders.len();
        bytes += (size + CALL_OVERHEAD) * calls as f64;
        for sender in &senders {
            node.record_heartbeat(sender, now);
        }
        gossip.expire(now);
    }
    let span = roster::HEARTBEAT.as_secs_f64() * f64::from(ROUNDS);
    let busy = began.elapsed().as_secs_f64();
    // Half of the bytes of a call are this node's, counted in both directions.
    (bytes / 2.0 / span, busy / span * 100.0)
}

fn links_to(from: &Member, everyone: &[Member], to: &Name) -> bool {
    crate::core::member::links::of(&from.id, everyone).contains(to)
}

fn size_of<T: Serialize>(message: &T) -> f64 {
    frame::encode(message).map_or(0.0, |content| content.len() as f64)
}

fn members() -> Vec<ScalingTrend> {
    let sizes = [100, 200, 400, 800, 1_300];
    let mut bytes = Vec::new();
    let mut busy = Vec::new();
    let mut facts = Vec::new();
    for size in sizes {
        let (sent, time) = run_member(size);
        bytes.push((size as f64, sent));
        busy.push((size as f64, time));
        facts.push((size as f64, size_of(&Answer::Facts(all_members(size)))));
    }
    // A replacement is two news, each sent to five neighbours and heard from five.
    let news = size_of(&Call::Facts(vec![Fact::Member(member(0))])) + CALL_OVERHEAD;
    let replaced: Vec<(f64, f64)> = [300.0, 600.0, 1_200.0]
        .iter()
        .map(|count| (*count, count * 2.0 * 5.0 * news / design::DAY_S))
        .collect();
    vec![
        ScalingTrend::new(
            "heartbeats, bytes/s of a node",
            "nodes",
            bytes,
            design::NODES,
        ),
        ScalingTrend::new("membership, % of a core", "nodes", busy, design::NODES).time(),
        ScalingTrend::new("all facts, bytes at a start", "nodes", facts, design::NODES),
        ScalingTrend::new(
            "news of replaced nodes, bytes/s of a node",
            "replaced a day",
            replaced,
            design::REPLACED_NODES,
        ),
    ]
}

fn all_members(count: usize) -> Vec<Fact> {
    (0..count).map(|at| Fact::Member(member(at))).collect()
}

/// Returns a head with `parts` workspaces and the document behind it.
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

fn changes() -> Vec<ScalingTrend> {
    let mut head_bytes = Vec::new();
    let mut delta_bytes = Vec::new();
    for parts in [100, 300, 1_000] {
        let (mut head, mut doc) = configuration(parts);
        for at in 0..head::HISTORY {
            let body = json!({"workspaces": {"workspace-0000": {"weight": at + 1}}});
            let patch = change(&format!("change-{at}"), head.number, &body);
            doc = patch::apply(&doc, &body);
            head = head.next(&patch, &head::split(&doc), 0);
        }
        let text = serde_json::to_string(&head).unwrap_or_default();
        head_bytes.push((parts as f64, text.len() as f64));
        if let Some(delta) = head.delta(head.number - 1) {
            let part = PartText {
                key: "config/part/64-00000000000000000000000000000000".into(),
                text: json!({"weight": 1, "tokens_per_s": 1_000}).to_string(),
            };
            let answer = Answer::Delta(delta, vec![part], 1);
            delta_bytes.push((parts as f64, size_of(&answer) + CALL_OVERHEAD));
        }
    }
    let delta = LinearFit::new(&delta_bytes).predict(design::CONFIG_PARTS);
    let news = size_of(&Call::Facts(vec![Fact::Config { number: 1 }])) + CALL_OVERHEAD;
    // Each change is told to five neighbours, heard from five, fetched once and
    // given once.
    let spread: Vec<(f64, f64)> = [9_000.0, 18_000.0, 27_000.0]
        .iter()
        .map(|count| (*count, count * (5.0 * news + delta) / design::DAY_S))
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
            spread,
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

fn micros(began: Instant) -> f64 {
    began.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}

/// Times a whole choice: the subset, its candidates and the policy.
fn routing() -> ScalingTrend {
    let points = [500, 1_000, 2_500, 5_000, 10_000].map(|count| {
        let servers = servers(count);
        let mut policy = Scored::new();
        let request = Request {
            blocks: vec![1, 2, 3],
            prompt_tokens: 400,
            answer_tokens: 400,
            session: None,
        };
        let filter = Filter {
            service: "service-1",
            version: Some("v1"),
            slots: 8,
            avoid: &[],
            alone: false,
        };
        let now = Time::from_millis(1_000);
        let began = Instant::now();
        for draw in 0..REPEATS {
            let candidates = servers.candidates(&filter, &request, now);
            std::hint::black_box(policy.choose(&request, &candidates, u64::from(draw)));
        }
        (count as f64, micros(began))
    });
    let name = "choice of a server, µs";
    ScalingTrend::new(name, "servers", points.to_vec(), design::SERVERS).time()
}

/// Times the number of requests that the servers can take, asked at admission.
fn server_view() -> ScalingTrend {
    let points = [500, 1_000, 2_500, 5_000, 10_000].map(|count| {
        let servers = servers(count);
        let now = Time::from_millis(1_000);
        let began = Instant::now();
        for _ in 0..REPEATS {
            std::hint::black_box(servers.room("service-1", 8, now));
        }
        (count as f64, micros(began))
    });
    let name = "room at the servers, µs";
    ScalingTrend::new(name, "servers", points.to_vec(), design::SERVERS).time()
}

fn server_state() -> ScalingTrend {
    let points = [2_500, 5_000, 10_000].map(|count| {
        let copies = 8;
        let before = benchmark::resident_bytes();
        let held: Vec<Servers> = (0..copies).map(|_| servers(count)).collect();
        let each = (benchmark::resident_bytes() - before).max(0.0) / f64::from(copies);
        drop(held);
        (count as f64, each / 1e6)
    });
    let name = "view of the servers, MB";
    ScalingTrend::new(name, "servers", points.to_vec(), design::SERVERS).time()
}

/// Times reading a chunk, adding it to the answer and writing it for the caller.
fn tokens() -> ScalingTrend {
    let points = [200_u32, 400, 800].map(|count| {
        let began = Instant::now();
        for _ in 0..REPEATS / 10 {
            relay(count);
        }
        let each = began.elapsed().as_secs_f64() / f64::from(REPEATS / 10);
        (f64::from(count), each * 1e6)
    });
    let per_node = design::TOKENS / design::NODES;
    let name = "relaying tokens, µs";
    ScalingTrend::new(name, "tokens", points.to_vec(), per_node).time()
}

fn relay(count: u32) {
    let head = chunk::Head {
        request: "r-1",
        model: "dosel-llm",
        shape: Shape::Chat,
        created: 0,
    };
    let mut assembly = Assembly::new("r-1".into());
    let mut progress = Progress::default();
    for at in 0..count {
        let data = chunk::encode(&head, "word ", None, None);
        let id = format!("r-1:{at}");
        if let Ok(chunk) = chunk::decode(&id, &data) {
            // A fault would show as a missing token; the time is what counts here.
            let _ = std::hint::black_box(assembly.accept(&chunk, &mut progress));
        }
    }
}

/// Times one offer while `queued` requests wait.
fn admission() -> ScalingTrend {
    let points = [100, 400, 1_600].map(|queued| {
        let mut gate = Gate::new();
        let now = Time::from_millis(1_000);
        for id in 0..queued {
            gate.offer(ticket(id), 0, now);
        }
        let began = Instant::now();
        for id in 0..u64::from(REPEATS) {
            std::hint::black_box(gate.offer(ticket(queued + id), 0, now));
            gate.cancel(queued + id);
        }
        (queued as f64, micros(began))
    });
    ScalingTrend::new("admission, µs", "queued requests", points.to_vec(), 1_000.0).time()
}

fn ticket(id: u64) -> Ticket {
    Ticket {
        id,
        workspace: format!("w{}", id % 20).into(),
        weight: 1,
        work: 100,
        deadline: Time::from_millis(1_000_000),
        service_time: Duration::from_millis(10),
        priority: Priority::Panel,
    }
}

/// Counts store writes a second for claims a second: each shard is written at
/// most every commit gap, with all claims that wait for it.
fn claims() -> ScalingTrend {
    const GAP_S: f64 = 0.1;
    const SECONDS: u64 = 20;
    let points = [10_u64, 100, 1_000, 10_000].map(|rate| {
        let mut next_free = vec![0.0_f64; once::SHARDS as usize];
        let mut writes = 0_u64;
        for at in 0..rate * SECONDS {
            let time = at as f64 / rate as f64;
            let shard = once::shard_of(&format!("w/s/key-{at}")) as usize;
            // The claim joins a write that still waits, or makes the next one.
            if next_free[shard] <= time {
                writes += 1;
                next_free[shard] = time.max(next_free[shard]) + GAP_S;
            }
        }
        (rate as f64, writes as f64 / SECONDS as f64)
    });
    ScalingTrend::new(
        "claims, store writes/s",
        "claims a second",
        points.to_vec(),
        10_000.0,
    )
}
