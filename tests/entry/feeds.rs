//! Tests of how feeds follow the store through outages.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cassialock::entry::Entry;
use cassialock::entry::adapter::Change;
use cassialock::entry::adapter::Listing;
use cassialock::entry::adapter::StoreError;
use cassialock::entry::adapter::WatchResult;
use cassialock::entry::feeds;
use cassialock::entry::relay;

use crate::fakes;
use crate::fakes::Answer;
use crate::fakes::Script;

/// Number of failed calls in a row; with their backoff they take over 2 s.
const FAILURES: usize = 3;

/// Longest timeout of the watch that probes the store after an outage.
const PROBE_TIMEOUT: Duration = Duration::from_millis(10);

fn script(answers: Vec<Answer>) -> Arc<Script> {
    let script = Script::default();
    *script.listing.lock().unwrap() = Listing {
        revision: 1,
        objects: vec![fakes::backend("i-1", 1)],
    };
    *script.answers.lock().unwrap() = answers.into();
    Arc::new(script)
}

fn down() -> Answer {
    Answer::Now(Err(StoreError::Refused("connect".into())))
}

fn removal(instance: &str) -> Answer {
    let change = Change {
        object: fakes::backend(instance, 2),
        is_removed: true,
    };
    Answer::Now(Ok(WatchResult::Changes(2, vec![change])))
}

/// Follows the servers of a scripted store for some time.
async fn follow_backends(script: &Arc<Script>, span: Duration) -> Arc<Entry> {
    let entry = fakes::entry(script);
    let task = tokio::spawn(feeds::backends::follow(Arc::clone(&entry)));
    tokio::time::sleep(span).await;
    task.abort();
    entry
}

/// Returns whether the entry still sends requests to a server.
fn has_server(entry: &Entry) -> bool {
    entry.backends.has_usable("dosel-llm", entry.clock.now())
}

/// Guards against a first watch with the usual timeout, which returns seconds
/// later, so that the end of the outage is known too late.
#[tokio::test(start_paused = true)]
async fn the_first_watch_after_an_outage_answers_at_once() {
    let mut answers: Vec<Answer> = (0..FAILURES).map(|_| down()).collect();
    answers.extend([Answer::AfterWait, Answer::AfterWait]);
    let script = script(answers);
    follow_backends(&script, Duration::from_secs(30)).await;
    let watches = script.watches.lock().unwrap();
    assert!(
        watches[0].wait > PROBE_TIMEOUT,
        "the first watch must have the usual timeout"
    );
    for probe in &watches[1..=FAILURES] {
        assert!(
            probe.wait <= PROBE_TIMEOUT,
            "a watch during the outage must be a probe: {probe:?}"
        );
    }
    assert!(
        watches[FAILURES + 1].wait > PROBE_TIMEOUT,
        "the watch after the outage must have the usual timeout"
    );
}

#[tokio::test(start_paused = true)]
async fn a_removal_long_after_an_outage_takes_effect_at_once() {
    let mut answers: Vec<Answer> = (0..FAILURES).map(|_| down()).collect();
    // One probe and two watches with the usual timeout, which take 4 s.
    answers.extend((0..3).map(|_| Answer::AfterWait));
    answers.push(removal("i-1"));
    let script = script(answers);
    let entry = follow_backends(&script, Duration::from_secs(30)).await;
    assert!(!has_server(&entry));
}

#[tokio::test(start_paused = true)]
async fn a_removal_right_after_an_outage_is_held_back() {
    let mut answers: Vec<Answer> = (0..FAILURES).map(|_| down()).collect();
    answers.push(removal("i-1"));
    let script = script(answers);
    let entry = follow_backends(&script, Duration::from_secs(8)).await;
    assert!(script.answers.lock().unwrap().is_empty());
    assert!(has_server(&entry));
}

/// Guards against sending to servers that are gone: the watch that reports them was cut and
/// not repeated for up to 2 s.
#[tokio::test(start_paused = true)]
async fn a_cut_watch_of_the_servers_is_repeated_at_once() {
    let cut = || Answer::Now(Err(StoreError::Cut));
    let script = script(vec![cut(), Answer::AfterWait, cut(), removal("i-1")]);
    let entry = follow_backends(&script, Duration::from_millis(2_500)).await;
    assert!(script.answers.lock().unwrap().is_empty());
    assert!(!has_server(&entry));
}

/// Guards against keeping servers that are gone after one cut call, which was taken for an
/// outage of the store.
#[tokio::test(start_paused = true)]
async fn a_removal_after_a_cut_watch_takes_effect_at_once() {
    let script = script(vec![Answer::Now(Err(StoreError::Cut)), removal("i-1")]);
    let entry = fakes::entry(&script);
    entry.catalog.confirm(entry.clock.now());
    tokio::time::advance(Duration::from_secs(2)).await;
    let task = tokio::spawn(feeds::backends::follow(Arc::clone(&entry)));
    tokio::time::sleep(Duration::from_secs(5)).await;
    task.abort();
    assert!(script.answers.lock().unwrap().is_empty());
    assert!(!has_server(&entry));
}

/// Guards against dropping live servers that the older copy of the store lacks.
#[tokio::test(start_paused = true)]
async fn a_removal_after_the_first_restore_is_held_back() {
    let gone = Answer::Now(Ok(WatchResult::HistoryGone));
    let script = script(vec![Answer::AfterWait, gone]);
    let entry = fakes::entry(&script);
    let task = tokio::spawn(feeds::backends::follow(Arc::clone(&entry)));
    tokio::time::sleep(Duration::from_secs(1)).await;
    script.era.store(1, Ordering::Relaxed);
    script.listing.lock().unwrap().objects.clear();
    tokio::time::sleep(Duration::from_secs(2)).await;
    task.abort();
    assert!(script.answers.lock().unwrap().is_empty());
    assert!(has_server(&entry));
}

/// A call that is lost in an outage is never answered, so a feed must not wait for
/// it once the store is reachable again.
#[tokio::test(start_paused = true)]
async fn an_open_watch_is_given_up_when_the_store_is_back() {
    let script = script(Vec::new());
    let entry = fakes::entry(&script);
    let task = tokio::spawn(feeds::backends::follow(Arc::clone(&entry)));
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(script.watches.lock().unwrap().len(), 1);
    entry.store_recoveries.send_modify(|count| *count += 1);
    tokio::time::sleep(Duration::from_millis(500)).await;
    task.abort();
    assert_eq!(script.watches.lock().unwrap().len(), 2);
}

/// The platform bills refused calls, and an entry with a relay is notified by it
/// when the store is reachable again.
#[tokio::test(start_paused = true)]
async fn an_entry_with_a_relay_seldom_tries_a_store_that_is_away() {
    let calls = |has_relay: bool| async move {
        let script = script((0..400).map(|_| down()).collect());
        let entry = fakes::entry(&script);
        if has_relay {
            fakes::add_peers(&entry, 12);
            entry.relay.record_list(5);
            relay::next_query(&entry).unwrap();
        }
        let task = tokio::spawn(feeds::catalog::follow(Arc::clone(&entry)));
        tokio::time::sleep(Duration::from_secs(10)).await;
        task.abort();
        script.watches.lock().unwrap().len()
    };
    assert!(
        calls(false).await >= 40,
        "an entry without a relay must probe often"
    );
    let relayed = calls(true).await;
    assert!((10..=20).contains(&relayed), "{relayed} calls in 10 s");
}

/// A catalog that the relay can't tell would be late otherwise.
#[tokio::test(start_paused = true)]
async fn a_single_failed_call_of_an_entry_with_a_relay_is_repeated_soon() {
    let script = script(vec![down(), Answer::AfterWait]);
    let entry = fakes::entry(&script);
    fakes::add_peers(&entry, 12);
    entry.relay.record_list(5);
    relay::next_query(&entry).unwrap();
    let task = tokio::spawn(feeds::catalog::follow(Arc::clone(&entry)));
    tokio::time::sleep(Duration::from_millis(300)).await;
    task.abort();
    assert!(script.answers.lock().unwrap().is_empty());
}

/// After all entries were restarted, keys were refused for a second, since a cached
/// catalog is not known to be the newest.
#[tokio::test(start_paused = true)]
async fn the_first_catalog_of_a_large_deployment_is_confirmed_at_once() {
    let script = script(Vec::new());
    let entry = fakes::entry(&script);
    fakes::add_peers(&entry, 12);
    for index in 0..8 {
        let status = fakes::status(&format!("more-{index}"));
        entry.membership.merge(status, entry.clock.now());
    }
    assert!(entry.membership.is_aggregated());
    let task = tokio::spawn(feeds::catalog::follow(Arc::clone(&entry)));
    tokio::time::sleep(Duration::from_millis(50)).await;
    task.abort();
    assert!(entry.catalog.age(entry.clock.now()).is_some());
}
