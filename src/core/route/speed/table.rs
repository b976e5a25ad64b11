//! What a node knows of the speeds and the load of all servers.

use std::time::Duration;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::route::servers::LoadReport;
use crate::core::route::speed::Estimates;
use crate::core::route::speed::Kind;
use crate::core::route::speed::Ratio;
use crate::core::route::speed::Utilization;
use crate::core::route::speed::Work;
use crate::core::route::speed::check::SpeedChange;
use crate::core::route::speed::fit;
use crate::core::route::speed::fits::FitTrack;
use crate::core::route::speed::share;
use crate::core::route::speed::sources::Sources;
use crate::core::route::speed::sum;
use crate::core::route::speed::track;
use crate::core::route::speed::track::LOAD_HALF_LIFE;
use crate::core::route::speed::track::News;
use crate::core::route::speed::track::SPEED_HALF_LIFE;
use crate::core::route::speed::track::Track;
use crate::core::time::Time;

/// Maximum number of services.
const MAX_SERVICES: usize = 64;

/// Maximum number of servers.
const MAX_SERVERS: usize = 20_000;

/// Smoothing factor of the deviation of the samples.
const DEVIATION_SMOOTHING: f64 = 0.02;

/// Variance of the logarithm of a sample that is assumed at first.
const FIRST_VARIANCE: f64 = 0.06;

/// Weight of the samples below which no server is classified as slow.
pub(super) const MIN_SLOW_SAMPLES: f64 = 2.5;

/// Time without a share of a scope after which a node does not count as sending it.
pub(super) const ROLE_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug)]
pub(super) struct Server {
    pub(super) hash: u32,
    pub(super) name: Name,
    /// What is known by kind.
    pub(super) tracks: [Option<Box<Track>>; 3],
}

#[derive(Debug, Default)]
pub(super) struct Service {
    pub(super) hash: u32,
    pub(super) load: Track,
    pub(super) fits: [FitTrack; 3],
}

/// Speeds and load of the servers, learned from the responses of all nodes.
///
/// # Invariants
///
/// `servers` is sorted by hash and name.
#[derive(Debug)]
pub struct SpeedTable {
    pub(super) servers: Vec<Server>,
    pub(super) services: NameMap<Service>,
    pub(super) sources: Sources,
    pub(super) uses_digest: bool,
    /// Time of the last share sent, by scope.
    pub(super) shared: [Time; 3],
    /// Whether a change must be shared before the next round, by scope.
    pub(super) urgent: [bool; 3],
    /// Time of the last share between rounds, by scope.
    pub(super) hurried: [Time; 3],
    /// Number of shares sent.
    pub(super) seq: u64,
    /// Bytes that the next share may use beyond its own, by scope.
    pub(super) credit: [f64; 3],
    /// Since when and until when this node has aggregated.
    pub(super) collecting: Option<(Time, Time)>,
    pub(super) variances: [f64; 3],
    pub(super) slow: Vec<(Name, Kind)>,
    pub(super) changes: Vec<SpeedChange>,
    pub(super) omitted: u32,
    pub(super) recorded: Time,
    is_listed: bool,
    pub(super) is_in_contact: Option<bool>,
    pub(super) checks: u32,
    /// Time at which invalid rows were last logged.
    pub(super) invalid_at: Option<Time>,
}

impl Default for SpeedTable {
    fn default() -> Self {
        Self {
            servers: Vec::new(),
            services: NameMap::new(),
            sources: Sources::default(),
            uses_digest: false,
            shared: [Time::default(); 3],
            urgent: [false; 3],
            hurried: [Time::default(); 3],
            seq: 0,
            credit: [0.0; 3],
            collecting: None,
            variances: [FIRST_VARIANCE; 3],
            slow: Vec::new(),
            changes: Vec::new(),
            omitted: 0,
            recorded: Time::default(),
            is_listed: false,
            is_in_contact: None,
            checks: 0,
            invalid_at: None,
        }
    }
}

impl SpeedTable {
    /// Creates a table that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a change must be shared before the next round.
    pub const fn is_urgent(&self) -> bool {
        self.urgent[0] || self.urgent[1] || self.urgent[2]
    }

    /// Lets a scope be shared before the next round, if this node shares it at all.
    pub(super) fn hurry(&mut self, scope: usize, now: Time) {
        let last = self.shared[scope];
        self.urgent[scope] |= last <= now && now.since(last) < ROLE_TIMEOUT;
    }

    /// Returns the number of the last share.
    pub const fn seq(&self) -> u64 {
        self.seq
    }

    /// Returns whether the servers were listed.
    pub const fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Sets the servers and their services; what is known of others is forgotten.
    pub fn set_servers<'a>(&mut self, listed: impl Iterator<Item = (&'a Name, &'a Name)>) {
        self.is_listed = true;
        let mut known = std::mem::take(&mut self.servers);
        let mut services: Vec<&Name> = Vec::new();
        for (name, service) in listed.take(MAX_SERVERS) {
            if services.last() != Some(&service) {
                services.push(service);
            }
            let hash = share::name_hash(name);
            let tracks = match find_in(&known, hash, name) {
                Ok(place) => std::mem::take(&mut known[place].tracks),
                Err(_) => Default::default(),
            };
            self.servers.push(Server {
                hash,
                name: name.clone(),
                tracks,
            });
        }
        // INVARIANT: sorted as the searches expect.
        self.servers
            .sort_unstable_by(|a, b| (a.hash, &a.name).cmp(&(b.hash, &b.name)));
        self.servers.dedup_by(|a, b| a.name == b.name);
        services.sort_unstable();
        services.dedup();
        self.services
            .retain(|name, _| services.binary_search(&name).is_ok());
        for service in services {
            self.service(service);
        }
        let servers = &self.servers;
        self.slow
            .retain(|(name, _)| find_in(servers, share::name_hash(name), name).is_ok());
    }

    fn service(&mut self, name: &Name) -> Option<&mut Service> {
        if self.services.get(name).is_none() && self.services.len() >= MAX_SERVICES {
            return None;
        }
        let make = || Service {
            hash: share::name_hash(name),
            ..Service::default()
        };
        Some(self.services.get_or_insert_with(name, make))
    }

    /// Records the time to the first bytes of a stream, and returns it divided by the
    /// time predicted, if there was a prediction.
    pub fn record(
        &mut self,
        service: &Name,
        server: &Name,
        work: &Work,
        took: Duration,
        now: Time,
    ) -> Option<f64> {
        self.learn(Kind::First, service, server, work, took, now)
    }

    /// Records the time per token of a stream after its first bytes.
    pub fn record_pace(
        &mut self,
        service: &Name,
        server: &Name,
        work: &Work,
        each: Duration,
        now: Time,
    ) -> Option<f64> {
        self.learn(Kind::Pace, service, server, work, each, now)
    }

    /// Records the time to the end of a plain response.
    pub fn record_plain(
        &mut self,
        service: &Name,
        server: &Name,
        work: &Work,
        took: Duration,
        now: Time,
    ) -> Option<f64> {
        self.learn(Kind::Plain, service, server, work, took, now)
    }

    fn learn(
        &mut self,
        kind: Kind,
        service: &Name,
        server: &Name,
        work: &Work,
        took: Duration,
        now: Time,
    ) -> Option<f64> {
        let percent = f64::from(work.work_percent.unwrap_or(100).max(1)) / 100.0;
        let ms = took.as_secs_f64() * 1_000.0 / percent;
        if !fit::is_valid(work) || ms > 1e7 {
            return None;
        }
        self.recorded = now;
        let uses_digest = self.uses_digest;
        let fits = &mut self.service(service)?.fits[kind as usize];
        fits.refresh(uses_digest, now);
        let expected = fits.fit.map(|fit| fit.expected_ms(work));
        fits.add(work, ms, expected, now);
        let expected = expected?;
        let place = self.place_or_insert(server)?;
        let value = (ms.max(1e-3) / expected).ln();
        let news = News {
            mean: value.clamp(-share::MAX_LOG, share::MAX_LOG),
            weight: 1.0,
            newest: now,
        };
        let track = self.servers[place].tracks[kind as usize].get_or_insert_default();
        let before = track.current(uses_digest, SPEED_HALF_LIFE, now);
        let variance = &mut self.variances[kind as usize];
        if before.weight >= MIN_SLOW_SAMPLES {
            // A shift is not noise.
            let square = (news.mean - before.mean()).powi(2).min(9.0 * *variance);
            *variance += DEVIATION_SMOOTHING * (square - *variance);
        }
        let deviation = variance.sqrt();
        track.own.add(news.mean, 1.0, SPEED_HALF_LIFE, now, now);
        let is_changed = track.add_speed(&news, true, deviation, now);
        if kind != Kind::Pace && track::is_surprising(&news, &before, deviation) {
            self.hurry(0, now);
            self.hurry(1, now);
        }
        if is_changed {
            self.hurry(2, now);
        }
        self.classify(place, kind, now);
        Some(ms / (expected * track::ratio(&before)))
    }

    fn place_or_insert(&mut self, server: &Name) -> Option<usize> {
        let hash = share::name_hash(server);
        match find_in(&self.servers, hash, server) {
            Ok(place) => Some(place),
            Err(_) if self.servers.len() >= MAX_SERVERS => None,
            Err(place) => {
                let server = Server {
                    hash,
                    name: server.clone(),
                    tracks: Default::default(),
                };
                // INVARIANT: inserted where the search ended.
                self.servers.insert(place, server);
                Some(place)
            }
        }
    }

    /// Records the load report of a response.
    ///
    /// Reports without the number of slots are not from model servers and are ignored.
    pub fn record_load(&mut self, service: &Name, load: &LoadReport, now: Time) {
        if load.slots.is_none() {
            return;
        }
        self.recorded = now;
        let Some(row) = self.service(service) else {
            return;
        };
        let news = News {
            mean: f64::from(u8::from(load.waiting > 0)),
            weight: 1.0,
            newest: now,
        };
        row.load.own.add(news.mean, 1.0, LOAD_HALF_LIFE, now, now);
        row.load.add_load(&news, true, now);
    }

    /// Returns how busy the servers of a service are, or `None` without recent reports.
    ///
    /// It covers the responses of all nodes whose shares arrive.
    pub fn utilization(&self, service: &str, now: Time) -> Option<Utilization> {
        let load = &self.services.get(service)?.load;
        let sum = load.current(self.uses_digest, LOAD_HALF_LIFE, now);
        (sum.weight >= sum::MIN_WEIGHT).then(|| Utilization {
            busy: sum.mean().clamp(0.0, 1.0),
            samples: sum.weight,
            age: now.since(sum.newest),
        })
    }

    /// Returns how long one kind of work takes at a server.
    pub fn ratio_of(&self, kind: Kind, server: &str, now: Time) -> Ratio {
        let place = find_in(&self.servers, share::name_hash(server), server);
        let track = place
            .ok()
            .and_then(|place| self.servers[place].tracks[kind as usize].as_deref());
        track.map_or(UNKNOWN, |track| self.judge(track, now))
    }

    pub(super) fn judge(&self, track: &Track, now: Time) -> Ratio {
        let sum = track.current(self.uses_digest, SPEED_HALF_LIFE, now);
        if sum.weight < sum::MIN_WEIGHT {
            return UNKNOWN;
        }
        Ratio {
            value: track::ratio(&sum),
            samples: sum.weight,
            age: now.since(sum.newest),
        }
    }

    /// Returns the expected time per token of an average server after the first bytes, or
    /// `None` before enough responses were seen.
    pub fn expected_pace(&self, service: &str, work: &Work) -> Option<Duration> {
        self.expected(service, Kind::Pace, work)
    }

    fn expected(&self, service: &str, kind: Kind, work: &Work) -> Option<Duration> {
        let fit = self.services.get(service)?.fits[kind as usize].fit?;
        let ms = Some(fit.expected_ms(work)).filter(|ms| (0.0..1e9).contains(ms))?;
        Some(Duration::from_secs_f64(ms / 1_000.0))
    }

    pub(super) fn refresh_fits(&mut self, now: Time) {
        for (_, service) in self.services.iter_mut() {
            for fits in &mut service.fits {
                fits.refresh(self.uses_digest, now);
            }
        }
    }
}

impl Estimates for SpeedTable {
    fn expected_first(&self, service: &str, work: &Work) -> Option<Duration> {
        let first = self.expected(service, Kind::First, work);
        first.or_else(|| self.expected(service, Kind::Plain, work))
    }

    fn ratio(&self, server: &str, now: Time) -> Ratio {
        let first = self.ratio_of(Kind::First, server, now);
        if first.samples > 0.0 {
            return first;
        }
        self.ratio_of(Kind::Plain, server, now)
    }
}

/// The ratio of a server without samples.
const UNKNOWN: Ratio = Ratio {
    value: 1.0,
    samples: 0.0,
    age: Duration::ZERO,
};

pub(super) fn find_in(servers: &[Server], hash: u32, name: &str) -> Result<usize, usize> {
    servers.binary_search_by(|row| (row.hash, &*row.name).cmp(&(hash, name)))
}
