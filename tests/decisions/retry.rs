//! Tests of retry decisions, retry budgets and crash tracking.

use std::time::Duration;

use cassialock::core::Name;
use cassialock::core::fingerprint::Fingerprint;
use cassialock::core::fingerprint::Identity;
use cassialock::core::retry::AttemptCounts;
use cassialock::core::retry::Cause;
use cassialock::core::retry::Decision;
use cassialock::core::retry::MAX_ATTEMPTS;
use cassialock::core::retry::RetryBudget;
use cassialock::core::retry::RetryContext;
use cassialock::core::retry::backoff;
use cassialock::core::retry::crash::Crash;
use cassialock::core::retry::crash::CrashHistory;
use cassialock::core::time::Time;
use cassialock::core::verdict::Verdict;

fn context(cause: Cause, repeatable: bool) -> RetryContext {
    RetryContext {
        cause,
        repeatable,
        attempts: 1,
        deadline: Time::from_millis(2_000),
        now: Time::from_millis(1_000),
    }
}

#[test]
fn only_requests_that_did_not_run_or_are_repeatable_are_retried() {
    let cases = [
        (Cause::Connect, false, Decision::Again),
        (Cause::Busy, false, Decision::Again),
        (Cause::Cut, false, Decision::NotRepeatable),
        (Cause::Failed, false, Decision::NotRepeatable),
        (Cause::Silent, false, Decision::NotRepeatable),
        (Cause::Crossed, false, Decision::NotRepeatable),
        (Cause::Leaving, false, Decision::NotRepeatable),
        (Cause::Cut, true, Decision::Again),
        (Cause::Silent, true, Decision::Again),
        (Cause::Leaving, true, Decision::Again),
    ];
    for (cause, repeatable, expected) in cases {
        let decision = RetryBudget::new().decide(&context(cause, repeatable));
        assert_eq!(decision, expected, "{cause:?} {repeatable}");
    }
}

/// The allowed attempts bound the servers that a request may be sent to.
#[test]
fn a_stream_that_has_begun_returns_to_a_server_when_no_other_may_get_it() {
    let (deadline, now) = (Time::from_millis(2_000), Time::from_millis(1_000));
    for allowed in 1..=3 {
        let mut attempts = AttemptCounts::default();
        let mut decisions = Vec::new();
        while decisions.last() != Some(&Decision::Attempts) {
            attempts.record(Cause::Cut);
            assert_eq!(
                attempts.decide_stream(allowed, deadline, deadline),
                Decision::Deadline
            );
            decisions.push(attempts.decide_stream(allowed, deadline, now));
        }
        let again = allowed as usize - 1;
        assert!(decisions[..again].iter().all(|d| *d == Decision::Again));
        let rest = [Decision::Return, Decision::Return, Decision::Attempts];
        assert_eq!(decisions[again..], rest, "{allowed}");
    }
}

#[test]
fn a_stream_that_reaches_no_server_is_given_up() {
    let mut attempts = AttemptCounts::default();
    for _ in 0..4 {
        attempts.record(Cause::Connect);
    }
    let (deadline, now) = (Time::from_millis(2_000), Time::from_millis(1_000));
    let decision = attempts.decide_stream(2, deadline, now);
    assert_eq!(decision, Decision::Attempts);
}

#[test]
fn deadline_and_attempts_end_retries() {
    let mut late = context(Cause::Cut, true);
    late.now = late.deadline;
    assert_eq!(RetryBudget::new().decide(&late), Decision::Deadline);
    let mut exhausted = context(Cause::Cut, true);
    exhausted.attempts = MAX_ATTEMPTS;
    assert_eq!(RetryBudget::new().decide(&exhausted), Decision::Attempts);
}

#[test]
fn retries_stay_at_a_tenth_of_the_load_when_everything_fails() {
    let mut budget = RetryBudget::new();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        while budget.decide(&context(Cause::Failed, true)) == Decision::Again {
            retries += 1;
        }
    }
    // A tenth of the load, plus the initial balance of the budget.
    assert!(retries <= 1_051, "{retries} retries for 10,000 requests");
}

#[test]
fn a_planned_shutdown_does_not_need_the_budget() {
    let mut budget = RetryBudget::new();
    while budget.decide(&context(Cause::Cut, true)) == Decision::Again {}
    let planned = context(Cause::Leaving, true);
    assert_eq!(budget.decide(&planned), Decision::Again);
}

#[test]
fn backoff_grows_and_is_randomized() {
    for attempts in 1..10 {
        let low = backoff(attempts, 0);
        let high = backoff(attempts, 1_023);
        assert!(low < high && high <= Duration::from_millis(320));
    }
    assert!(backoff(3, 0) > backoff(1, 1_023));
}

fn crash(fingerprint: Fingerprint, server: &str, millis: u64) -> Crash {
    Crash {
        fingerprint,
        server: server.into(),
        at: Time::from_millis(millis),
    }
}

const REQUEST: Identity<'_> = Identity {
    workspace: "w",
    service: "s",
    host: "h",
    method: "POST",
    path: "/read/job",
    query: Some("id=66"),
    body: b"body",
};

/// Guards against an answer to one request that clears another, which crashes servers.
#[test]
fn requests_that_a_server_can_tell_apart_have_different_fingerprints() {
    let others = [
        REQUEST,
        Identity {
            workspace: "v",
            ..REQUEST
        },
        Identity {
            service: "t",
            ..REQUEST
        },
        Identity {
            host: "g",
            ..REQUEST
        },
        Identity {
            method: "PUT",
            ..REQUEST
        },
        Identity {
            path: "/read/jobs",
            ..REQUEST
        },
        Identity {
            query: Some("id=7"),
            ..REQUEST
        },
        Identity {
            query: Some("id=6%36"),
            ..REQUEST
        },
        Identity {
            query: Some(""),
            ..REQUEST
        },
        Identity {
            query: None,
            ..REQUEST
        },
        Identity {
            body: b"",
            ..REQUEST
        },
        Identity {
            body: b"bodyid=66",
            query: None,
            ..REQUEST
        },
    ];
    let mut known: Vec<Fingerprint> = others.iter().map(Identity::fingerprint).collect();
    known.sort_unstable();
    known.dedup();
    assert_eq!(known.len(), others.len());
}

#[test]
fn a_request_is_blocked_after_it_crashed_two_servers() {
    let mut crashes = CrashHistory::new();
    let bad = REQUEST.fingerprint();
    assert!(crashes.record(crash(bad, "a", 1)));
    assert!(
        !crashes.record(crash(bad, "a", 2)),
        "a second crash of the same server is not counted"
    );
    assert!(!crashes.is_blocked(bad));
    assert!(crashes.record(crash(bad, "b", 3)));
    assert!(crashes.is_blocked(bad));
    let other = Identity {
        body: b"other",
        ..REQUEST
    };
    assert!(!crashes.is_blocked(other.fingerprint()));
    let other = Identity {
        workspace: "v",
        ..REQUEST
    };
    assert!(!crashes.is_blocked(other.fingerprint()));
}

#[test]
fn crashes_are_forgotten_and_bounded() {
    let mut crashes = CrashHistory::new();
    let bad = Fingerprint(7);
    crashes.record(crash(bad, "a", 1));
    crashes.record(crash(bad, "b", 1));
    crashes.record(crash(Fingerprint(8), "a", 601_000));
    assert!(!crashes.is_blocked(bad));
    for index in 0..5_000 {
        crashes.record(crash(Fingerprint(index), "a", 700_000 + index));
    }
    assert!(crashes.crashed_servers(Fingerprint(4_999)).len() == 1);
    assert!(crashes.crashed_servers(Fingerprint(100)).is_empty());
}

#[test]
fn suspected_requests_get_separate_servers() {
    let servers: Vec<Name> = (0..6).map(|index| format!("s{index}").into()).collect();
    let mut crashes = CrashHistory::new();
    for index in 0..5 {
        crashes.record(crash(Fingerprint(index * 7 + 1), "s0", 1_000));
    }
    let now = Time::from_millis(1_100);
    let mut assigned: Vec<usize> = (0..5)
        .map(|index| {
            crashes
                .assign(Fingerprint(index * 7 + 1), &servers[1..], now)
                .unwrap()
        })
        .collect();
    assigned.sort_unstable();
    assert_eq!(assigned, [0, 1, 2, 3, 4]);

    // With more suspected requests than servers, some share a server and each gets one.
    for index in 5..12 {
        crashes.record(crash(Fingerprint(index * 7 + 1), "s0", 1_000));
    }
    for index in 0..12 {
        assert!(
            crashes
                .assign(Fingerprint(index * 7 + 1), &servers[1..], now)
                .is_some()
        );
    }
    assert_eq!(crashes.assign(Fingerprint(1), &[], now), None);
}

#[test]
fn an_attempt_counted_early_is_corrected_when_it_did_not_run() {
    let (deadline, now) = (Time::from_millis(2_000), Time::from_millis(1_000));
    let decide = |counts: &AttemptCounts| counts.decide(2, true, deadline, now);
    let mut counts = AttemptCounts::default();
    counts.record(Cause::Silent);
    counts.record(Cause::Silent);
    assert_eq!(decide(&counts), Decision::Attempts);
    for (cause, expected) in [
        (Cause::Busy, Decision::Again),
        (Cause::Connect, Decision::Again),
        (Cause::Cut, Decision::Attempts),
        (Cause::Silent, Decision::Attempts),
    ] {
        let mut corrected = counts;
        corrected.correct(cause);
        assert_eq!(decide(&corrected), expected, "{cause:?}");
        assert_eq!(corrected.verdict(), Verdict::MayHaveRun);
    }
}
