//! Requests that reach a faulty version during a move, over all nodes.

use std::time::Duration;

use cassialock::core::Name;
use cassialock::core::moves::canary;
use cassialock::core::moves::canary::Canary;
use cassialock::core::moves::canary::Stage;
use cassialock::core::moves::detector::Evidence;
use cassialock::core::moves::detector::Outcome;
use cassialock::core::moves::detector::Sample;
use cassialock::core::moves::latencies::Latencies;
use cassialock::core::time::Time;

mod rejections;

/// Time from the declaration of a move to its deadline.
const MOVE_DURATION: Duration = Duration::from_millis(15_157);

/// Time after which the servers of the new version have registered, in milliseconds.
const BOOT_MS: u64 = 1_000;

/// Fraction of the requests that a faulty version may get.
const EXPOSURE: f64 = 0.1;

/// Requests beyond that fraction that a faulty version may get.
const EXPOSURE_SLACK: f64 = 50.0;

/// Time between two exchanges of evidence, in milliseconds.
const HEARTBEAT_MS: u64 = 500;

/// Time between two judgements of a node, in milliseconds.
const TICK_MS: u64 = 500;

/// Response time of the old version, in milliseconds.
const FAST_MS: u64 = 80;

/// Routes of the service and the share of its requests on each.
const ROUTES: [(&str, f64); 2] = [("order", 0.7), ("status", 0.3)];

/// What callers and servers do during a move.
#[derive(Clone, Copy, Debug)]
struct Conditions {
    nodes: usize,
    /// Requests per second over all nodes.
    rate: u64,
    /// Share of the new version's responses that are slow.
    slow: f64,
    /// The route with slow responses, or `None` for all.
    only: Option<usize>,
    /// Response time of a slow response, as a multiple of a fast one.
    factor: u64,
    /// Share of the requests to the new version that its servers turn away.
    turned_away: f64,
    /// Time at which half of the nodes are killed and start again, in milliseconds.
    killed_ms: Option<u64>,
    /// Answers that are rejections.
    rejects: Rejects,
}

/// Shares of the answers of both versions that are rejections.
#[derive(Clone, Copy, Debug)]
struct Rejects {
    new: f64,
    old: f64,
    /// The route with these shares, or `None` for all.
    only: Option<usize>,
    /// Time from which they hold, in milliseconds.
    from_ms: u64,
    /// Status of the rejections of the new version.
    status: u16,
}

const NO_REJECTS: Rejects = Rejects {
    new: 0.0,
    old: 0.0,
    only: None,
    from_ms: 0,
    status: 404,
};

const CALM: Conditions = Conditions {
    nodes: 9,
    rate: 58,
    slow: 0.0,
    only: None,
    factor: 4,
    turned_away: 0.0,
    killed_ms: None,
    rejects: NO_REJECTS,
};

/// A response that has not arrived yet.
struct Pending {
    node: usize,
    route: usize,
    due_ms: u64,
    sample: Sample,
}

struct Node {
    canary: Canary,
    incarnation: u64,
}

/// What a node tells the others.
struct Status {
    sender: Name,
    incarnation: u64,
    evidence: Evidence,
    is_vetoed: bool,
    elapsed: Duration,
    steps: usize,
}

impl Status {
    fn apply(&self, canary: &mut Canary, now: Time) {
        canary.record_elapsed(self.elapsed, now);
        let detector = &mut canary.detector;
        detector.merge_process(&self.sender, self.incarnation, &self.evidence);
        if self.is_vetoed {
            canary.veto("told".into());
        }
        canary.record_steps(self.steps, now);
    }
}

struct Play {
    conditions: Conditions,
    nodes: Vec<Node>,
    pending: Vec<Pending>,
    draws: u64,
    seed: u64,
    requests: u64,
    exposed: u64,
}

fn time_at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn route(index: usize) -> Name {
    ROUTES[index].0.into()
}

impl Play {
    fn new(conditions: Conditions, seed: u64) -> Self {
        let mut play = Self {
            conditions,
            nodes: Vec::new(),
            pending: Vec::new(),
            draws: 0,
            seed,
            requests: 0,
            exposed: 0,
        };
        for _ in 0..conditions.nodes {
            let mut canary = Canary::new("v2".into(), MOVE_DURATION, time_at(0));
            for index in 0..ROUTES.len() {
                let mut latencies = Latencies::new();
                for _ in 0..32 {
                    latencies.push(play.latency(1));
                }
                canary.detector.set_baseline(&route(index), latencies);
            }
            let incarnation = 1;
            play.nodes.push(Node {
                canary,
                incarnation,
            });
        }
        play
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        cassialock::core::hash(&["draw", &self.seed.to_string(), &self.draws.to_string()])
    }

    fn fraction(&mut self) -> f64 {
        (self.draw() % 1_000_000) as f64 / 1e6
    }

    /// Returns a response time that is spread over half to one and a half of its mean.
    fn latency(&mut self, factor: u64) -> Duration {
        let spread = 0.5 + self.fraction();
        Duration::from_millis(FAST_MS * factor).mul_f64(spread)
    }

    /// Sends a request through a random node.
    fn request(&mut self, ms: u64) {
        let node = (self.draw() % self.conditions.nodes as u64) as usize;
        let index = usize::from(self.fraction() >= ROUTES[0].1);
        let random = self.draw();
        let stage = self.nodes[node].canary.stage(time_at(ms));
        let is_new = ms >= BOOT_MS && canary::routes_to_new(stage, random, EXPOSURE);
        self.requests += 1;
        self.exposed += u64::from(is_new);
        if is_new && self.fraction() < self.conditions.turned_away {
            return;
        }
        let is_faulty = self.conditions.only.is_none_or(|only| only == index);
        let is_slow = is_new && is_faulty && self.fraction() < self.conditions.slow;
        let latency = self.latency(if is_slow { self.conditions.factor } else { 1 });
        let outcome = match self.rejection(is_new, index, ms) {
            Some(status) => Outcome::Rejected(status),
            None => Outcome::Succeeded(latency),
        };
        let sample = Sample { is_new, outcome };
        let due_ms = ms + latency.as_millis() as u64;
        self.pending.push(Pending {
            node,
            route: index,
            due_ms,
            sample,
        });
    }

    /// Returns the status with which a request is rejected, if it is.
    fn rejection(&mut self, is_new: bool, route: usize, ms: u64) -> Option<u16> {
        let rejects = self.conditions.rejects;
        let is_concerned = rejects.only.is_none_or(|only| only == route) && ms >= rejects.from_ms;
        let (share, status) = if is_new {
            (rejects.new, rejects.status)
        } else {
            (rejects.old, 404)
        };
        let is_rejected = is_concerned && share > 0.0 && self.fraction() < share;
        is_rejected.then_some(status)
    }

    fn receive(&mut self, ms: u64) {
        for response in self.pending.extract_if(.., |row| row.due_ms <= ms) {
            let node = &mut self.nodes[response.node];
            let name = route(response.route);
            node.canary.detector.record(&name, &response.sample);
        }
    }

    /// Sends what each node knows to all others.
    fn exchange(&mut self, ms: u64) {
        let now = time_at(ms);
        let status = |(index, node): (usize, &Node)| Status {
            sender: index.to_string().into(),
            incarnation: node.incarnation,
            evidence: node.canary.detector.evidence(),
            is_vetoed: node.canary.is_vetoed(),
            elapsed: node.canary.elapsed(now),
            steps: node.canary.steps(),
        };
        let told: Vec<Status> = self.nodes.iter().enumerate().map(status).collect();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let others = told.iter().enumerate().filter(|(at, _)| *at != index);
            for (_, status) in others {
                status.apply(&mut node.canary, now);
            }
        }
    }

    fn kill_half(&mut self, ms: u64) {
        for node in self.nodes.iter_mut().step_by(2) {
            node.incarnation += 1;
            node.canary = Canary::new("v2".into(), MOVE_DURATION, time_at(ms));
        }
    }

    /// Plays the move and returns the outcome that the last node reports.
    fn run(&mut self) -> Option<Stage> {
        let gap = 1_000_000 / self.conditions.rate;
        let mut sent = 0;
        let mut reported_outcome = None;
        for ms in 0..MOVE_DURATION.as_millis() as u64 {
            while sent * gap <= ms * 1_000 {
                self.request(ms);
                sent += 1;
            }
            self.receive(ms);
            if self.conditions.killed_ms == Some(ms) {
                self.kill_half(ms);
            }
            if ms % HEARTBEAT_MS == 0 {
                self.exchange(ms);
            }
            if ms % TICK_MS == 0 {
                for node in &mut self.nodes {
                    node.canary.check();
                    node.canary.advance(true, time_at(ms));
                }
            }
            let reported = self.nodes.last()?.canary.pending_outcome(time_at(ms));
            if let Some(outcome) = reported {
                reported_outcome = Some(outcome);
                for node in &mut self.nodes {
                    node.canary.set_outcome(reported);
                }
            }
        }
        reported_outcome
    }

    fn bound(&self) -> f64 {
        self.requests as f64 * EXPOSURE + EXPOSURE_SLACK
    }
}

/// Asserts that a faulty version is taken back before too many requests have reached it.
fn assert_taken_back(conditions: Conditions, seeds: u64) {
    for seed in 0..seeds {
        let mut play = Play::new(conditions, seed);
        let outcome = play.run();
        let (exposed, bound) = (play.exposed as f64, play.bound());
        assert!(
            exposed <= bound && outcome == Some(Stage::RolledBack),
            "seed {seed}: {exposed} of {} requests, bound {bound}, {outcome:?}, {conditions:?}",
            play.requests
        );
    }
}

#[test]
fn a_slow_version_whose_servers_turn_requests_away_gets_few_requests() {
    let conditions = Conditions {
        slow: 0.5,
        turned_away: 0.4,
        ..CALM
    };
    assert_taken_back(conditions, 40);
}

#[test]
fn a_version_whose_servers_turn_all_requests_away_is_taken_back() {
    let conditions = Conditions {
        turned_away: 1.0,
        ..CALM
    };
    assert_taken_back(conditions, 4);
}

#[test]
fn a_good_version_is_completed_with_few_requests() {
    for rate in [58, 100, 170] {
        let conditions = Conditions { rate, ..CALM };
        let is_late = |seed: &u64| Play::new(conditions, *seed).run() != Some(Stage::Done);
        let late: Vec<u64> = (0..40).filter(is_late).collect();
        assert!(late.is_empty(), "{rate} requests per second: {late:?}");
    }
}

#[test]
fn a_faulty_version_gets_few_requests_in_fleets_of_any_size() {
    for (nodes, rate) in [(9, 30), (9, 170), (77, 400), (300, 1_600)] {
        let factors: &[u64] = if nodes > 100 { &[4] } else { &[2, 4, 20, 60] };
        for &factor in factors {
            for slow in [0.5, 1.0] {
                for turned_away in [0.0, 0.7] {
                    let conditions = Conditions {
                        nodes,
                        rate,
                        slow,
                        only: None,
                        factor,
                        turned_away,
                        ..CALM
                    };
                    assert_taken_back(conditions, 2);
                }
            }
        }
    }
}

#[test]
fn nodes_that_are_killed_during_the_trial_do_not_help_a_faulty_version() {
    for killed_ms in (1_000..15_000).step_by(500) {
        for slow in [0.5, 1.0] {
            let conditions = Conditions {
                slow,
                killed_ms: Some(killed_ms),
                ..CALM
            };
            assert_taken_back(conditions, 4);
        }
    }
}

#[test]
fn a_version_that_is_slow_on_one_route_gets_few_requests() {
    for only in 0..ROUTES.len() {
        let conditions = Conditions {
            slow: 0.5,
            only: Some(only),
            rate: 170,
            ..CALM
        };
        assert_taken_back(conditions, 20);
    }
}
