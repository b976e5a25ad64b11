//! When hedged requests are sent, and the limit of their extra work, on a simulated clock.

use std::time::Duration;

use cassialock::core::Name;
use cassialock::core::fingerprint::Fingerprint;
use cassialock::core::quarantine::Quarantine;
use cassialock::core::quarantine::features::Feature;
use cassialock::core::quarantine::features::Features;
use cassialock::core::request::TokenCounts;
use cassialock::core::retry::AttemptCounts;
use cassialock::core::retry::Cause;
use cassialock::core::retry::RetryBudget;
use cassialock::core::retry::hedge;
use cassialock::core::retry::hedge::Hedges;
use cassialock::core::retry::hedge::Subject;
use cassialock::core::retry::hedge::budget::WINDOW;
use cassialock::core::retry::hedge::decision;
use cassialock::core::retry::hedge::decision::Inputs;
use cassialock::core::retry::hedge::decision::Outlook;
use cassialock::core::retry::hedge::decision::Skipped;
use cassialock::core::route::Forecast;
use cassialock::core::route::Request;
use cassialock::core::route::servers::Class;
use cassialock::core::route::servers::Filter;
use cassialock::core::route::servers::Servers;
use cassialock::core::route::servers::Vm;
use cassialock::core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const PERCENT: f64 = 5.0;

const START: Time = Time::from_millis(1_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn tokens(prompt: u32) -> Option<TokenCounts> {
    let max_output = 50;
    Some(TokenCounts { prompt, max_output })
}

/// Names that a subject borrows.
struct Names(Name, Name);

impl Names {
    fn new() -> Self {
        Self("dosel-llm".into(), "chat".into())
    }

    fn subject(&self, tokens: Option<TokenCounts>) -> Subject<'_> {
        Subject {
            service: &self.0,
            route: &self.1,
            tokens,
        }
    }
}

/// Guards against a delay that follows from too few responses, from those of other
/// sizes, or from old ones.
#[test]
fn the_delay_is_that_of_the_slowest_twentieth_of_recent_responses() {
    let names = Names::new();
    let (small, large) = (names.subject(tokens(100)), names.subject(tokens(9_000)));
    let mut hedges = Hedges::new();
    for at in 0..19 {
        hedges.record(&small, ms(10 + at), START);
    }
    assert_eq!(hedges.delay(&small, START), None);
    for _ in 0..400 {
        hedges.record(&small, ms(20), START);
        hedges.record(&large, ms(500), START);
    }
    for _ in 0..12 {
        hedges.record(&small, ms(900), START);
    }
    let delay = hedges.delay(&small, START).unwrap();
    assert!(ms(20) <= delay && delay <= ms(24), "{delay:?}");
    let delay = hedges.delay(&large, START).unwrap();
    assert!(ms(500) <= delay && delay <= ms(600), "{delay:?}");
    for _ in 0..20 {
        hedges.record(&small, ms(900), START);
    }
    assert!(hedges.delay(&small, START).unwrap() >= ms(900));
    assert_eq!(hedges.delay(&small, START + ms(3_600_000)), None);
}

/// Guards against a hedge that is sent although waiting is expected to take less time.
#[test]
fn the_second_attempt_must_be_predicted_to_answer_sooner() {
    let names = Names::new();
    let subject = names.subject(None);
    let mut hedges = Hedges::new();
    for _ in 0..96 {
        hedges.record(&subject, ms(100), START);
    }
    for _ in 0..4 {
        hedges.record(&subject, ms(180), START);
    }
    let outlook = |elapsed: Duration| Outlook {
        elapsed,
        forecast: None,
        remaining: hedges.remaining(&subject, elapsed),
    };
    // The late ones are nearly there.
    assert!(!decision::is_sooner(&outlook(ms(130)), &outlook(ms(0))));
    // Later than any response that is known.
    assert!(decision::is_sooner(&outlook(ms(400)), &outlook(ms(0))));
    let with_forecast = |first: u64, elapsed: u64| Outlook {
        forecast: Some(Forecast {
            first: ms(first),
            age: ms(50),
        }),
        ..outlook(ms(elapsed))
    };
    let (slow, fast) = (with_forecast(900, 130), with_forecast(100, 0));
    assert!(decision::is_sooner(&slow, &fast));
    assert!(!decision::is_sooner(&fast, &slow));
}

fn inputs() -> Inputs {
    let mut attempts = AttemptCounts::default();
    attempts.record(Cause::Silent);
    Inputs {
        is_repeatable: true,
        attempts,
        servers: 1,
        max_attempts: 2,
        deadline: START + ms(2_000),
        has_retry: true,
        is_suspected: false,
        is_over_quota: false,
        utilization: 0.5,
        fits_limit: true,
        is_trial: false,
    }
}

/// Guards against a hedge that one of the rules forbids.
#[test]
fn every_rule_alone_prevents_a_hedge() {
    assert_eq!(decision::decide(&inputs(), START), Ok(()));
    type Change = fn(&mut Inputs);
    let cases: [(Change, Skipped); 11] = [
        (|it| it.is_repeatable = false, Skipped::NotRepeatable),
        (|it| it.max_attempts = 1, Skipped::Attempts),
        (|it| it.servers = 2, Skipped::Attempts),
        (|it| it.attempts.record(Cause::Cut), Skipped::Attempts),
        (|it| it.deadline = START, Skipped::Attempts),
        (|it| it.has_retry = false, Skipped::RetryBudget),
        (|it| it.is_suspected = true, Skipped::Suspected),
        (|it| it.is_over_quota = true, Skipped::Quota),
        (|it| it.utilization = 0.9, Skipped::Capacity),
        (|it| it.fits_limit = false, Skipped::WorkLimit),
        (|it| it.is_trial = true, Skipped::Trial),
    ];
    for (change, reason) in cases {
        let mut inputs = inputs();
        change(&mut inputs);
        assert_eq!(decision::decide(&inputs, START), Err(reason));
    }
}

/// Guards against a hedge at a server that has failed, is closed, limits its rate, has no
/// free slot or shares the failure domain of the first one without need.
#[test]
fn a_hedge_goes_to_a_free_server_in_another_domain() {
    let mut servers = Servers::new("entry-0".into(), "a".into());
    let names = [
        "first-a",
        "ejected-b",
        "limited-b",
        "full-b",
        "sound-b",
        "sound-a",
    ];
    let vms = names.map(|name| Vm {
        id: name.into(),
        service: "dosel-llm".into(),
        version: "v1".into(),
        address: "127.0.0.1:1".into(),
        domain: name.rsplit('-').next().unwrap().into(),
        class: Class::OnDemand,
        leaving: false,
    });
    servers.update(&vms);
    servers.set_nodes(&["entry-0".into()], START);
    servers.record_failure("ejected-b", START);
    servers.record_rate_limit("limited-b", Some(50.0), 0.0, START);
    for _ in 0..4 {
        servers.begin_request("full-b", &[]);
    }
    let now = START + ms(100);
    let find = |servers: &Servers, excluded: &[Name]| -> Vec<Name> {
        let filter = Filter {
            service: "dosel-llm",
            version: Some("v1"),
            slots: 4,
            excluded,
            exclude_suspected: false,
        };
        let found = servers.hedge_candidates("first-a", &filter, &Request::default(), now);
        found.into_iter().map(|candidate| candidate.id).collect()
    };
    assert_eq!(find(&servers, &[]), ["sound-b".into()]);
    assert_eq!(find(&servers, &["sound-b".into()]), ["sound-a".into()]);
    servers.set_leaving("sound-a");
    assert_eq!(find(&servers, &["sound-b".into()]), [] as [Name; 0]);
}

/// Guards against a hedge of a request of which a crash is not explained yet.
#[test]
fn a_request_is_suspected_until_it_is_answered_after_the_crash() {
    let mut quarantine = Quarantine::new();
    let features = |id: u64| Features::from(vec![Feature::Request(Fingerprint(id))]);
    assert!(!quarantine.has_suspect(&features(1), START));
    quarantine.record_crash(&"i-1/1".into(), &features(1), START);
    let later = START + ms(2_000);
    assert!(quarantine.has_suspect(&features(1), later));
    assert!(!quarantine.has_suspect(&features(2), later));
    quarantine.record_success(&features(1), later, later);
    assert!(!quarantine.has_suspect(&features(1), later + ms(1)));
}

/// Guards against hedges that leave too few retries for failures, and against a change of
/// the budget of retries itself.
#[test]
fn hedges_leave_a_quarter_of_the_cap_to_retries() {
    let mut budget = RetryBudget::new();
    budget.set_limits(0.14, 20.0);
    let hedges = (0..100).filter(|_| budget.withdraw_hedge()).count();
    assert_eq!(hedges, 15);
    let retries = (0..100).filter(|_| budget.withdraw()).count();
    assert_eq!(retries, 5);
    // With many nodes the cap of each is one retry, which a hedge leaves.
    let mut budget = RetryBudget::new();
    budget.set_limits(0.14, 1.0);
    assert!(!budget.has_hedge());
    for _ in 0..8 {
        budget.deposit();
    }
    assert!(budget.withdraw_hedge());
    assert!(!budget.withdraw_hedge());
    assert!(budget.withdraw());
    // What is kept for hedges pays for no retry.
    for _ in 0..100 {
        budget.deposit();
    }
    assert!(budget.withdraw());
    assert!(!budget.withdraw());
    assert!(!budget.has_hedge());
}

/// A node that hedges requests to simulated servers.
struct Node {
    hedges: Hedges,
    budget: RetryBudget,
    rng: SmallRng,
    /// Work of the requests and of the hedges, with their times.
    own: Vec<(Time, f64)>,
    extra: Vec<(Time, f64)>,
}

impl Node {
    fn new(seed: u64, nodes: usize) -> Self {
        let mut budget = RetryBudget::new();
        budget.set_limits(0.14, (30.0 / nodes as f64).max(1.0));
        Self {
            hedges: Hedges::new(),
            budget,
            rng: SmallRng::seed_from_u64(seed),
            own: Vec::new(),
            extra: Vec::new(),
        }
    }

    /// Draws the time of a response: 3 in 100 take a second more.
    fn draw(&mut self, factor: u32) -> Duration {
        let usual = ms(30 + self.rng.random_range(0..30));
        let is_stalled = self.rng.random_range(0..100) < 3;
        usual * factor + if is_stalled { ms(1_000) } else { ms(0) }
    }

    /// Sends a request and returns the time until its response begins, with the delay of
    /// its hedge added where that answers first.
    fn send(&mut self, names: &Names, factor: u32, percent: f64, now: Time) -> Duration {
        let size = [9_190, 2_368, 715][self.rng.random_range(0..3)];
        let subject = names.subject(tokens(size));
        self.budget.deposit();
        self.hedges.count(&subject, now);
        self.own.push((now, hedge::work(subject.tokens)));
        let first = self.draw(factor);
        let mut took = first;
        let delay = self.hedges.delay(&subject, now).filter(|it| *it < first);
        if let Some(delay) = delay {
            let late = now + delay;
            let is_allowed = self.budget.has_hedge()
                && self.hedges.spend(&subject, percent, now)
                && self.budget.withdraw_hedge();
            if is_allowed {
                // The decision is made at the time of the request, so that the calls are
                // in order; the times of all are shifted alike.
                self.extra.push((now, hedge::work(subject.tokens)));
                // The cancellation of the slower attempt may be lost: its work counts in
                // any case.
                took = took.min(late.since(now) + self.draw(factor));
            }
        }
        self.hedges.record(&subject, took, now);
        took
    }
}

fn sum_in_window(rows: &[(Time, f64)], end: Time) -> f64 {
    let rows = rows.iter().filter(|(at, _)| *at <= end);
    let recent = rows.filter(|(at, _)| end.since(*at) < WINDOW);
    recent.map(|(_, work)| work).sum()
}

fn percentile(times: &mut [Duration], percent: usize) -> Duration {
    times.sort_unstable();
    times[times.len() * percent / 100]
}

/// Guards against hedges that cost work and do not shorten the slowest responses.
#[test]
fn hedges_shorten_the_tail_within_the_limit() {
    let run = |percent: f64| {
        let (names, mut node) = (Names::new(), Node::new(7, 2));
        let times = (0..6_000).map(|at| node.send(&names, 1, percent, START + ms(at * 20)));
        let mut times: Vec<Duration> = times.collect();
        (percentile(&mut times, 98), node)
    };
    let ((without, _), (with, node)) = (run(0.0), run(PERCENT));
    println!("98th percentile {without:?} without hedges, {with:?} with them");
    assert!(without >= ms(1_000));
    assert!(with <= ms(250), "{with:?}");
    let sum = |rows: &[(Time, f64)]| rows.iter().map(|row| row.1).sum::<f64>();
    let extra = sum(&node.extra) * 100.0 / sum(&node.own);
    println!("extra work {extra:.2}%");
    assert!(extra <= PERCENT);
}

/// Guards against a storm of hedges when all servers become slow at once.
#[test]
fn slow_servers_cause_no_work_beyond_the_limit() {
    for nodes in [1, 300] {
        let names = Names::new();
        let mut fleet: Vec<Node> = (0..nodes)
            .map(|seed| Node::new(seed as u64, nodes))
            .collect();
        let mut hedges = 0;
        for tick in 0..3_000_u64 {
            let now = START + ms(tick * 20);
            // All servers are ten times slower from the 20th to the 40th second.
            let factor = if (1_000..2_000).contains(&tick) {
                10
            } else {
                1
            };
            for node in &mut fleet {
                let sent = node.extra.len();
                if node.rng.random_range(0..2) == 0 {
                    node.send(&names, factor, PERCENT, now);
                }
                if node.extra.len() == sent {
                    continue;
                }
                hedges += 1;
                let own = sum_in_window(&node.own, now);
                let extra = sum_in_window(&node.extra, now);
                assert!(extra <= own * PERCENT / 100.0, "{extra} of {own}");
            }
        }
        println!("{nodes} nodes: {hedges} hedges");
        assert!(hedges > nodes, "{hedges}");
        for second in 10..60 {
            let end = START + ms(second * 1_000);
            let sum = |rows: fn(&Node) -> &[(Time, f64)]| -> f64 {
                fleet
                    .iter()
                    .map(|node| sum_in_window(rows(node), end))
                    .sum()
            };
            let (own, extra) = (sum(|node| &node.own), sum(|node| &node.extra));
            assert!(extra <= own * PERCENT / 100.0, "{extra} of {own}");
        }
    }
}

/// Guards against a limit that is not understood as it is written.
#[test]
fn the_limit_is_a_percentage_from_0_to_20() {
    for (text, percent) in [("0", 0.0), ("2.5", 2.5), ("20", 20.0)] {
        assert_eq!(hedge::parse_percent(text), Ok(percent));
    }
    for text in ["", "-1", "20.1", "NaN", "inf", "5%", "some"] {
        assert!(hedge::parse_percent(text).is_err(), "{text}");
    }
}
