//! Fakes of the platform that an entry runs on.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cassialock::clock::Clock;
use cassialock::core::Name;
use cassialock::core::fleet::scaling::ScaleOrder;
use cassialock::core::name_map::NameMap;
use cassialock::core::peer::NodeStatus;
use cassialock::core::peer::Phase;
use cassialock::core::relay as core_relay;
use cassialock::core::route::servers::Class;
use cassialock::core::route::servers::cold::Stated;
use cassialock::core::time::Time;
use cassialock::core::usage::WindowCounts;
use cassialock::entry::Entry;
use cassialock::entry::adapter::Adapter;
use cassialock::entry::adapter::BackendServer;
use cassialock::entry::adapter::Cloud;
use cassialock::entry::adapter::CloudReply;
use cassialock::entry::adapter::Consistency;
use cassialock::entry::adapter::Content;
use cassialock::entry::adapter::LeaseHolder;
use cassialock::entry::adapter::Listing;
use cassialock::entry::adapter::MoveOutcome;
use cassialock::entry::adapter::Object;
use cassialock::entry::adapter::ObjectKind;
use cassialock::entry::adapter::Store;
use cassialock::entry::adapter::StoreError;
use cassialock::entry::adapter::WatchResult;
use cassialock::entry::settings::Bounds;
use cassialock::entry::settings::Features;
use cassialock::entry::settings::Settings;
use cassialock::platform::protocol::HeaderProtocol;
use cassialock::telemetry::events::EventLog;
use futures_util::future::BoxFuture;
use serde_json::Value;

/// Records the arguments of a watch call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchCall {
    pub after: u64,
    pub wait: Duration,
}

/// Scripts the response to a watch call.
pub enum Answer {
    /// The store answers at once.
    Now(Result<WatchResult, StoreError>),
    /// The store answers without changes when the wait is over.
    AfterWait,
}

/// Scripts the responses of a [`FakeStore`] and records its watch calls and writes.
#[derive(Default)]
pub struct Script {
    pub listing: Mutex<Listing>,
    pub answers: Mutex<VecDeque<Answer>>,
    pub watches: Mutex<Vec<WatchCall>>,
    /// Blocks of crashing requests that were written.
    pub written: Mutex<Vec<Object>>,
    /// Era that the store names.
    pub era: AtomicU64,
    /// Whether single objects cannot be read.
    pub is_unreadable: AtomicBool,
    /// Records of the lease holder and of workspaces, which are kept.
    pub records: Mutex<Records>,
}

/// Records by kind and name, with their revisions in the current era.
#[derive(Clone, Default)]
pub struct Records {
    revision: u64,
    pub objects: BTreeMap<(ObjectKind, Name), (u64, Value)>,
}

impl Script {
    /// Brings the store back from a copy of its records.
    pub fn restore(&self, copy: Records) {
        *self.records.lock().unwrap() = copy;
        self.era.fetch_add(1, Ordering::Relaxed);
    }

    fn position(&self, revision: u64) -> u64 {
        self.era.load(Ordering::Relaxed) * ERA_REVISIONS + revision
    }

    fn read(&self, kind: ObjectKind, name: &str) -> Option<Object> {
        let records = self.records.lock().unwrap();
        let (revision, value) = records.objects.get(&(kind, name.into()))?;
        Some(Object {
            name: name.into(),
            revision: self.position(*revision),
            content: Content::Record(value.clone()),
        })
    }

    fn replace(
        &self,
        kind: ObjectKind,
        name: &str,
        revision: Option<u64>,
        value: &Value,
    ) -> Result<u64, StoreError> {
        if self.read(kind, name).map(|object| object.revision) != revision {
            return Err(StoreError::Conflict);
        }
        let mut records = self.records.lock().unwrap();
        records.revision += 1;
        let row = (records.revision, value.clone());
        records.objects.insert((kind, name.into()), row);
        Ok(self.position(records.revision))
    }
}

/// Number of revisions in an era.
pub const ERA_REVISIONS: u64 = 1_000;

/// Answers watch calls from a script and always lists the same objects.
pub struct FakeStore(pub Arc<Script>);

impl Store for FakeStore {
    fn era(&self) -> u64 {
        self.0.era.load(Ordering::Relaxed)
    }

    fn era_of(&self, revision: u64) -> u64 {
        revision / ERA_REVISIONS
    }

    fn list(
        &self,
        _kind: ObjectKind,
        _consistency: Consistency,
    ) -> BoxFuture<'_, Result<Listing, StoreError>> {
        Box::pin(async { Ok(self.0.listing.lock().unwrap().clone()) })
    }

    fn watch(
        &self,
        _kind: ObjectKind,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<WatchResult, StoreError>> {
        self.0
            .watches
            .lock()
            .unwrap()
            .push(WatchCall { after, wait });
        let answer = self.0.answers.lock().unwrap().pop_front();
        Box::pin(async move {
            match answer {
                Some(Answer::Now(result)) => result,
                Some(Answer::AfterWait) => {
                    tokio::time::sleep(wait).await;
                    Ok(WatchResult::Changes(after, Vec::new()))
                }
                None => std::future::pending().await,
            }
        })
    }

    fn get(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> BoxFuture<'_, Result<Option<Object>, StoreError>> {
        if self.0.is_unreadable.load(Ordering::Relaxed) {
            return Box::pin(async { Err(StoreError::Refused("unavailable".into())) });
        }
        let object = self.0.read(kind, name);
        Box::pin(async { Ok(object) })
    }

    fn write(
        &self,
        kind: ObjectKind,
        name: &str,
        revision: Option<u64>,
        value: &Value,
    ) -> BoxFuture<'_, Result<u64, StoreError>> {
        let is_kept = [
            ObjectKind::Leases,
            ObjectKind::Usage,
            ObjectKind::Workspaces,
        ];
        if is_kept.contains(&kind) {
            let written = self.0.replace(kind, name, revision, value);
            return Box::pin(async { written });
        }
        if kind == ObjectKind::Quarantine {
            self.0.written.lock().unwrap().push(Object {
                name: name.into(),
                revision: 1,
                content: Content::Record(value.clone()),
            });
        }
        Box::pin(async { Ok(1) })
    }

    fn remove(
        &self,
        _kind: ObjectKind,
        _name: &str,
        _revision: u64,
    ) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async { Ok(()) })
    }

    fn report_move(
        &self,
        _name: &str,
        _target: &str,
        _outcome: MoveOutcome,
    ) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async { Ok(()) })
    }
}

/// Accepts all calls to the cloud API.
pub struct FakeCloud;

impl Cloud for FakeCloud {
    fn report_usage<'a>(
        &'a self,
        _: &'a LeaseHolder,
        _: &'a WindowCounts,
    ) -> BoxFuture<'a, CloudReply> {
        Box::pin(async { CloudReply::Done })
    }

    fn order_servers<'a>(
        &'a self,
        _: &'a LeaseHolder,
        _: &'a str,
        _: &'a ScaleOrder,
    ) -> BoxFuture<'a, CloudReply> {
        Box::pin(async { CloudReply::Done })
    }
}

/// Returns settings with loopback addresses.
pub fn settings() -> Settings {
    let local = |port: u16| ([127, 0, 0, 1], port).into();
    Settings {
        node: "entry-2".into(),
        domain: "rionegro".into(),
        domains: vec!["rionegro".into()],
        front: Some(local(0)),
        ready: None,
        directory: None,
        peer: local(0),
        metrics: None,
        store: local(1),
        history: Duration::from_secs(20),
        cloud: None,
        memory_limit: 260_000_000,
        millicores: 250,
        is_first_start: false,
        features: Features {
            prediction: true,
            ..Features::default()
        },
        bounds: Bounds::default(),
    }
}

/// Returns an entry whose store is scripted by `script`.
pub fn entry(script: &Arc<Script>) -> Arc<Entry> {
    let clock = Clock::new();
    let adapter = Adapter {
        dialect: Box::new(HeaderProtocol::new()),
        store: Box::new(FakeStore(Arc::clone(script))),
        cloud: Box::new(FakeCloud),
    };
    let events = EventLog::with_sender("entry-2".into(), clock, None);
    Arc::new(Entry::new(settings(), adapter, events, clock))
}

/// Returns the store object of a backend server.
pub fn backend(instance: &str, revision: u64) -> Object {
    Object {
        name: instance.into(),
        revision,
        content: Content::Backend(server(instance)),
    }
}

/// Returns the registration of a backend server.
pub fn server(instance: &str) -> BackendServer {
    BackendServer {
        instance: instance.into(),
        started_ms: 1,
        service: "dosel-llm".into(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "rionegro".into(),
        version: "v1".into(),
        slots: 8,
        is_leaving: false,
        class: Class::OnDemand,
        cold: Stated::default(),
    }
}

/// Returns the status of another entry.
pub fn status(node: &str) -> NodeStatus {
    NodeStatus {
        node: node.into(),
        incarnation: 1,
        seq: 1,
        domain: "rionegro".into(),
        front: ([127, 0, 0, 1], 1).into(),
        peer: ([127, 0, 0, 1], 2).into(),
        phase: Phase::Ready,
        time: Time::default(),
        lease: None,
        quota_usage: NameMap::new(),
        traffic: NameMap::new(),
        request_counts: Vec::new(),
        crashes: Vec::new(),
        evidence: NameMap::new(),
        vetoes: NameMap::new(),
    }
}

/// Merges the statuses of `count` other entries, one of which is the entry's relay.
pub fn add_peers(entry: &Entry, count: usize) {
    let names: Vec<Name> = (0..count)
        .map(|index| format!("other-{index}").into())
        .collect();
    for name in &names {
        entry.membership.merge(status(name), entry.clock.now());
    }
    let mut ready = names.clone();
    ready.push("entry-2".into());
    assert!(core_relay::relay_of("entry-2", &ready).is_some());
}
