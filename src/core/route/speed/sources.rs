//! Nodes that share what they know, and what each of them has sent.

use std::time::Duration;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::route::speed::fit::Normal;
use crate::core::route::speed::share::Scope;
use crate::core::route::speed::share::Share;
use crate::core::route::speed::sum::Sum;
use crate::core::route::speed::track::News;
use crate::core::time::Time;

/// Time without a share after which what its sender knows is not counted on.
pub const TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a share of an aggregator after which another one of its domain is used.
const DOMAIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without a share after which a sender is forgotten.
const RETENTION: Duration = Duration::from_secs(30);

/// Maximum number of senders of each scope.
const MAX_SOURCES: usize = 1_400;

/// Maximum number of failure domains.
const MAX_DOMAINS: usize = 64;

/// Maximum number of rows kept of a sender.
const MAX_ROWS: usize = 512;

/// Maximum number of rows kept of a sender that knows many nodes.
const MAX_WIDE_ROWS: usize = 8_192;

/// Weight below which a row is dropped if there are too many.
const MIN_WEIGHT: f64 = 0.1;

/// Part of the nodes of the widest share that another one must know to be used.
const MIN_COVERAGE: f64 = 0.9;

/// What one node has sent in one scope.
#[derive(Debug, Default)]
pub struct Source {
    number: (u64, u64),
    heard: Time,
    nodes: u32,
    rows: Vec<(u32, Sum)>,
    fits: Vec<(u32, Normal)>,
}

impl Source {
    /// Replaces the sums of a key, and returns the samples that they hold more.
    ///
    /// The samples of a lost message are in the next one with the same key.
    pub fn replace(&mut self, key: u32, sum: Sum, half_life: Duration) -> Option<News> {
        match self.rows.binary_search_by_key(&key, |row| row.0) {
            Ok(place) => {
                let known = &mut self.rows[place].1;
                let news = News::between(&known.decayed(half_life, sum.at), &sum);
                *known = sum;
                news
            }
            Err(place) => {
                self.rows.insert(place, (key, sum));
                News::between(&Sum::default(), &sum)
            }
        }
    }

    /// Replaces the normal equations of a key, and returns those before, decayed.
    pub fn replace_fit(&mut self, key: u32, normal: Normal) -> Normal {
        match self.fits.binary_search_by_key(&key, |row| row.0) {
            Ok(place) => {
                let known = std::mem::replace(&mut self.fits[place].1, normal);
                known.decayed(normal.at)
            }
            Err(place) => {
                self.fits.insert(place, (key, normal));
                Normal::default()
            }
        }
    }

    /// Makes room for the rows of another message.
    fn prune(&mut self, scope: &Scope, half_life: Duration, now: Time) {
        let limit = match scope {
            Scope::Entry => MAX_ROWS,
            _ => MAX_WIDE_ROWS,
        };
        if self.rows.len() > limit {
            self.rows
                .retain(|(_, sum)| sum.decayed(half_life, now).weight >= MIN_WEIGHT);
            self.rows.truncate(limit);
        }
    }
}

/// All nodes that share what they know.
#[derive(Debug, Default)]
pub struct Sources {
    by_scope: [NameMap<Source>; 3],
    /// The aggregator whose share of a domain is used, by domain.
    used: NameMap<Name>,
    heard: Option<Time>,
}

impl Sources {
    /// Returns the source of a share, and whether its samples are to be used.
    ///
    /// Returns `None` if the share is not newer than the last one of its sender.
    pub fn accept(
        &mut self,
        sender: &Name,
        number: (u64, u64),
        share: &Share,
        half_life: Duration,
        now: Time,
    ) -> Option<(&mut Source, bool)> {
        let scope = share.scope.index();
        let is_known = self.by_scope[scope].get(sender).is_some();
        if !is_known && self.by_scope[scope].len() >= MAX_SOURCES {
            return None;
        }
        if let Some(source) = self.by_scope[scope].get(sender) {
            let is_silent = now.since(source.heard) >= TIMEOUT;
            if number <= source.number && !(is_silent && number.0 != source.number.0) {
                return None;
            }
        }
        self.heard = Some(now);
        let is_used = match &share.scope {
            Scope::Entry => true,
            Scope::Domain(domain) => self.is_used(domain, sender, now),
            Scope::Fleet => {
                let widest = f64::from(self.digest_nodes(now));
                f64::from(share.nodes) >= MIN_COVERAGE * widest
            }
        };
        let source = self.by_scope[scope].get_or_insert_with(sender, Source::default);
        if source.number.0 != number.0 {
            *source = Source::default();
        }
        source.number = number;
        source.heard = now;
        source.nodes = share.nodes;
        source.prune(&share.scope, half_life, now);
        Some((source, is_used))
    }

    /// Returns whether the shares of an aggregator are those used for a domain.
    ///
    /// Several aggregators of a domain hold the same samples.
    fn is_used(&mut self, domain: &Name, sender: &Name, now: Time) -> bool {
        if self.used.get(domain).is_none() && self.used.len() >= MAX_DOMAINS {
            return false;
        }
        let used = self.used.get_or_insert_with(domain, || sender.clone());
        if used == sender {
            return true;
        }
        let source = self.by_scope[1].get(used);
        let is_silent = source.is_none_or(|row| now.since(row.heard) >= DOMAIN_TIMEOUT);
        if is_silent {
            *used = sender.clone();
        }
        is_silent
    }

    fn fresh(&self, scope: usize, now: Time) -> impl Iterator<Item = (&Name, &Source)> {
        let sources = self.by_scope[scope].iter();
        sources.filter(move |(_, source)| now.since(source.heard) < TIMEOUT)
    }

    /// Returns the number of nodes of this failure domain whose samples are known.
    pub fn domain_nodes(&self, now: Time) -> u32 {
        1 + self.fresh(0, now).count() as u32
    }

    /// Returns the number of nodes whose samples are known without a digest.
    pub fn nodes(&self, now: Time) -> u32 {
        let is_used = |name: &Name| self.used.iter().any(|(_, used)| used == name);
        let domains = self.fresh(1, now).filter(|(name, _)| is_used(name));
        let others: u32 = domains.map(|(_, source)| source.nodes).sum();
        self.domain_nodes(now).saturating_add(others)
    }

    /// Returns the number of nodes whose samples a digest holds.
    pub fn digest_nodes(&self, now: Time) -> u32 {
        let nodes = self.fresh(2, now).map(|(_, source)| source.nodes);
        nodes.max().unwrap_or_default()
    }

    /// Returns whether digests know clearly more nodes than this node.
    pub fn prefers_digest(&self, now: Time) -> bool {
        f64::from(self.nodes(now)) < MIN_COVERAGE * f64::from(self.digest_nodes(now))
    }

    /// Returns the time of the last share, if there was one.
    pub const fn heard(&self) -> Option<Time> {
        self.heard
    }

    /// Forgets the nodes that are silent.
    pub fn expire(&mut self, now: Time) {
        for sources in &mut self.by_scope {
            sources.retain(|_, source| now.since(source.heard) < RETENTION);
        }
        let domains = &self.by_scope[1];
        self.used.retain(|_, name| domains.get(name).is_some());
    }
}
