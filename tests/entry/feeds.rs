//! Following the store through outages.

use std::sync::Arc;
use std::time::Duration;

use cassialock::entry::adapter::Change;
use cassialock::entry::adapter::Listing;
use cassialock::entry::adapter::StoreError;
use cassialock::entry::adapter::WatchResult;
use cassialock::entry::feeds;
use cassialock::entry::relay;

use crate::fakes;
use crate::fakes::Answer;
use crate::fakes::Script;

/// Failed calls in a row, which take over two seconds.
const FAILURES: usize = 3;

/// Longest wait of the watch that finds out whether the store is back.
const PROBE: Duration = Duration::from_millis(10);

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

/// A watch that waits as usual after an outage answers only seconds later, and
/// until then the store's return is not known.
#[tokio::test(start_paused = true)]
async fn the_first_watch_after_an_outage_answers_at_once() {
    let mut answers: Vec<Answer> = (0..FAILURES).map(|_| down()).collect();
    answers.extend([Answer::AfterWait, Answer::AfterWait]);
    let script = script(answers);
    let entry = fakes::entry(&script);
    let task = tokio::spawn(feeds::backends::follow(Arc::clone(&entry)));
    tokio::time::sleep(Duration::from_secs(30)).await;
    task.abort();
    let asked = script.watches.lock().unwrap();
    assert!(asked[0].wait > PROBE, "the first watch waits");
    for probe in &asked[1..=FAILURES] {
        assert!(probe.wait <= PROBE, "the store is away: {probe:?}");
    }
    assert!(asked[FAILURES + 1].wait > PROBE, "the store is back");
}

#[tokio::test(start_paused = true)]
async fn a_removal_long_after_an_outage_takes_effect_at_once() {
    let mut answers: Vec<Answer> = (0..FAILURES).map(|_| down()).collect();
    // The probe, and two usual waits, which take four seconds.
    answers.extend((0..3).map(|_| Answer::AfterWait));
    answers.push(removal("i-1"));
    let script = script(answers);
    let entry = fakes::entry(&script);
    let task = tokio::spawn(feeds::backends::follow(Arc::clone(&entry)));
    tokio::time::sleep(Duration::from_secs(30)).await;
    task.abort();
    let now = entry.clock.now();
    assert!(!entry.backends.has_usable("dosel-llm", now));
}

#[tokio::test(start_paused = true)]
async fn a_removal_right_after_an_outage_is_held_back() {
    let mut answers: Vec<Answer> = (0..FAILURES).map(|_| down()).collect();
    answers.push(removal("i-1"));
    let script = script(answers);
    let entry = fakes::entry(&script);
    let task = tokio::spawn(feeds::backends::follow(Arc::clone(&entry)));
    tokio::time::sleep(Duration::from_secs(8)).await;
    task.abort();
    let now = entry.clock.now();
    assert!(script.answers.lock().unwrap().is_empty());
    assert!(entry.backends.has_usable("dosel-llm", now));
}

/// A call that was sent into a silent outage is never answered.
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

/// Calls that the store refuses are paid. An entry that asks another one is told
/// by it when the store is back.
#[tokio::test(start_paused = true)]
async fn an_entry_with_a_relay_seldom_tries_a_store_that_is_away() {
    let calls = |has_relay: bool| async move {
        let script = script((0..400).map(|_| down()).collect());
        let entry = fakes::entry(&script);
        if has_relay {
            fakes::add_peers(&entry, 40);
            entry.relay.record_list(5);
            relay::next_query(&entry).unwrap();
        }
        let task = tokio::spawn(feeds::catalog::follow(Arc::clone(&entry)));
        tokio::time::sleep(Duration::from_secs(10)).await;
        task.abort();
        script.watches.lock().unwrap().len()
    };
    assert!(calls(false).await >= 40, "the first to find the store");
    let relayed = calls(true).await;
    assert!((10..=20).contains(&relayed), "{relayed} calls in 10 s");
}
