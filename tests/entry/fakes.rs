//! Fakes of what is outside of an entry.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cassialock::clock::Clock;
use cassialock::core::Name;
use cassialock::core::fleet::orders::Order;
use cassialock::core::peer::Phase;
use cassialock::core::peer::Status;
use cassialock::core::relay as roles;
use cassialock::core::route::servers::Class;
use cassialock::core::table::Table;
use cassialock::core::time::Time;
use cassialock::core::usage::Counts;
use cassialock::entry::Entry;
use cassialock::entry::outside::Cloud;
use cassialock::entry::outside::CloudReply;
use cassialock::entry::outside::Content;
use cassialock::entry::outside::Holder;
use cassialock::entry::outside::Kind;
use cassialock::entry::outside::Listed;
use cassialock::entry::outside::Listing;
use cassialock::entry::outside::Object;
use cassialock::entry::outside::Outcome;
use cassialock::entry::outside::Outside;
use cassialock::entry::outside::Store;
use cassialock::entry::outside::StoreError;
use cassialock::entry::outside::Watched;
use cassialock::entry::settings::Bounds;
use cassialock::entry::settings::Settings;
use cassialock::platform::protocol::HeaderProtocol;
use cassialock::telemetry::events::EventLog;
use futures_util::future::BoxFuture;
use serde_json::Value;

/// A watch that the store was asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Asked {
    pub after: u64,
    pub wait: Duration,
}

/// What the store does with a watch.
pub enum Answer {
    /// It answers at once.
    Now(Result<Watched, StoreError>),
    /// It answers without changes once the wait is over.
    AfterWait,
}

#[derive(Default)]
pub struct Script {
    pub listing: Mutex<Listing>,
    pub answers: Mutex<VecDeque<Answer>>,
    pub asked: Mutex<Vec<Asked>>,
}

/// A store that answers watches as told, and lists the same objects always.
pub struct FakeStore(pub Arc<Script>);

impl Store for FakeStore {
    fn list(&self, _kind: Kind) -> BoxFuture<'_, Result<Listing, StoreError>> {
        Box::pin(async { Ok(self.0.listing.lock().unwrap().clone()) })
    }

    fn watch(
        &self,
        _kind: Kind,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Watched, StoreError>> {
        self.0.asked.lock().unwrap().push(Asked { after, wait });
        let answer = self.0.answers.lock().unwrap().pop_front();
        Box::pin(async move {
            match answer {
                Some(Answer::Now(answered)) => answered,
                Some(Answer::AfterWait) => {
                    tokio::time::sleep(wait).await;
                    Ok(Watched::Changes(after, Vec::new()))
                }
                None => std::future::pending().await,
            }
        })
    }

    fn get(&self, _kind: Kind, _name: &str) -> BoxFuture<'_, Result<Option<Object>, StoreError>> {
        Box::pin(async { Ok(None) })
    }

    fn write(
        &self,
        _kind: Kind,
        _name: &str,
        _revision: Option<u64>,
        _value: &Value,
    ) -> BoxFuture<'_, Result<u64, StoreError>> {
        Box::pin(async { Ok(1) })
    }

    fn remove(
        &self,
        _kind: Kind,
        _name: &str,
        _revision: u64,
    ) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async { Ok(()) })
    }

    fn report_move(
        &self,
        _name: &str,
        _target: &str,
        _outcome: Outcome,
    ) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async { Ok(()) })
    }
}

/// A cloud that does whatever it is asked for.
pub struct FakeCloud;

impl Cloud for FakeCloud {
    fn report_usage<'a>(&'a self, _: &'a Holder, _: &'a Counts) -> BoxFuture<'a, CloudReply> {
        Box::pin(async { CloudReply::Done })
    }

    fn order_servers<'a>(
        &'a self,
        _: &'a Holder,
        _: &'a str,
        _: &'a Order,
    ) -> BoxFuture<'a, CloudReply> {
        Box::pin(async { CloudReply::Done })
    }
}

/// Returns settings that name loopback addresses.
pub fn settings() -> Settings {
    let local = |port: u16| ([127, 0, 0, 1], port).into();
    Settings {
        node: "entry-1".into(),
        domain: "rionegro".into(),
        domains: vec!["rionegro".into()],
        front: Some(local(0)),
        ready: None,
        directory: None,
        peer: local(0),
        metrics: None,
        store: local(1),
        cloud: None,
        memory: 260_000_000,
        bounds: Bounds::default(),
    }
}

/// Returns an entry whose store follows `script`.
pub fn entry(script: &Arc<Script>) -> Arc<Entry> {
    let clock = Clock::new();
    let outside = Outside {
        dialect: Box::new(HeaderProtocol::new()),
        store: Box::new(FakeStore(Arc::clone(script))),
        cloud: Box::new(FakeCloud),
    };
    let events = EventLog::with_sender("entry-1".into(), clock, None);
    Arc::new(Entry::new(settings(), outside, events, clock))
}

/// Returns the store's object of a backend server.
pub fn backend(instance: &str, revision: u64) -> Object {
    Object {
        name: instance.into(),
        revision,
        content: Content::Backend(Listed {
            instance: instance.into(),
            born: 1,
            service: "dosel-llm".into(),
            address: ([127, 0, 0, 1], 9).into(),
            domain: "rionegro".into(),
            version: "v1".into(),
            slots: 8,
            is_leaving: false,
            class: Class::OnDemand,
        }),
    }
}

/// Returns what another entry says of itself.
pub fn status(node: &str) -> Status {
    Status {
        node: node.into(),
        incarnation: 1,
        seq: 1,
        domain: "rionegro".into(),
        front: ([127, 0, 0, 1], 1).into(),
        peer: ([127, 0, 0, 1], 2).into(),
        phase: Phase::Ready,
        time: Time::default(),
        lease: None,
        used: Table::new(),
        traffic: Table::new(),
        usage: Vec::new(),
        crashes: Vec::new(),
        judged: Table::new(),
        vetoes: Table::new(),
    }
}

/// Lets an entry hear `count` others, one of which it asks for news.
pub fn add_peers(entry: &Entry, count: usize) {
    let names: Vec<Name> = (0..count).map(|at| format!("peer-{at}").into()).collect();
    for name in &names {
        entry.beats.merge(status(name), entry.clock.now());
    }
    assert!(roles::relay_of("entry-1", &names).is_some());
}
