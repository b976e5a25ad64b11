//! News of the store between entries.

use std::sync::Arc;
use std::time::Duration;

use cassialock::core::catalog::Catalog;
use cassialock::entry::Entry;
use cassialock::entry::adapter::BackendServer;
use cassialock::entry::adapter::Content;
use cassialock::entry::relay;

use crate::fakes;
use crate::fakes::Script;

fn listed(instance: &str, is_leaving: bool) -> BackendServer {
    match fakes::backend(instance, 1).content {
        Content::Backend(listed) => BackendServer {
            is_leaving,
            ..listed
        },
        _ => unreachable!("a backend server"),
    }
}

/// Returns an entry that knows one server as of revision 5 and is no relay.
fn follower() -> Arc<Entry> {
    let entry = fakes::entry(&Arc::new(Script::default()));
    let now = entry.clock.now();
    entry.catalog.install(Catalog::new(3));
    entry.catalog.confirm(now);
    entry.backends.replace(vec![listed("i-1", false)], now);
    entry.relay.record_list(5);
    entry.relay.confirm(now);
    fakes::add_peers(&entry, 40);
    entry
}

fn told(ask: &relay::Query, after: u64, leaving: bool) -> relay::Reply {
    let change = ("i-1".into(), Some(listed("i-1", leaving)));
    relay::Reply {
        nonce: ask.nonce,
        version: 3,
        age: Duration::from_millis(300),
        backends: Some(relay::BackendChanges {
            after,
            revision: after + 1,
            changes: vec![change],
        }),
    }
}

#[tokio::test(start_paused = true)]
async fn a_server_that_leaves_is_known_from_a_relay() {
    let entry = follower();
    let (_, ask) = relay::next_query(&entry).unwrap();
    assert_eq!(ask.revision, 5);
    relay::apply_reply(&entry, told(&ask, 5, true));
    let now = entry.clock.now();
    assert!(entry.relay.is_relayed(now));
    assert!(!entry.backends.has_usable("dosel-llm", now));
    assert_eq!(entry.relay.revision(), 6);
}

#[tokio::test(start_paused = true)]
async fn an_answer_to_another_question_is_ignored() {
    let entry = follower();
    let (_, first) = relay::next_query(&entry).unwrap();
    tokio::time::advance(Duration::from_millis(400)).await;
    relay::next_query(&entry).unwrap();
    relay::apply_reply(&entry, told(&first, 5, true));
    assert!(!entry.relay.is_relayed(entry.clock.now()));
    assert_eq!(entry.relay.revision(), 5);
}

#[tokio::test(start_paused = true)]
async fn news_that_do_not_follow_what_is_known_change_nothing() {
    let entry = follower();
    let (_, ask) = relay::next_query(&entry).unwrap();
    entry.relay.record_changes(8, &[]);
    relay::apply_reply(&entry, told(&ask, 5, true));
    assert_eq!(entry.relay.revision(), 8);
    let now = entry.clock.now();
    assert!(entry.backends.has_usable("dosel-llm", now));
}

/// The declaration was known to be current before the question was sent, less
/// the age that the relay names, whatever the answer took to arrive.
#[tokio::test(start_paused = true)]
async fn a_late_answer_does_not_make_the_declaration_look_newer() {
    let entry = follower();
    tokio::time::advance(Duration::from_secs(2)).await;
    for at in 0..40 {
        let mut later = fakes::status(&format!("peer-{at}"));
        later.seq = 2;
        entry.membership.merge(later, entry.clock.now());
    }
    let (_, ask) = relay::next_query(&entry).unwrap();
    tokio::time::advance(Duration::from_millis(700)).await;
    relay::apply_reply(&entry, told(&ask, 5, false));
    let age = entry.catalog.age(entry.clock.now()).unwrap();
    assert!(age >= Duration::from_millis(1_000), "{age:?}");
}

#[tokio::test(start_paused = true)]
async fn a_silent_relay_is_not_waited_for() {
    let entry = follower();
    let (_, ask) = relay::next_query(&entry).unwrap();
    relay::apply_reply(&entry, told(&ask, 5, false));
    assert!(entry.relay.is_relayed(entry.clock.now()));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(!entry.relay.is_relayed(entry.clock.now()));
}

#[tokio::test(start_paused = true)]
async fn a_relay_out_of_touch_with_the_store_is_not_believed() {
    let entry = follower();
    let (_, ask) = relay::next_query(&entry).unwrap();
    let mut old = told(&ask, 5, false);
    old.age = Duration::from_secs(2);
    relay::apply_reply(&entry, old);
    assert!(!entry.relay.is_relayed(entry.clock.now()));
}

/// A declaration that is accepted just after the relay has lost the store is in
/// force in time: the age of the relay, a question and a call to the store.
#[tokio::test(start_paused = true)]
async fn a_relay_that_has_lost_the_store_does_not_hold_a_declaration_back() {
    let entry = follower();
    let config = entry.settings.load().bounds.config_delay;
    let (_, ask) = relay::next_query(&entry).unwrap();
    relay::apply_reply(&entry, told(&ask, 5, false));
    let mut lost = Duration::ZERO;
    let began = entry.clock.now();
    let waiting = tokio::spawn({
        let entry = Arc::clone(&entry);
        async move {
            entry.relay.wait_newer_catalog(&entry).await;
            entry.clock.now()
        }
    });
    while !waiting.is_finished() {
        tokio::time::sleep(relay::QUERY_INTERVAL).await;
        lost += relay::QUERY_INTERVAL;
        if let Some((_, ask)) = relay::next_query(&entry) {
            let mut old = told(&ask, ask.revision, false);
            old.age = lost;
            relay::apply_reply(&entry, old);
        }
        tokio::task::yield_now().await;
    }
    let took = waiting.await.unwrap().since(began);
    assert!(took + Duration::from_millis(300) <= config, "{took:?}");
}

/// What such a relay tells is true all the same, and the store is asked only for
/// what came after it.
#[tokio::test(start_paused = true)]
async fn no_change_is_lost_when_a_relay_is_not_believed() {
    let entry = follower();
    let (_, ask) = relay::next_query(&entry).unwrap();
    let mut old = told(&ask, 5, true);
    old.age = Duration::from_secs(2);
    relay::apply_reply(&entry, old);
    let is_known = !entry.backends.has_usable("dosel-llm", entry.clock.now());
    assert_eq!(entry.relay.revision() == 6, is_known);
}

#[tokio::test(start_paused = true)]
async fn a_relay_that_does_not_know_all_changes_says_so() {
    let entry = follower();
    let answer = |revision| {
        let ask = relay::Query { nonce: 1, revision };
        relay::answer(&entry, &ask).unwrap().backends
    };
    assert!(answer(4).is_none());
    assert!(answer(5).is_some_and(|news| news.changes.is_empty()));
    entry.relay.record_changes(9, &[("i-1".into(), None)]);
    assert_eq!(answer(5).unwrap().changes.len(), 1);
}

/// A watch of before an outage can stay silent though the store is back.
#[tokio::test(start_paused = true)]
async fn a_relay_whose_watch_of_servers_is_silent_tells_nothing() {
    let entry = follower();
    let ask = relay::Query {
        nonce: 1,
        revision: 5,
    };
    assert!(relay::answer(&entry, &ask).is_some());
    tokio::time::advance(Duration::from_secs(4)).await;
    assert!(relay::answer(&entry, &ask).is_none());
}
