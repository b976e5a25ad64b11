//! Entries of a deployment that is too large for heartbeats between all.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassialock::clock::Clock;
use cassialock::core::Name;
use cassialock::core::catalog::Catalog;
use cassialock::core::route::servers::LoadReport;
use cassialock::core::route::servers::notice::Notice;
use cassialock::core::route::speed::Estimates;
use cassialock::core::route::speed::Kind;
use cassialock::core::route::speed::Work;
use cassialock::entry::Entry;
use cassialock::entry::adapter::Adapter;
use cassialock::entry::adapter::Content;
use cassialock::entry::adapter::ResponseInfo;
use cassialock::entry::backends::Criteria;
use cassialock::entry::backends::in_flight::InFlight;
use cassialock::entry::membership::Registration;
use cassialock::entry::membership::datagrams;
use cassialock::entry::notices;
use cassialock::platform::protocol::HeaderProtocol;
use cassialock::telemetry::events::EventLog;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use crate::fakes;
use crate::fakes::FakeCloud;
use crate::fakes::FakeStore;
use crate::fakes::Script;

const DOMAINS: usize = 3;
const COUNT: usize = 24;

/// Longest time until the entries have agreed again.
const TIMEOUT: Duration = Duration::from_secs(15);

struct Node {
    entry: Arc<Entry>,
    tasks: [JoinHandle<()>; 2],
}

/// Records the answers of a store, which an entry asks only while it has no relay.
async fn answer_as_store(entry: Arc<Entry>) {
    loop {
        let now = entry.clock.now();
        if !entry.relay.is_relayed(now) {
            entry.catalog.confirm(now);
            entry.relay.record_response(now);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn entry(index: usize, socket: &UdpSocket, clock: Clock) -> Arc<Entry> {
    let mut settings = fakes::settings();
    settings.node = format!("n{index}").into();
    settings.domain = format!("d{}", index % DOMAINS).into();
    settings.domains = (0..DOMAINS).map(|at| format!("d{at}").into()).collect();
    settings.peer = socket.local_addr().unwrap();
    let node = settings.node.clone();
    let adapter = Adapter {
        dialect: Box::new(HeaderProtocol::new()),
        store: Box::new(FakeStore(Arc::new(Script::default()))),
        cloud: Box::new(FakeCloud),
    };
    let events = EventLog::with_sender(node, clock, None);
    let entry = Arc::new(Entry::new(settings, adapter, events, clock));
    entry.catalog.install(Catalog::new(1));
    entry.relay.record_list(5);
    entry.membership.set_incarnation(index as u64 + 1);
    entry
}

async fn start() -> Vec<Node> {
    let clock = Clock::new();
    let mut sockets = Vec::new();
    for _ in 0..COUNT {
        let socket = datagrams::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
        sockets.push(socket);
    }
    let entries: Vec<Arc<Entry>> = sockets
        .iter()
        .enumerate()
        .map(|(index, socket)| entry(index, socket, clock))
        .collect();
    for known in &entries {
        let settings = known.settings.load();
        let registration = Registration {
            front: settings.front.unwrap(),
            peer: settings.peer,
            domain: settings.domain.clone(),
            started: 1,
            millicores: settings.millicores,
        };
        for entry in &entries {
            let registered = Some((registration.clone(), 1));
            let now = entry.clock.now();
            entry
                .membership
                .set_registration(&settings.node, registered, now);
        }
    }
    let start = |(entry, socket): (Arc<Entry>, UdpSocket)| Node {
        tasks: [
            tokio::spawn(datagrams::run(Arc::clone(&entry), Arc::new(socket))),
            tokio::spawn(answer_as_store(Arc::clone(&entry))),
        ],
        entry,
    };
    entries.into_iter().zip(sockets).map(start).collect()
}

/// Returns the nodes that follow the store themselves.
fn followers(nodes: &[Node]) -> Vec<Name> {
    nodes
        .iter()
        .filter(|node| !node.entry.relay.is_relayed(node.entry.clock.now()))
        .map(|node| node.entry.settings.load().node.clone())
        .collect()
}

/// Waits until one node of each failure domain follows the store, and returns these.
async fn wait_agreed(nodes: &[Node]) -> Vec<Name> {
    let began = Instant::now();
    loop {
        let found = followers(nodes);
        if found.len() == DOMAINS {
            return found;
        }
        assert!(began.elapsed() < TIMEOUT, "{found:?} follow the store");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test]
async fn one_entry_of_each_domain_follows_the_store_and_is_replaced() {
    let mut nodes = start().await;
    let relays = wait_agreed(&nodes).await;
    let is_candidate = |node: &Node, name| {
        let now = node.entry.clock.now();
        node.entry.membership.is_lease_candidate(name, None, now)
    };
    let began = Instant::now();
    while !nodes.iter().all(|node| is_candidate(node, "n0")) {
        assert!(began.elapsed() < TIMEOUT, "the entries disagree");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(!nodes.iter().any(|node| is_candidate(node, "n1")));
    // All relays stop at once.
    nodes.retain(|node| {
        let is_relay = relays.contains(&node.entry.settings.load().node);
        if is_relay {
            node.tasks.iter().for_each(JoinHandle::abort);
        }
        !is_relay
    });
    // The stopped relays are noticed by their silence.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let replaced = wait_agreed(&nodes).await;
    assert!(replaced.iter().all(|relay| !relays.contains(relay)));
}

const CRITERIA: Criteria<'_> = Criteria {
    service: "dosel-llm",
    version: None,
    session: None,
    avoid: &[],
    has_fallback: false,
    prompt: None,
    random: 0,
};

/// Lists one server at all nodes.
fn list_server(nodes: &[Node]) {
    for node in nodes {
        let Content::Backend(server) = fakes::backend("i-1", 1).content else {
            panic!("not a backend server");
        };
        let now = node.entry.clock.now();
        node.entry.backends.replace(vec![server], now);
    }
}

/// Takes the answer of the server to a request, which takes `span`.
async fn answer(entry: &Arc<Entry>, notice: Notice, span: Duration) -> (InFlight, Name) {
    let chosen = entry.backends.choose(&CRITERIA, entry.clock.now()).unwrap();
    let in_flight = InFlight::new(entry, &chosen);
    tokio::time::sleep(span).await;
    let info = ResponseInfo {
        request_id: Some("q".into()),
        notice,
        ..ResponseInfo::default()
    };
    notices::record(entry, "q", &chosen, &in_flight, &info);
    (in_flight, chosen.id)
}

/// The store is silent about the server.
#[tokio::test]
async fn all_entries_learn_from_one_that_a_server_leaves() {
    let nodes = start().await;
    wait_agreed(&nodes).await;
    list_server(&nodes);
    let notice = Notice {
        is_leaving: true,
        ..Notice::default()
    };
    answer(&nodes[0].entry, notice, Duration::ZERO).await;
    let is_usable = |node: &Node| {
        let now = node.entry.clock.now();
        node.entry.backends.has_usable("dosel-llm", now)
    };
    assert!(!is_usable(&nodes[0]));
    let began = Instant::now();
    while nodes.iter().any(is_usable) {
        assert!(began.elapsed() < TIMEOUT, "an entry was not told");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against entries that know of a server's speed and load only what they see
/// themselves, and against recording where the servers do not state how long work takes.
#[tokio::test]
async fn all_entries_learn_how_fast_and_busy_servers_are() {
    let nodes = start().await;
    wait_agreed(&nodes).await;
    list_server(&nodes);
    let respond = async |entry: &Arc<Entry>, load: LoadReport| {
        let notice = Notice {
            load: Some(load),
            ..Notice::default()
        };
        let (in_flight, id) = answer(entry, notice, Duration::from_millis(2)).await;
        in_flight.record_success(Duration::from_millis(100), Some(Kind::Plain));
        id
    };
    let silent = LoadReport {
        waiting: 1,
        ..LoadReport::default()
    };
    let known = |node: &Node, id: &str| {
        let now = node.entry.clock.now();
        node.entry.backends.with_speeds(|speeds| {
            let busy = speeds.utilization("dosel-llm", now);
            let expected = speeds.expected_first("dosel-llm", &Work::default());
            (busy, speeds.ratio(id, now).samples, expected)
        })
    };
    let mut id = Name::from("");
    for _ in 0..40 {
        id = respond(&nodes[0].entry, silent).await;
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for node in &nodes {
        assert_eq!(known(node, &id), (None, 0.0, None));
    }
    let stated = LoadReport {
        slots: Some(8),
        work_percent: Some(100),
        ..silent
    };
    let began = Instant::now();
    let knows = |node: &Node| {
        let (busy, samples, expected) = known(node, &id);
        busy.is_some_and(|busy| busy.busy > 0.99 && busy.samples > 5.0)
            && samples > 3.0
            && expected.is_some()
    };
    while !nodes.iter().all(knows) {
        assert!(began.elapsed() < TIMEOUT, "an entry was not told");
        for node in &nodes[..4] {
            respond(&node.entry, stated).await;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
