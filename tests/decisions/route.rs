//! Tests of routing: subsets, prefix indexes, load estimates and policies.

use std::time::Duration;

use cassialock::core::route::Candidate;
use cassialock::core::route::Policy;
use cassialock::core::route::PolicyKind;
use cassialock::core::route::Request;
use cassialock::core::route::prefix;
use cassialock::core::route::prefix::CacheEvent;
use cassialock::core::route::prefix::Index;
use cassialock::core::route::scored::Scored;
use cassialock::core::route::servers::Class;
use cassialock::core::route::servers::Filter;
use cassialock::core::route::servers::LoadReport;
use cassialock::core::route::servers::Servers;
use cassialock::core::route::servers::Vm;
use cassialock::core::route::subset;
use cassialock::core::route::subset::SubsetItem;
use cassialock::core::time::Time;

fn items(count: usize) -> Vec<SubsetItem> {
    (0..count)
        .map(|index| SubsetItem {
            id: format!("s{index}").into(),
            domain: format!("d{}", index % 9).into(),
        })
        .collect()
}

#[test]
fn subsets_are_stable_and_spread() {
    let items = items(900);
    let before = subset::pick("node", &items, 64);
    let mut fewer = items.clone();
    let gone = before[10].clone();
    fewer.retain(|item| item.id != gone);
    fewer.reverse();
    let after = subset::pick("node", &fewer, 64);
    let kept = after.iter().filter(|id| before.contains(id)).count();
    assert!(
        kept >= 62,
        "removing one server changed {} places",
        64 - kept
    );
    for domain in 0..9 {
        let name = format!("d{domain}");
        let count = before
            .iter()
            .filter(|id| items.iter().any(|i| i.id == **id && *i.domain == *name))
            .count();
        assert!((7..=8).contains(&count), "{name} has {count} of 64");
    }
}

#[test]
fn subsets_of_many_nodes_load_servers_evenly() {
    let items = items(900);
    let mut counts = vec![0_u32; 900];
    for node in 0..1_300 {
        for id in subset::pick(&format!("node{node}"), &items, 64) {
            counts[id[1..].parse::<usize>().unwrap()] += 1;
        }
    }
    let mean = 1_300.0 * 64.0 / 900.0;
    let worst = f64::from(*counts.iter().max().unwrap());
    assert!(
        worst < mean * 1.5,
        "a server is used by {worst} nodes, the mean is {mean}"
    );
}

fn candidate(id: &str, inflight: f64, cached: f64) -> Candidate {
    Candidate {
        id: id.into(),
        inflight,
        slots: 8,
        cached_tokens: cached,
        same_domain: true,
        reclaimable: false,
        request_ms: 100.0,
    }
}

#[test]
fn the_scored_policy_weighs_load_cache_distance_and_risk() {
    let request = Request {
        block_hashes: Vec::new(),
        prompt_tokens: 400,
        answer_tokens: 100,
        session: None,
    };
    let cross_domain = Candidate {
        same_domain: false,
        ..candidate("b", 0.0, 0.0)
    };
    let reclaimable = Candidate {
        reclaimable: true,
        ..candidate("b", 0.0, 0.0)
    };
    let cases = [
        (
            "less load",
            candidate("a", 0.0, 0.0),
            candidate("b", 4.0, 0.0),
        ),
        (
            "warm cache",
            candidate("a", 4.0, 384.0),
            candidate("b", 0.0, 0.0),
        ),
        (
            "full server",
            candidate("a", 0.0, 0.0),
            candidate("b", 12.0, 384.0),
        ),
        (
            "same failure domain",
            candidate("a", 0.0, 0.0),
            cross_domain,
        ),
        ("on-demand VM", candidate("a", 0.0, 0.0), reclaimable),
    ];
    for (name, better, worse) in cases {
        let mut policy = Scored::new();
        let pair = [worse, better];
        assert_eq!(policy.choose(&request, &pair, 0), Some(1), "{name}");
    }
}

#[test]
fn policies_choose_only_existing_candidates() {
    for kind in ["scored", "round-robin", "least-loaded", "two-choices"] {
        let kind: PolicyKind = kind.parse().unwrap();
        let mut policy = kind.build();
        assert_eq!(policy.choose(&Request::default(), &[], 7), None);
        let one = [candidate("a", 0.0, 0.0)];
        for random in [0, 1, u64::MAX] {
            assert_eq!(policy.choose(&Request::default(), &one, random), Some(0));
        }
    }
    assert!("best".parse::<PolicyKind>().is_err());
}

#[test]
fn block_hashes_cover_the_whole_prefix() {
    let text = |tail: &str| format!("{} {tail}", "word ".repeat(40));
    let a = prefix::block_hashes(&text("x"));
    let b = prefix::block_hashes(&text("y"));
    assert_eq!(a.len(), 2);
    assert_eq!(a, b);
    let other = prefix::block_hashes(&format!("other {}", text("x")));
    assert!(other.iter().all(|hash| !a.contains(hash)));
}

#[test]
fn gaps_in_cache_events_lower_expected_hits_until_a_snapshot() {
    let chain = prefix::block_hashes(&"word ".repeat(64));
    let event = |seq, stored: &[u64], removed: &[u64]| CacheEvent {
        seq,
        stored: stored.to_vec(),
        removed: removed.to_vec(),
    };
    let mut index = Index::new();
    index.apply(&event(0, &chain, &[]));
    assert_eq!(index.expected_tokens(&chain), 64.0);
    index.apply(&event(2, &[], &chain[3..]));
    assert!(index.has_gap());
    assert_eq!(index.expected_tokens(&chain), 24.0);
    index.apply(&event(1, &chain, &[]));
    assert_eq!(
        index.expected_tokens(&chain),
        24.0,
        "a late event is not applied again"
    );
    index.replace(5, &chain[..2]);
    assert_eq!(index.expected_tokens(&chain), 32.0);
    assert_eq!(index.next_seq(), 6);
}

fn vm(id: &str, leaving: bool) -> Vm {
    Vm {
        id: id.into(),
        service: "s".into(),
        version: "v1".into(),
        address: "127.0.0.1:1".into(),
        domain: "d".into(),
        class: Class::Reclaimable,
        leaving,
    }
}

const FILTER: Filter<'_> = Filter {
    service: "s",
    version: Some("v1"),
    slots: 8,
    excluded: &[],
    exclude_suspected: false,
};

#[test]
fn a_leaving_server_is_no_candidate_even_if_the_list_lags() {
    let mut servers = Servers::new("n".into(), "d".into());
    let now = Time::from_millis(1_000);
    servers.update(&[vm("a", false), vm("b", false)]);
    servers.set_leaving("a");
    servers.update(&[vm("a", false), vm("b", false)]);
    let ids: Vec<_> = servers
        .candidates(&FILTER, &Request::default(), now)
        .into_iter()
        .map(|candidate| candidate.id)
        .collect();
    assert_eq!(ids, ["b".into()]);
}

#[test]
fn own_requests_count_at_once_and_reports_fade() {
    let mut servers = Servers::new("n".into(), "d".into());
    let now = Time::from_millis(10_000);
    servers.update(&[vm("a", false)]);
    let load = LoadReport {
        running: 6,
        waiting: 2,
        ..LoadReport::default()
    };
    servers.record_load("a", load, now);
    servers.begin_request("a", &[]);
    let inflight_at = |time| servers.get("a").unwrap().inflight(time);
    assert_eq!(inflight_at(now), 9.0);
    assert_eq!(inflight_at(now + Duration::from_millis(500)), 5.0);
    servers.end_request("a");
    assert_eq!(servers.get("a").unwrap().inflight(now), 8.0);
}

#[test]
fn an_ejected_server_becomes_usable_again() {
    let mut servers = Servers::new("n".into(), "d".into());
    let now = Time::from_millis(10_000);
    servers.update(&[vm("a", false)]);
    servers.record_failure("a", now);
    assert!(!servers.has_usable("s", now));
    let later = now + Duration::from_millis(500);
    assert!(servers.has_usable("s", later));

    // The ejection time doubles with each failure until a request succeeds.
    servers.record_failure("a", later);
    assert!(!servers.has_usable("s", later + Duration::from_millis(999)));
    assert!(servers.has_usable("s", later + Duration::from_millis(1_000)));
    servers.record_success("a", Duration::from_millis(9));
    servers.record_failure("a", later);
    assert!(servers.has_usable("s", later + Duration::from_millis(500)));
}
