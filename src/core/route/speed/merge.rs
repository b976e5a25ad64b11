//! Merging of what other nodes share.

use std::time::Duration;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::route::speed::Kind;
use crate::core::route::speed::share;
use crate::core::route::speed::share::Scope;
use crate::core::route::speed::share::Share;
use crate::core::route::speed::table::Server;
use crate::core::route::speed::table::Service;
use crate::core::route::speed::table::SpeedTable;
use crate::core::route::speed::track;
use crate::core::route::speed::track::LOAD_HALF_LIFE;
use crate::core::route::speed::track::SPEED_HALF_LIFE;
use crate::core::time::Time;

/// What became of a share.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Merged {
    /// Whether it was newer than the last one of its sender.
    pub is_new: bool,
    /// Rows that were used.
    pub used: u32,
    /// Rows of servers and services that are not known here.
    pub unknown: u32,
    /// Rows that no node can have computed.
    pub invalid: u32,
    /// Whether invalid rows are to be logged, which is so at most once a minute.
    pub is_logged: bool,
}

/// Interval at which invalid rows are logged at most.
const INVALID_INTERVAL: Duration = Duration::from_secs(60);

impl SpeedTable {
    /// Merges a share of another node.
    ///
    /// Each row replaces the last one of the same sender. Rows of unknown servers and
    /// invalid ones are ignored.
    pub fn merge(
        &mut self,
        sender: &Name,
        incarnation: u64,
        seq: u64,
        share: &Share,
        now: Time,
    ) -> Merged {
        let mut merged = self.merge_valid(sender, (incarnation, seq), share, now);
        let is_recent = |at: Time| now.since(at) < INVALID_INTERVAL;
        merged.is_logged = merged.invalid > 0 && !self.invalid_at.is_some_and(is_recent);
        if merged.is_logged {
            self.invalid_at = Some(now);
        }
        merged
    }

    fn merge_valid(
        &mut self,
        sender: &Name,
        number: (u64, u64),
        share: &Share,
        now: Time,
    ) -> Merged {
        let mut merged = Merged::default();
        let nodes = match share.scope {
            Scope::Entry => share.nodes == 1,
            _ => (1..=share::MAX_NODES).contains(&share.nodes),
        };
        if !nodes || share.rows.len() > share::MAX_ROWS || share.fits.len() > share::MAX_FITS {
            merged.invalid = (share.rows.len() + share.fits.len()) as u32;
            return merged;
        }
        let accepted = self
            .sources
            .accept(sender, number, share, SPEED_HALF_LIFE, now);
        let Some((source, is_used)) = accepted else {
            return merged;
        };
        merged.is_new = true;
        let is_domain = share.scope == Scope::Entry;
        let mut hurried = [false; 3];
        let mut touched = Vec::with_capacity(share.rows.len());
        for row in &share.rows {
            let Some(sum) = row.sum(share.nodes, now) else {
                merged.invalid += 1;
                continue;
            };
            let (hash, kind) = share::split(row.key());
            let half_life = kind.map_or(LOAD_HALF_LIFE, |_| SPEED_HALF_LIFE);
            let track = match kind {
                Some(kind) => sole(&self.servers, hash).map(|place| {
                    touched.push((place, kind));
                    &mut **self.servers[place].tracks[kind as usize].get_or_insert_default()
                }),
                None => service_of(&mut self.services, hash).map(|row| &mut row.load),
            };
            let Some(track) = track else {
                merged.unknown += 1;
                continue;
            };
            merged.used += 1;
            if share.scope == Scope::Fleet {
                if is_used {
                    track.digest = sum;
                }
                continue;
            }
            let news = source.replace(row.key(), sum, half_life);
            let Some(news) = news.filter(|_| is_used) else {
                continue;
            };
            match kind {
                Some(kind) => {
                    let deviation = self.variances[kind as usize].sqrt();
                    let known = track.current(self.uses_digest, half_life, now);
                    let is_surprising = track::is_surprising(&news, &known, deviation);
                    hurried[1] |= is_domain && is_surprising && kind != Kind::Pace;
                    hurried[2] |= track.add_speed(&news, is_domain, deviation, now);
                }
                None => track.add_load(&news, is_domain, now),
            }
        }
        for row in &share.fits {
            let (hash, kind) = share::split(row.key);
            let normal = row.normal(share.nodes, now);
            let (Some(normal), Some(kind)) = (normal, kind) else {
                merged.invalid += 1;
                continue;
            };
            let Some(service) = service_of(&mut self.services, hash) else {
                merged.unknown += 1;
                continue;
            };
            merged.used += 1;
            let fits = &mut service.fits[kind as usize];
            if share.scope == Scope::Fleet {
                if is_used {
                    fits.digest = normal;
                }
                continue;
            }
            let before = source.replace_fit(row.key, normal);
            if is_used {
                fits.merge(&before, &normal, is_domain, now);
            }
        }
        self.uses_digest = self.sources.prefers_digest(now);
        if !share.fits.is_empty() {
            self.refresh_fits(now);
        }
        for (scope, _) in hurried.iter().enumerate().filter(|row| *row.1) {
            self.hurry(scope, now);
        }
        for (place, kind) in touched {
            self.classify(place, kind, now);
        }
        merged
    }
}

/// Returns the server with a hash, unless there are several.
fn sole(servers: &[Server], hash: u32) -> Option<usize> {
    let first = servers.partition_point(|row| row.hash < hash);
    let is_match = |place: usize| servers.get(place).is_some_and(|row| row.hash == hash);
    (is_match(first) && !is_match(first + 1)).then_some(first)
}

fn service_of(services: &mut NameMap<Service>, hash: u32) -> Option<&mut Service> {
    let mut rows = services.iter_mut();
    rows.find(|(_, row)| row.hash == hash).map(|(_, row)| row)
}
