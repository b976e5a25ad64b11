//! Tests of what a node knows of cold servers, and of what follows from it.

use std::time::Duration;

use cassialock::core::catalog::Scale;
use cassialock::core::fleet::load::CapacityEstimate;
use cassialock::core::fleet::scaling::Autoscaler;
use cassialock::core::fleet::scaling::DomainServers;
use cassialock::core::route::servers::Class;
use cassialock::core::route::servers::Servers;
use cassialock::core::route::servers::cold::Source;
use cassialock::core::route::servers::cold::Stated;
use cassialock::core::route::servers::cold::news::ColdNews;
use cassialock::core::route::servers::cold::report::Change;
use cassialock::core::time::Time;

use crate::cold;
use crate::fixtures;

fn one_node(nodes: usize, now: Time) -> Servers {
    cold::view(
        &"e-0000".into(),
        &cold::names(nodes),
        &[fixtures::vm(0, 1)],
        true,
        now,
    )
}

fn cold(seconds: u64) -> Stated {
    Stated::For(Duration::from_secs(seconds))
}

#[test]
fn a_server_that_is_not_known_to_be_warm_counts_as_cold() {
    let id = fixtures::vm(0, 1).id;
    let mut view = one_node(1, cold::START);
    assert_eq!(view.coldness(&id, cold::START), None);
    // The store has fallen silent.
    let silent = cold::START + Duration::from_secs(5);
    let source = |view: &Servers, id: &str, now| view.coldness(id, now).map(|cold| cold.source);
    assert_eq!(source(&view, &id, silent), Some(Source::Store));
    // The node was paused for longer than it takes to be told of changes.
    view.record_activity(silent);
    view.confirm_cold(silent);
    assert_eq!(source(&view, &id, silent), Some(Source::Pause));
    let later = silent + Duration::from_secs(2);
    assert_eq!(source(&view, &id, later), None);
    // Another node has reported a new server.
    view.update(&[fixtures::vm(0, 1), fixtures::vm(1, 1)]);
    view.note_new(later);
    assert_eq!(
        source(&view, &fixtures::vm(1, 1).id, later),
        Some(Source::Unknown)
    );
    view.doubt_warmth(&id, later);
    assert_eq!(source(&view, &id, later), Some(Source::Connection));
    let after = later + Duration::from_secs(2);
    assert_eq!(source(&view, &id, after), None);
}

#[test]
fn a_request_that_was_held_for_long_is_not_sent_to_a_cold_server() {
    let id = fixtures::vm(0, 1).id;
    let mut view = one_node(1, cold::START);
    assert!(view.is_paced(&id, None, cold::START), "a warm server");
    view.record_cold(&id, &cold(10), Source::Record, cold::START);
    let later = cold::START + Duration::from_millis(200);
    assert!(view.is_paced(&id, Some(cold::START), cold::START));
    assert!(!view.is_paced(&id, Some(cold::START), later));
    assert!(
        !view.is_paced(&id, None, cold::START),
        "chosen while it was warm"
    );
}

#[test]
fn the_lower_of_a_named_limit_and_the_rate_of_a_cold_server_applies() {
    let id = fixtures::vm(0, 1).id;
    let now = cold::START + Duration::from_secs(4);
    let mut view = one_node(1, cold::START);
    view.record_activity(now);
    view.confirm_cold(now);
    view.set_nodes(&cold::names(1), now);
    let now = now + Duration::from_secs(2);
    view.record_cold(&id, &cold(10), Source::Record, now);
    let cold_wait = view.server_wait(&id, now);
    assert!(cold_wait < Duration::from_millis(100), "{cold_wait:?}");
    view.record_rate_limit(&id, Some(0.1), 0.0, now);
    assert!(view.server_wait(&id, now) > Duration::from_secs(5));
    view.record_rate_limit(&id, Some(1_000.0), 1.0, now);
    assert_eq!(view.server_wait(&id, now), cold_wait);
}

#[test]
fn invalid_times_change_nothing_and_long_ones_are_bounded() {
    let id = fixtures::vm(0, 1).id;
    let mut view = one_node(1, cold::START);
    for _ in 0..3 {
        view.record_cold(
            &id,
            &Stated::Invalid("-1".into()),
            Source::Health,
            cold::START,
        );
    }
    assert_eq!(view.coldness(&id, cold::START), None);
    let (changes, ignored) = view.cold_changes(cold::START);
    assert_eq!(changes, [Change::Ignored(id.clone(), "-1".into())]);
    assert_eq!(ignored, 3);
    view.record_cold(&id, &cold(200_000), Source::Record, cold::START);
    let left = view.coldness(&id, cold::START).unwrap().left;
    assert_eq!(left, Some(Duration::from_secs(60)));
    let (changes, ignored) = view.cold_changes(cold::START);
    assert!(matches!(changes[..], [Change::Cold(..)]), "{changes:?}");
    assert_eq!(ignored, 1);
}

/// A listing that is read again repeats the time that was stated when the record was
/// written, so that a server would never become warm.
#[test]
fn a_repeated_record_does_not_prolong_the_time() {
    let id = fixtures::vm(0, 1).id;
    let mut view = one_node(1, cold::START);
    view.record_cold(&id, &cold(3), Source::Listing, cold::START);
    let later = cold::START + Duration::from_millis(3_500);
    view.record_cold(&id, &cold(3), Source::Listing, later);
    assert_eq!(view.coldness(&id, later), None);
    view.record_cold(&id, &cold(3), Source::Record, later);
    assert!(view.coldness(&id, later).is_some(), "written again");
}

#[test]
fn old_news_do_not_end_what_is_known() {
    let id = fixtures::vm(0, 1).id;
    let later = cold::START + Duration::from_secs(1);
    let mut teller = one_node(2, cold::START);
    teller.record_cold(&id, &cold(0), Source::Record, cold::START);
    let news = teller.cold_news(false, later).unwrap();
    assert_eq!(news.servers.len(), 1);
    let mut told = one_node(2, cold::START);
    told.record_cold(
        &id,
        &cold(5),
        Source::Record,
        cold::START + Duration::from_millis(500),
    );
    told.record_cold_news(&news, later);
    assert!(told.coldness(&id, later).is_some());
    let rows = told.cold_news(true, later).unwrap().servers;
    teller.record_cold_news(
        &ColdNews {
            age: Duration::ZERO,
            servers: rows,
        },
        later,
    );
    let left = teller.coldness(&id, later).unwrap().left.unwrap();
    assert!(left <= Duration::from_millis(4_500), "{left:?}");
}

/// When a failure domain came back cold, the servers that had replaced it were ended
/// before it could carry its load.
#[test]
fn replacements_are_kept_while_servers_are_cold() {
    let scale = Scale {
        min: 1,
        max: 20,
        reclaimable_price: Some(0.2),
        ..Scale::default()
    };
    let need = CapacityEstimate {
        servers: 10,
        is_learned: true,
        is_unused: false,
    };
    let domains = |cold: u32| -> Vec<DomainServers> {
        let domain = |(at, name): (u32, &str)| DomainServers {
            domain: name.into(),
            reclaimable: 8,
            on_demand: if at == 0 { 6 } else { 0 },
            cold: if at == 2 { cold } else { 0 },
            ..DomainServers::default()
        };
        (0..).zip(["a", "b", "c"]).map(domain).collect()
    };
    let mut scaler = Autoscaler::new();
    let mut ends = |cold, seconds: u64| {
        let now = Time::from_millis(seconds * 1_000);
        let orders = scaler.orders(&scale, &domains(cold), need, now);
        orders
            .iter()
            .any(|order| order.class == Class::OnDemand && order.count < 6)
    };
    assert!((10..40).all(|seconds| !ends(5, seconds)));
    assert!((40..60).any(|seconds| ends(0, seconds)));
}
