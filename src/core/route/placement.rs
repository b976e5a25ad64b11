//! Placement of requests by predicted time.
//!
//! The candidates of a request are the first usable servers of its session's order and one
//! drawn at random, from all or from those that hold the parts of its prompt. So the cost of
//! a choice does not grow with the number of servers.

use std::time::Duration;

use crate::core::Name;
use crate::core::fleet::work::WorkMeter;
use crate::core::name_map::NameMap;
use crate::core::request::PromptPart;
use crate::core::request::RequestInfo;
use crate::core::route::Forecast;
use crate::core::route::parts::Parts;
use crate::core::route::predicted;
use crate::core::route::predicted::Inputs;
use crate::core::route::predicted::Prediction;
use crate::core::route::predicted::Prior;
use crate::core::route::probing::Known;
use crate::core::route::probing::Probing;
use crate::core::route::ring::Ring;
use crate::core::route::ring::Rings;
use crate::core::route::servers::Filter;
use crate::core::route::servers::LoadReport;
use crate::core::route::servers::Servers;
use crate::core::route::servers::Vm;
use crate::core::route::servers::standing::Standing;
use crate::core::route::speed::Estimates;
use crate::core::route::speed::Work;
use crate::core::time::Time;

/// Number of candidates for a request.
const CANDIDATES: usize = 4;

/// Candidates of a session that are taken from its order.
const ORDERED: usize = 3;

/// Maximum number of servers of an order that are looked at.
const MAX_WALK: usize = 64;

/// Seed of the random number that draws a holder of the prompt's parts.
const HOLDER_SEED: u64 = 1;

/// Maximum number of random draws for a candidate.
const MAX_DRAWS: u64 = 16;

/// Time for which a request counts as waiting without a newer report of its server.
const SENT_RETENTION: Duration = Duration::from_secs(1);

/// Time that a request takes to reach its server at most.
///
/// A report that is that little younger may not include it yet.
const TRANSIT_TIME: Duration = Duration::from_millis(2);

/// The properties of a request that its placement depends on.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// Parts of the prompt that other requests may share.
    pub parts: &'a [PromptPart],
    /// Key of the session, if any.
    pub session: Option<u64>,
    /// Tokens of the prompt; 0 for a plain call.
    pub tokens: f64,
    /// Tokens of the response.
    pub output_tokens: f64,
    /// Random number of the attempt, which draws candidates.
    pub draw: u64,
}

impl<'a> Prompt<'a> {
    /// Creates the properties of a request.
    pub fn new(request: &'a RequestInfo, draw: u64) -> Self {
        let stated = request.tokens.unwrap_or_default();
        let parts: u64 = request
            .parts
            .iter()
            .map(|part| u64::from(part.tokens))
            .sum();
        Self {
            parts: request.shared_parts(),
            session: request.session_key(),
            tokens: (parts as f64).max(f64::from(stated.prompt)),
            output_tokens: f64::from(stated.max_output),
            draw,
        }
    }
}

/// A request that is to be placed, and what is known at that moment.
#[derive(Clone, Copy)]
pub struct Query<'a> {
    /// The servers.
    pub servers: &'a Servers,
    /// What was learned of the time that requests take.
    pub estimates: &'a dyn Estimates,
    /// Conditions on the candidates.
    pub filter: Filter<'a>,
    /// The request.
    pub prompt: Prompt<'a>,
    /// Current time.
    pub now: Time,
}

/// A candidate for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Seat {
    /// The server.
    pub id: Name,
    /// What is known of it.
    pub standing: Standing,
}

/// The server that a request is placed at.
#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    /// The server.
    pub id: Name,
    /// Sizes of the request and expected load of the server.
    pub work: Work,
    /// Predicted time, if enough is known.
    pub forecast: Option<Forecast>,
}

/// State of the placement by predicted time at one node.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    rings: Rings,
    parts: Parts,
    priors: NameMap<Prior>,
    /// Work of the requests of each service.
    meters: NameMap<WorkMeter>,
    /// Requests of this node by server: when they were placed, and their uncached tokens.
    sent: NameMap<Vec<(Time, f64)>>,
    /// Which servers are probed.
    pub probing: Probing,
}

impl Placement {
    /// Creates a placement without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the servers from a list.
    pub fn update(&mut self, list: &[Vm]) {
        self.rings.update(list);
        let mut ids: Vec<&str> = list.iter().map(|vm| &*vm.id).collect();
        ids.sort_unstable();
        let is_listed = |id: &str| ids.binary_search(&id).is_ok();
        self.sent.retain(|id, _| is_listed(id));
        self.probing.retain(is_listed);
    }

    /// Returns whether the requests of a service are placed by predicted time.
    pub fn is_active(&self, service: &str) -> bool {
        self.priors.get(service).is_some_and(Prior::is_active)
    }

    /// Records a load report of a server, and returns whether its service is placed by
    /// another policy from now on.
    ///
    /// `before` is the previous report of the server and its time.
    pub fn record_load(
        &mut self,
        service: &Name,
        load: &LoadReport,
        before: Option<(LoadReport, Time)>,
        now: Time,
    ) -> bool {
        let prior = self.priors.get_or_insert_with(service, Prior::new);
        if let Some((before, at)) = before {
            prior.record_slowness(&before, load, now.since(at));
        }
        prior.record_load(load)
    }

    /// Returns the mean time for which a server of a service stays slower than usual.
    pub fn slowness(&self, service: &str) -> Option<Duration> {
        let prior = self.priors.get(service)?;
        Some(Duration::from_secs_f64(prior.slowness_ms() / 1_000.0))
    }

    /// Records the time until a response began.
    pub fn record_first(&mut self, service: &Name, work: &Work, took: Duration) {
        let Some(prior) = self.priors.get_mut(service) else {
            return;
        };
        prior.record_first(work, took);
        if prior.is_active() {
            let meter = self.meters.get_or_insert_with(service, WorkMeter::new);
            meter.record(work);
        }
    }

    /// Returns the mean time for which a request keeps a server of the service busy until
    /// its response begins, if it is known.
    pub fn mean_work(&self, service: &str, estimates: &dyn Estimates) -> Option<Duration> {
        self.meters.get(service)?.mean(service, estimates)
    }

    /// Returns the candidates for a request.
    pub fn candidates(&self, query: &Query<'_>) -> Vec<Seat> {
        let Query { filter, prompt, .. } = query;
        let rings: Vec<&Ring> = self.rings.of(filter.service, filter.version).collect();
        let total: usize = rings.iter().map(|ring| ring.len()).sum();
        let mut seats: Vec<Seat> = Vec::with_capacity(CANDIDATES);
        let add = |id: &Name, seats: &mut Vec<Seat>| {
            let is_known = seats.iter().any(|seat| seat.id == *id);
            if is_known || filter.excluded.contains(id) {
                return;
            }
            if let Some(standing) = query.servers.standing(id, query.now) {
                let id = id.clone();
                seats.push(Seat { id, standing });
            }
        };
        // The servers of several versions have one order each. Requests that may go to any
        // version take the order of the largest.
        let largest = rings.iter().max_by_key(|ring| ring.len());
        if let (Some(session), Some(ring)) = (prompt.session, largest) {
            for id in ring.order(session).take(MAX_WALK) {
                add(id, &mut seats);
                if seats.len() == ORDERED {
                    break;
                }
            }
        }
        // Once more servers than those of the order hold the parts, they are used further.
        let drawn = xxhash_rust::xxh3::xxh3_64_with_seed(&prompt.draw.to_le_bytes(), HOLDER_SEED);
        if let (Some(part), true) = (prompt.parts.last(), drawn.is_multiple_of(2))
            && let Some(id) = self.parts.holder(part.id, drawn, query.now)
        {
            add(id, &mut seats);
        }
        for draw in 0..MAX_DRAWS {
            if seats.len() == CANDIDATES || seats.len() == total {
                break;
            }
            let key = prompt.draw.wrapping_add(draw).to_le_bytes();
            let random = xxhash_rust::xxh3::xxh3_64(&key);
            let at = u128::from(random) * total as u128;
            let mut index = (at >> 64) as usize;
            for ring in &rings {
                if index < ring.len() {
                    add(ring.get(index), &mut seats);
                    break;
                }
                index -= ring.len();
            }
        }
        seats
    }

    /// Returns the candidates that are to be probed next, at the same time, before a request
    /// is placed.
    ///
    /// `asked` are those that were probed for the request before. At first only the best
    /// candidate is probed, and then those that can be better.
    pub fn to_probe(&self, query: &Query<'_>, asked: &[Name]) -> Vec<Name> {
        let Query {
            filter,
            prompt,
            now,
            ..
        } = query;
        let Some(prior) = self.priors.get(filter.service).filter(|p| p.is_active()) else {
            return Vec::new();
        };
        let work = Work {
            uncached_tokens: prompt.tokens,
            output_tokens: prompt.output_tokens,
            ..Work::default()
        };
        let expected = query.estimates.expected_first(filter.service, &work);
        let expected = expected.or_else(|| prior.expected_first(&work));
        let is_worth = match expected {
            Some(time) => self.probing.is_worth(time, *now),
            None => prompt.tokens > 0.0,
        };
        if !is_worth {
            return Vec::new();
        }
        let seats = self.candidates(query);
        if seats.len() < 2 {
            return Vec::new();
        }
        let predictions = self.predict(prior, query, &seats, false);
        let if_idle = self.predict(prior, query, &seats, true);
        let options: Vec<Known<'_>> = seats
            .iter()
            .zip(predictions.iter().zip(&if_idle))
            .map(|(seat, (prediction, if_idle))| Known {
                id: &seat.id,
                standing: &seat.standing,
                cost: prediction.cost,
                lowest_cost: if_idle.cost,
            })
            .collect();
        let best = predicted::choose(&predictions).unwrap_or_default();
        self.probing.select(&options, best, asked, *now)
    }

    /// Predicts the time of a request at each candidate, or what it would be if the
    /// candidate were idle.
    fn predict(
        &self,
        prior: &Prior,
        query: &Query<'_>,
        seats: &[Seat],
        if_idle: bool,
    ) -> Vec<Prediction> {
        let Query {
            filter,
            prompt,
            now,
            ..
        } = query;
        let predictions = seats.iter().enumerate().map(|(index, seat)| {
            let is_first = index == 0 && filter.excluded.is_empty();
            let is_home = is_first && prompt.session.is_some();
            let mut standing = seat.standing;
            if if_idle {
                standing.load = Some((LoadReport::default(), *now));
            }
            let inputs = Inputs {
                uncached_tokens: self.uncached_tokens(prompt, &seat.id, is_home, *now),
                output_tokens: prompt.output_tokens,
                standing,
                sent_tokens: self.sent_tokens(&seat.id, seat.standing.load, *now),
                ratio: query.estimates.ratio(&seat.id, *now),
            };
            let work = prior.work(&inputs, *now);
            let expected = query.estimates.expected_first(filter.service, &work);
            prior.predict(work, &inputs, expected, *now)
        });
        predictions.collect()
    }

    /// Places a request, or returns `None` if no candidate accepts it.
    pub fn choose(&mut self, query: &Query<'_>) -> Option<Placed> {
        let seats = self.candidates(query);
        let prior = self.priors.get(query.filter.service)?;
        let predictions = self.predict(prior, query, &seats, false);
        let at = predicted::choose(&predictions)?;
        let placed = Placed {
            id: seats[at].id.clone(),
            work: predictions[at].work,
            forecast: predictions[at].forecast,
        };
        self.record_sent(query.filter.service, &query.prompt, &placed, query.now);
        Some(placed)
    }

    /// Returns the prompt tokens that a server is not expected to hold.
    ///
    /// The first server of a session's order is expected to hold the shared parts, since
    /// all nodes send them there.
    fn uncached_tokens(&self, prompt: &Prompt<'_>, id: &str, is_home: bool, now: Time) -> f64 {
        let held: f64 = if is_home {
            prompt.parts.iter().map(|part| f64::from(part.tokens)).sum()
        } else {
            self.parts.held_tokens(prompt.parts, id, now)
        };
        (prompt.tokens - held).max(0.0)
    }

    /// Returns the uncached tokens of this node's requests since a server's last report.
    fn sent_tokens(&self, id: &str, load: Option<(LoadReport, Time)>, now: Time) -> f64 {
        let reported = load.map_or(Time::default(), |(_, at)| at);
        let since = reported
            .before(TRANSIT_TIME)
            .max(now.before(SENT_RETENTION));
        let sent = self.sent.get(id).into_iter().flatten();
        sent.filter(|(at, _)| *at > since).map(|row| row.1).sum()
    }

    fn record_sent(&mut self, service: &str, prompt: &Prompt<'_>, placed: &Placed, now: Time) {
        let tokens = placed.work.uncached_tokens.max(1.0);
        let sent = self.sent.get_or_insert_with(&placed.id, Vec::new);
        sent.retain(|(at, _)| now.since(*at) < SENT_RETENTION);
        sent.push((now, tokens));
        if let Some(prior) = self.priors.get_mut(service) {
            prior.record_request(tokens);
        }
        self.parts.record(prompt.parts, &placed.id, now);
    }
}
