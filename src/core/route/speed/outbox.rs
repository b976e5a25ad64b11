//! Choice of what a share holds.

use std::time::Duration;

use crate::core::Name;
use crate::core::route::speed::Kind;
use crate::core::route::speed::share;
use crate::core::route::speed::share::Audience;
use crate::core::route::speed::share::FIT_BYTES;
use crate::core::route::speed::share::FitRow;
use crate::core::route::speed::share::ROW_BYTES;
use crate::core::route::speed::share::Row;
use crate::core::route::speed::share::Scope;
use crate::core::route::speed::share::Share;
use crate::core::route::speed::sum::Sum;
use crate::core::route::speed::table::ROLE_TIMEOUT;
use crate::core::route::speed::table::SpeedTable;
use crate::core::route::speed::track::LOAD_HALF_LIFE;
use crate::core::route::speed::track::SPEED_HALF_LIFE;
use crate::core::route::speed::track::Sent;
use crate::core::route::speed::track::Track;
use crate::core::time::Time;

/// Shortest time between two shares of one scope.
///
/// Urgent heartbeats, which are sent beside the regular ones, cause no further shares.
const MIN_INTERVAL: Duration = Duration::from_millis(400);

/// Shortest time between two shares of one scope that are sent between the rounds because
/// a server has changed.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);

/// Change of a mean logarithm from which on it is sent between the rounds.
const URGENT_CHANGE: f64 = 0.3;

/// Time after which a row without new samples is sent again, as the last one may be lost.
const REPEAT: Duration = Duration::from_secs(2);

/// Time after which normal equations are sent again.
const FIT_INTERVAL: Duration = Duration::from_secs(3);

/// Weight of the samples below which a row is not sent.
const MIN_WEIGHT: f64 = 0.05;

/// Rows without new samples in one report of a node to its aggregators.
///
/// An aggregator takes 1.2 us for each row (measured), and can have 650 reporters.
const MAX_REPEATED: usize = 8;

/// Importance of the time per token relative to that of the other times.
///
/// Placement depends on the time to the first bytes; in a mesh of 16 nodes there are
/// bytes for a third of both.
const PACE_IMPORTANCE: f64 = 0.25;

/// Time for which an aggregator collects before it sends digests beside those of others.
///
/// It does not hear at once what the other aggregators have known for long.
const COLLECTING_TIME: Duration = Duration::from_secs(4);

/// Shares whose unused bytes add up.
const MAX_CREDIT: f64 = 3.0;

struct Choice {
    score: f64,
    has_news: bool,
    change: f64,
    server: usize,
    kind: Kind,
    sum: Sum,
}

/// Returns how important sums are, or `None` if they need not be sent now.
///
/// Those that have changed most come first, then those that deviate most.
fn score(sum: &Sum, sent: &Sent, now: Time) -> Option<(f64, bool, f64)> {
    // After the clock was set back, nothing counts as sent.
    let unsent = Sent::default();
    let sent = if sent.at > now { &unsent } else { sent };
    let has_news = sum.newest > sent.newest;
    let age = now.since(sent.at);
    if sum.weight < MIN_WEIGHT || (!has_news && age < REPEAT) {
        return None;
    }
    let change = (sum.mean() - sent.mean).abs();
    let waiting = 0.1 * age.as_secs_f64().min(10.0);
    let news = if has_news { 0.3 } else { 0.0 };
    Some((
        4.0 * change + 0.2 * sum.mean().abs() + waiting + news,
        has_news,
        change,
    ))
}

fn mark(track: &mut Track, scope: usize, sum: &Sum, now: Time) {
    track.sent[scope] = Sent {
        mean: sum.mean(),
        newest: sum.newest,
        at: now,
    };
}

impl SpeedTable {
    /// Returns what this node knows from its own responses, or `None` if there is nothing
    /// to send now.
    pub fn own_share(&mut self, node: &Name, audience: Audience, now: Time) -> Option<Share> {
        self.share(node, Scope::Entry, audience, now)
    }

    /// Returns what this node knows from the nodes that report to it, as an aggregator of
    /// `domain`.
    pub fn domain_share(
        &mut self,
        node: &Name,
        domain: &Name,
        audience: Audience,
        now: Time,
    ) -> Option<Share> {
        self.share(node, Scope::Domain(domain.clone()), audience, now)
    }

    /// Returns what this node knows of all nodes, as an aggregator.
    pub fn fleet_share(&mut self, node: &Name, audience: Audience, now: Time) -> Option<Share> {
        let (since, last) = self.collecting.unwrap_or((now, now));
        let since = if now.since(last) < ROLE_TIMEOUT {
            since
        } else {
            now
        };
        self.collecting = Some((since, now));
        let is_first = self.sources.digest_nodes(now) == 0;
        let is_complete = is_first || now.since(since) >= COLLECTING_TIME;
        // What came from another aggregator is not passed on.
        if !is_complete || self.sources.prefers_digest(now) {
            return None;
        }
        self.share(node, Scope::Fleet, audience, now)
    }

    fn share(&mut self, node: &str, scope: Scope, audience: Audience, now: Time) -> Option<Share> {
        let at = scope.index();
        let last = self.shared[at];
        let is_round = last > now || now.since(last) >= MIN_INTERVAL;
        let is_urgent = self.urgent[at] && now.since(self.hurried[at]) >= URGENT_INTERVAL;
        if !is_round && !is_urgent {
            return None;
        }
        self.urgent[at] = false;
        let message = audience.message_bytes();
        if is_round {
            self.shared[at] = now;
            self.credit[at] = (self.credit[at] + message).min(MAX_CREDIT * message);
        } else {
            self.hurried[at] = now;
        }
        // A share between the rounds uses the bytes of the next one.
        let ahead = if is_round { 0.0 } else { message };
        let credit = self.credit[at] + ahead;
        let header = share::header_bytes(node, &scope) as f64;
        let mut left = (credit - header).max(0.0) as usize;
        let mut share = Share {
            nodes: match scope {
                Scope::Entry => 1,
                Scope::Domain(_) => self.sources.domain_nodes(now),
                Scope::Fleet => self.sources.nodes(now),
            },
            scope,
            rows: Vec::new(),
            fits: Vec::new(),
        };
        if is_round {
            self.add_loads(&mut share, &mut left, now);
            self.add_fits(&mut share, &mut left, now);
        }
        self.add_speeds(&mut share, left, is_round, now);
        if share.rows.is_empty() && share.fits.is_empty() {
            return None;
        }
        let used = header + (share.rows.len() * ROW_BYTES + share.fits.len() * FIT_BYTES) as f64;
        self.credit[at] -= used;
        self.seq += 1;
        Some(share)
    }

    fn add_loads(&mut self, share: &mut Share, left: &mut usize, now: Time) {
        let scope = share.scope.index();
        for (_, service) in self.services.iter_mut() {
            let sum = service.load.scope(scope, LOAD_HALF_LIFE, now);
            let is_due = score(&sum, &service.load.sent[scope], now).is_some();
            if !is_due || *left < ROW_BYTES {
                continue;
            }
            share
                .rows
                .push(Row::new(share::key(service.hash, None), &sum, now));
            *left -= ROW_BYTES;
            mark(&mut service.load, scope, &sum, now);
        }
    }

    /// Adds the normal equations that were not sent for the longest time.
    ///
    /// If they do not fit, a part of the bytes is kept for the next share.
    fn add_fits(&mut self, share: &mut Share, left: &mut usize, now: Time) {
        let scope = share.scope.index();
        let mut due = Vec::new();
        for (_, service) in self.services.iter_mut() {
            for (kind, fits) in Kind::ALL.into_iter().zip(&mut service.fits) {
                let sums = [&fits.own, &fits.domain, &fits.fleet];
                let normal = sums[scope].decayed(now);
                let sent = Some(fits.sent[scope]).filter(|at| *at <= now);
                let sent = sent.unwrap_or_default();
                let is_new = normal.newest > sent;
                if is_new && now.since(sent) >= FIT_INTERVAL && normal.samples >= MIN_WEIGHT {
                    due.push((sent, share::key(service.hash, Some(kind)), normal, fits));
                }
            }
        }
        due.sort_unstable_by_key(|row| row.0);
        for (_, key, normal, fits) in due.into_iter().take(share::MAX_FITS) {
            if *left < FIT_BYTES {
                *left /= 2;
                return;
            }
            share.fits.push(FitRow::new(key, &normal, now));
            *left -= FIT_BYTES;
            fits.sent[scope] = now;
        }
    }

    fn add_speeds(&mut self, share: &mut Share, left: usize, is_round: bool, now: Time) {
        let scope = share.scope.index();
        let mut choices = Vec::new();
        for (place, server) in self.servers.iter().enumerate() {
            for (kind, track) in Kind::ALL.into_iter().zip(&server.tracks) {
                let Some(track) = track else { continue };
                let sum = track.scope(scope, SPEED_HALF_LIFE, now);
                let importance = match kind {
                    Kind::Pace => PACE_IMPORTANCE,
                    _ => 1.0,
                };
                if let Some((score, has_news, change)) = score(&sum, &track.sent[scope], now) {
                    choices.push(Choice {
                        score: score * importance,
                        has_news,
                        change,
                        server: place,
                        kind,
                        sum,
                    });
                }
            }
        }
        if !is_round {
            choices.retain(|row| row.has_news && row.change >= URGENT_CHANGE);
        }
        let limit = (left / ROW_BYTES).min(share::MAX_ROWS - share.rows.len());
        if choices.len() > limit {
            choices.select_nth_unstable_by(limit, |a, b| b.score.total_cmp(&a.score));
            choices.truncate(limit);
        }
        let mut repeated = 0;
        for choice in choices {
            repeated += usize::from(!choice.has_news);
            if !choice.has_news && repeated > MAX_REPEATED && share.scope == Scope::Entry {
                continue;
            }
            let server = &mut self.servers[choice.server];
            let key = share::key(server.hash, Some(choice.kind));
            share.rows.push(Row::new(key, &choice.sum, now));
            if let Some(track) = &mut server.tracks[choice.kind as usize] {
                mark(track, scope, &choice.sum, now);
            }
        }
    }
}
