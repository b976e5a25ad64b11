//! Simulated servers and entries, and one central queue with full knowledge.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use cassialock::core::Name;
use cassialock::core::fleet::load::Traffic;
use cassialock::core::limit::PendingRequest;
use cassialock::core::limit::queue::AdmissionQueue;
use cassialock::core::limit::scarcity::Inputs;
use cassialock::core::limit::scarcity::Level;
use cassialock::core::limit::scarcity::Source;
use cassialock::core::limit::scarcity::gate::Arrival;
use cassialock::core::limit::scarcity::gate::Gate;
use cassialock::core::limit::scarcity::gate::Ruling;
use cassialock::core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub const SERVERS: usize = 140;
const SLOTS: usize = 16;
pub const WORKSPACES: usize = 6;

/// Requests per second, objective, limit and mean time in progress of each route, in ms.
pub const ROUTES: [(f64, u64, u64, f64); 3] = [
    (88.0, 500, 15_000, 3_200.0),
    (179.0, 600, 4_000, 2_600.0),
    (239.0, 1_500, 6_000, 3_000.0),
];

/// Part of the time in progress after which the first byte is there.
const FIRST_PART: f64 = 0.03;

/// Mean time in progress of all requests.
const MEAN_TIME: u64 = 2_900;

const STEP: u64 = 2;
const ROUND: u64 = 500;
const START: u64 = 1_000_000;

/// What happens in a run; times are in ms from its start.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub entries: usize,
    pub length: u64,
    pub digest_age: u64,
    /// Factor of the load at a time, for a workspace.
    pub load: fn(u64, usize) -> f64,
    /// Time at which a third of the servers is lost.
    pub lost_at: Option<u64>,
    /// Time without digests.
    pub silent: (u64, u64),
    /// Time at which entry 0 loses all that it has learned.
    pub restart_at: Option<u64>,
    /// Whether refused callers try again at once, up to five times, or after the stated time.
    pub retries: Option<bool>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            entries: 62,
            length: 60_000,
            digest_age: 0,
            load: |_, _| 1.0,
            lost_at: None,
            silent: (u64::MAX, 0),
            restart_at: None,
            retries: None,
        }
    }
}

#[derive(Clone)]
pub struct Request {
    pub at: u64,
    pub route: usize,
    pub workspace: usize,
    pub took: u64,
    pub draw: u64,
    pub tries: u32,
    /// Time to the first byte, if it was served.
    pub first: Option<u64>,
    /// Time from an attempt to its refusal, and the time after which it may return.
    pub refused: Option<(u64, u64)>,
    pub refusals: u32,
}

impl Request {
    pub fn is_served(&self) -> bool {
        self.first
            .is_some_and(|first| first <= ROUTES[self.route].1)
    }
}

/// Returns the requests of all callers, in order of their arrival.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for at in 0..scenario.length {
        for (route, (rate, _, _, took)) in ROUTES.iter().enumerate() {
            for workspace in 0..WORKSPACES {
                let rate = rate / WORKSPACES as f64 * (scenario.load)(at, workspace);
                if random.random::<f64>() < rate / 1_000.0 {
                    requests.push(Request {
                        at,
                        route,
                        workspace,
                        took: (took * (0.5 + random.random::<f64>())) as u64,
                        draw: random.random(),
                        tries: 1,
                        first: None,
                        refused: None,
                        refusals: 0,
                    });
                }
            }
        }
    }
    requests
}

fn time(at: u64) -> Time {
    Time::from_millis(START + at)
}

fn is_alive(scenario: &Scenario, server: usize, at: u64) -> bool {
    scenario.lost_at.is_none_or(|lost| at < lost) || !server.is_multiple_of(3)
}

/// Serves the requests from one queue that knows all servers, and drops those that would
/// begin too late.
pub fn central(scenario: &Scenario, mut requests: Vec<Request>) -> Vec<Request> {
    let mut queue = AdmissionQueue::new().with_max_work(1_000_000);
    let mut ends: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
    let mut next = 0;
    for at in (0..scenario.length + 5_000).step_by(STEP as usize) {
        while ends.peek().is_some_and(|end| end.0 <= at) {
            ends.pop();
        }
        while next < requests.len() && requests[next].at <= at {
            let request = &requests[next];
            let (_, objective, _, _) = ROUTES[request.route];
            let pending = PendingRequest {
                id: next as u64,
                workspace: format!("w{}", request.workspace).into(),
                weight: 1,
                work: 1,
                deadline: time(request.at + objective),
                service_time: Duration::from_millis((request.took as f64 * FIRST_PART) as u64),
                rank: request.route as u8,
            };
            queue.submit(pending, 0, time(at));
            next += 1;
        }
        if scenario.lost_at == Some(at) {
            // What ran on the lost servers runs again elsewhere.
            let rerun = |(place, end): (usize, Reverse<u64>)| match place % 3 {
                0 => Reverse(at + MEAN_TIME),
                _ => end,
            };
            ends = ends.into_iter().enumerate().map(rerun).collect();
        }
        queue.expire(time(at));
        let servers = (0..SERVERS).filter(|server| is_alive(scenario, *server, at));
        let free = (servers.count() * SLOTS).saturating_sub(ends.len());
        for id in queue.dequeue(free as u32) {
            let request = &mut requests[id as usize];
            request.first = Some(at - request.at + (request.took as f64 * FIRST_PART) as u64);
            ends.push(Reverse(at + request.took));
        }
    }
    requests
}

#[derive(Default)]
struct Server {
    running: Vec<(u64, usize)>,
    waiting: [VecDeque<usize>; 3],
}

impl Server {
    fn load(&self) -> usize {
        self.running.len() + self.waiting.iter().map(VecDeque::len).sum::<usize>()
    }
}

struct Entry {
    gate: Gate,
    /// Held requests by id.
    held: Vec<(u64, usize)>,
}

/// The entries and servers of a run.
pub struct Fleet {
    scenario: Scenario,
    pub requests: Vec<Request>,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    random: SmallRng,
    /// Requests that return, by time.
    returning: BTreeSet<(u64, usize)>,
    sent_at: Vec<(u64, usize)>,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    counts: [f64; 3],
    sums: Vec<Traffic>,
    /// Changes of level, by time, with the entry.
    pub levels: Vec<(u64, usize, Level)>,
}

impl Fleet {
    pub fn run(scenario: Scenario, requests: Vec<Request>) -> Self {
        let entry = || Entry {
            gate: Gate::new(),
            held: Vec::new(),
        };
        let mut fleet = Self {
            scenario,
            sent_at: vec![(0, 0); requests.len()],
            requests,
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            entries: (0..scenario.entries).map(|_| entry()).collect(),
            random: SmallRng::seed_from_u64(7),
            returning: BTreeSet::new(),
            events: BinaryHeap::new(),
            counts: [0.0; 3],
            sums: Vec::new(),
            levels: Vec::new(),
        };
        let mut next = 0;
        for at in (0..scenario.length + 10_000).step_by(STEP as usize) {
            if scenario.lost_at == Some(at) {
                fleet.lose_servers(at);
            }
            if scenario.restart_at == Some(at) {
                fleet.entries[0] = entry();
                fleet.levels.push((at, 0, Level::Normal));
            }
            fleet.serve(at);
            while next < fleet.requests.len() && fleet.requests[next].at <= at {
                fleet.offer(next, at);
                next += 1;
            }
            while fleet.returning.first().is_some_and(|row| row.0 <= at) {
                let (_, request) = fleet.returning.pop_first().unwrap();
                fleet.offer(request, at);
            }
            fleet.exchange(at);
        }
        fleet
    }

    fn offer(&mut self, request: usize, at: u64) {
        self.counts[1] += 1.0;
        let entry = self.random.random_range(0..self.entries.len());
        let row = &self.requests[request];
        let (_, objective, limit, _) = ROUTES[row.route];
        let arrival = Arrival {
            id: u64::from(row.tries) << 32 | request as u64,
            route: format!("r{}", row.route).into(),
            workspace: format!("w{}", row.workspace).into(),
            rank: row.route as u8,
            objective: Duration::from_millis(objective),
            deadline: time(row.at + limit),
            draw: row.draw,
        };
        let id = arrival.id;
        let random = self.random.random();
        let ruling = self.entries[entry].gate.offer(arrival, random, time(at));
        match ruling {
            Ruling::Hold => self.entries[entry].held.push((id, request)),
            ruling => self.settle(entry, request, ruling, 0, at),
        }
    }

    fn settle(&mut self, entry: usize, request: usize, ruling: Ruling, held: u64, at: u64) {
        match ruling {
            Ruling::Refuse(refused) => {
                let row = &mut self.requests[request];
                let wait = refused.wait.as_millis() as u64;
                row.refused = Some((held, wait));
                row.refusals += 1;
                let delay = match self.scenario.retries {
                    Some(true) if row.tries < 6 => 20,
                    Some(false) if row.tries < 2 => wait,
                    _ => return,
                };
                row.tries += 1;
                self.returning.insert((at + delay, request));
            }
            _ => {
                let alive = |server: &usize| is_alive(&self.scenario, *server, at);
                let drawn: Vec<usize> = (0..4)
                    .map(|_| self.random.random_range(0..SERVERS))
                    .collect();
                let server = drawn.iter().copied().filter(alive);
                let server = server.min_by_key(|server| self.servers[*server].load());
                let server = server.unwrap_or(1);
                self.sent_at[request] = (at, entry);
                let rank = self.requests[request].route;
                self.servers[server].waiting[rank].push_back(request);
                self.counts[0] += 1.0;
                self.begin(server, at);
            }
        }
    }

    /// Starts waiting requests on free slots of a server, the highest rank first.
    fn begin(&mut self, server: usize, at: u64) {
        while self.servers[server].running.len() < SLOTS {
            let waiting = &mut self.servers[server].waiting;
            let Some(request) = waiting.iter_mut().find_map(VecDeque::pop_front) else {
                return;
            };
            let took = self.requests[request].took;
            self.servers[server].running.push((at + took, request));
            self.events.push(Reverse((at + took, server)));
            let first = at + (took as f64 * FIRST_PART) as u64;
            let row = &mut self.requests[request];
            row.first.get_or_insert(first - row.at);
            let (sent, entry) = self.sent_at[request];
            let route: Name = format!("r{}", row.route).into();
            let gate = &mut self.entries[entry].gate;
            gate.record_first(&route, Duration::from_millis(first - sent), time(at));
        }
    }

    fn serve(&mut self, at: u64) {
        while self.events.peek().is_some_and(|event| event.0.0 <= at) {
            let Reverse((end, server)) = self.events.pop().unwrap();
            let running = &mut self.servers[server].running;
            let before = running.len();
            running.retain(|row| row.0 != end);
            let ended = (before - running.len()) as f64;
            self.counts[0] -= ended;
            self.counts[2] += ended;
            self.begin(server, at);
        }
    }

    /// Ends the lost servers; their requests are sent to others.
    fn lose_servers(&mut self, at: u64) {
        for server in (0..SERVERS).step_by(3) {
            let lost = std::mem::take(&mut self.servers[server]);
            let running = lost.running.into_iter().map(|row| row.1);
            for request in running.chain(lost.waiting.into_iter().flatten()) {
                self.counts[0] -= 1.0;
                self.settle(self.sent_at[request].1, request, Ruling::Pass, 0, at);
            }
        }
    }

    /// Publishes the sums, updates the entries in turn and releases what they hold.
    fn exchange(&mut self, at: u64) {
        let scenario = self.scenario;
        if at.is_multiple_of(ROUND) {
            let in_flight = self.counts[0];
            let rate = |count: f64| count / (ROUND as f64 / 1_000.0);
            self.sums.push(Traffic {
                in_flight,
                arrival_rate: rate(self.counts[1]),
                completion_rate: rate(self.counts[2]),
            });
            (self.counts[1], self.counts[2]) = (0.0, 0.0);
        }
        for index in 0..self.entries.len() {
            if at % ROUND == index as u64 * STEP * 7 % ROUND {
                let round = at.saturating_sub(scenario.digest_age) / ROUND;
                let is_silent = at >= scenario.silent.0 && at < scenario.silent.1;
                let usable = (0..SERVERS).filter(|server| is_alive(&scenario, *server, at));
                let servers = usable.count();
                let inputs = Inputs {
                    traffic: self.sums[round as usize],
                    slots: (servers * SLOTS) as f64,
                    servers: servers as u32,
                    age: Duration::from_millis(at - round * ROUND),
                    source: Source::Fleet,
                };
                let inputs = (!is_silent).then_some(inputs);
                if let Some(change) = self.entries[index].gate.refresh(inputs, time(at)) {
                    self.levels.push((at, index, change.to));
                }
            }
            if at.is_multiple_of(10) && !self.entries[index].held.is_empty() {
                let random = self.random.random();
                let released = self.entries[index].gate.release(random, time(at));
                for (id, waited, ruling) in released {
                    let held = &mut self.entries[index].held;
                    let place = held.iter().position(|row| row.0 == id).unwrap();
                    let (_, request) = held.swap_remove(place);
                    let waited = waited.as_millis() as u64;
                    self.settle(index, request, ruling, waited, at);
                }
            }
        }
    }

    /// Returns the number of entries.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }
}

/// Returns the fractions served in time, by route and by workspace.
pub fn shares(requests: &[Request]) -> (Vec<f64>, Vec<f64>) {
    let share = |is_in: &dyn Fn(&Request) -> bool| {
        let all = requests.iter().filter(|request| is_in(request));
        let served = all.clone().filter(|request| request.is_served());
        served.count() as f64 / all.count().max(1) as f64
    };
    let routes = (0..ROUTES.len()).map(|route| share(&|request| request.route == route));
    let workspaces = (0..WORKSPACES).map(|name| share(&|request| request.workspace == name));
    (routes.collect(), workspaces.collect())
}
