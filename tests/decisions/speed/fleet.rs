//! Entries that exchange shares, and the load on their servers, on a simulated clock.

use std::time::Duration;

use cassialock::core::Name;
use cassialock::core::route::speed::Work;
use cassialock::core::route::speed::share::Audience;
use cassialock::core::route::speed::share::Message;
use cassialock::core::route::speed::share::Scope;
use cassialock::core::route::speed::share::Share;
use cassialock::core::route::speed::table::SpeedTable;
use cassialock::core::time::Time;
use cassialock::frame;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Interval of the rounds, in ms.
const ROUND: u64 = 500;

/// Length of a step, in ms.
const STEP: u64 = 10;

/// Interval at which other servers are disturbed, in ms.
const DISTURBANCE: u64 = 600;

/// Spread of the times of equal requests, as a deviation of the logarithm.
const NOISE: f64 = 0.2;

const DOMAINS: usize = 3;

pub const SERVICE: &str = "dosel-llm";

pub struct Node {
    pub name: Name,
    pub domain: usize,
    pub table: SpeedTable,
    pub is_up: bool,
    pub sent: usize,
    pub received: usize,
    pub incarnation: u64,
    offset: u64,
}

pub struct Server {
    pub name: Name,
    /// Time relative to the mean, as it stays.
    pub speed: f64,
    /// Time relative to the usual one, as the server states it.
    disturbed: f64,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub servers: Vec<Server>,
    pub ms: u64,
    /// Fraction of the messages that are lost.
    pub loss: f64,
    /// Requests per second.
    pub rate: f64,
    /// Servers that each entry uses.
    pub used: usize,
    pub rng: SmallRng,
    due: f64,
}

impl Fleet {
    /// `lists` says whether an entry knows all servers, so that it can use digests.
    pub fn new(nodes: usize, servers: usize, lists: impl Fn(usize) -> bool) -> Self {
        let mut rng = SmallRng::seed_from_u64(nodes as u64);
        let server = |at: usize| Server {
            name: format!("i-{at:05}/18f3c2a{at:04x}").into(),
            speed: 0.6 + (at * 7 % 11) as f64 / 10.0,
            disturbed: 1.0,
        };
        let servers: Vec<Server> = (0..servers).map(server).collect();
        let service: Name = SERVICE.into();
        let mut fleet = Self {
            nodes: Vec::new(),
            servers,
            ms: 0,
            loss: 0.0,
            rate: 595.0,
            used: usize::MAX,
            due: 0.0,
            rng: SmallRng::seed_from_u64(rng.random()),
        };
        for at in 0..nodes {
            let mut table = SpeedTable::new();
            if lists(at) {
                table.set_servers(fleet.servers.iter().map(|row| (&row.name, &service)));
            }
            fleet.nodes.push(Node {
                name: format!("entry-{at:04}").into(),
                domain: at % DOMAINS,
                table,
                is_up: true,
                sent: 0,
                received: 0,
                incarnation: 1_000_000,
                offset: rng.random_range(0..ROUND / STEP) * STEP,
            });
        }
        fleet
    }

    pub fn now(&self) -> Time {
        super::at(self.ms)
    }

    /// Starts an entry anew, with nothing learned.
    pub fn restart(&mut self, at: usize) {
        let service: Name = SERVICE.into();
        let node = &mut self.nodes[at];
        node.table = SpeedTable::new();
        node.incarnation += 1;
        let rows = self.servers.iter().map(|row| (&row.name, &service));
        node.table.set_servers(rows);
    }

    pub fn run(&mut self, span: Duration, mut watch: impl FnMut(&mut Self)) {
        let end = self.ms + span.as_millis() as u64;
        while self.ms < end {
            self.ms += STEP;
            if self.ms.is_multiple_of(DISTURBANCE) {
                for server in &mut self.servers {
                    server.disturbed = if self.rng.random_bool(0.15) { 2.5 } else { 1.0 };
                }
            }
            self.due += self.rate * STEP as f64 / 1_000.0;
            while self.due >= 1.0 {
                self.due -= 1.0;
                self.request();
            }
            for at in 0..self.nodes.len() {
                let node = &self.nodes[at];
                let is_round = (self.ms + node.offset).is_multiple_of(ROUND);
                if node.is_up && (is_round || node.table.is_urgent()) {
                    self.round(at);
                }
            }
            watch(self);
        }
    }

    fn request(&mut self) {
        let at = self.rng.random_range(0..self.nodes.len());
        let used = self.used.min(self.servers.len());
        let place = (at * 31 + self.rng.random_range(0..used)) % self.servers.len();
        let now = self.now();
        let service: Name = SERVICE.into();
        let server = &self.servers[place];
        let tokens = [2_890.0, 1_800.0, 543.0][self.rng.random_range(0..3_usize)];
        let waiting = u32::from(self.rng.random_bool(0.25));
        let work = Work {
            uncached_tokens: tokens,
            output_tokens: 50.0,
            running: f64::from(self.rng.random_range(0..12_u32)),
            waiting: f64::from(waiting),
            work_percent: Some((server.disturbed * 100.0) as u32),
        };
        let usual = 10.0 + tokens / 38.4 + 2.0 * work.running + 40.0 * work.waiting;
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let took = usual * server.speed * server.disturbed * (NOISE * normal).exp();
        let report = super::load(waiting, Some(16));
        let table = &mut self.nodes[at].table;
        table.record_load(&service, &report, now);
        table.record(&service, &server.name, &work, super::ms(took), now);
        let pace = 5.2 * server.speed * server.disturbed;
        table.record_pace(&service, &server.name, &work, super::ms(pace), now);
    }

    /// Returns the first two entries of a failure domain that are up.
    fn aggregators(&self, domain: usize) -> Vec<usize> {
        let up = (0..self.nodes.len()).filter(|at| {
            let node = &self.nodes[*at];
            node.domain == domain && node.is_up
        });
        up.take(2).collect()
    }

    fn round(&mut self, at: usize) {
        let now = self.now();
        let count = self.nodes.len();
        let (name, domain) = (self.nodes[at].name.clone(), self.nodes[at].domain);
        let others = |to: &usize| *to != at;
        if count <= 16 {
            let to: Vec<usize> = (0..count).filter(others).collect();
            let audience = Audience::Mesh(to.len());
            let share = self.nodes[at].table.own_share(&name, audience, now);
            self.send(at, &to, share);
        } else {
            let own = self.aggregators(domain);
            let to: Vec<usize> = own.iter().copied().filter(others).collect();
            let audience = Audience::Aggregators(to.len());
            let share = self.nodes[at].table.own_share(&name, audience, now);
            self.send(at, &to, share);
            if own.contains(&at) {
                self.aggregate(at);
            }
        }
        self.nodes[at].table.check(now);
    }

    fn aggregate(&mut self, at: usize) {
        let now = self.now();
        let (name, domain) = (self.nodes[at].name.clone(), self.nodes[at].domain);
        let reporters: Vec<usize> = (0..self.nodes.len())
            .filter(|to| *to != at && self.nodes[*to].domain == domain)
            .collect();
        let receivers: Vec<usize> = (0..DOMAINS)
            .flat_map(|domain| self.aggregators(domain))
            .filter(|to| *to != at)
            .collect();
        let table = &mut self.nodes[at].table;
        let audience = Audience::Domains(reporters.len(), receivers.len());
        let share = table.domain_share(&name, &format!("d{domain}").into(), audience, now);
        // Those of the own domain do not use it.
        let audience = Audience::Reporters(reporters.len(), receivers.len());
        let fleet = table.fleet_share(&name, audience, now);
        self.send(at, &receivers, share);
        self.send(at, &reporters, fleet);
    }

    fn send(&mut self, at: usize, to: &[usize], share: Option<Share>) {
        let Some(share) = share else { return };
        let message = Message {
            node: self.nodes[at].name.clone(),
            incarnation: self.nodes[at].incarnation,
            seq: self.nodes[at].table.seq(),
            share,
        };
        // The variant of the datagram takes one byte more.
        let bytes = frame::encode(&message).unwrap();
        let message: Message = frame::decode(&bytes).unwrap();
        let now = self.now();
        let sender = self.nodes[at].domain;
        let domain = Scope::Domain(format!("d{sender}").into());
        for place in to {
            self.nodes[at].sent += bytes.len() + 1;
            if self.rng.random_bool(self.loss) || !self.nodes[*place].is_up {
                continue;
            }
            let node = &mut self.nodes[*place];
            node.received += bytes.len() + 1;
            if message.share.scope == domain && node.domain == sender {
                continue;
            }
            let (name, number) = (&message.node, message.incarnation);
            node.table
                .merge(name, number, message.seq, &message.share, now);
        }
    }
}
