//! The part of this entry in the aggregation of a large deployment.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::aggregate::collector::Collector;
use crate::core::aggregate::ranking;
use crate::core::aggregate::ranking::Contacts;
use crate::core::aggregate::ranking::Ranked;
use crate::core::aggregate::summary::DomainSummary;
use crate::core::aggregate::summary::Summary;
use crate::core::aggregate::view::FleetView;
use crate::core::name_map::NameMap;
use crate::core::peer::NodeStatus;
use crate::core::peer::QuotaUsage;
use crate::core::time::Time;
use crate::entry::adapter::DeclaredMove;
use crate::entry::membership::State;

/// Time without a report after which an entry gets no more digests.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which a list of aggregators is used that another entry has sent.
const RANKING_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a relay keeps its role after the last query from another entry.
const RELAY_HOLD: Duration = Duration::from_secs(2);

/// Time for which a relay that did not answer is not queried.
const SILENT_RELAY_TIME: Duration = Duration::from_secs(2);

/// Time for which a clock offset is used.
const OFFSET_TIMEOUT: Duration = Duration::from_secs(30);

/// Aggregators of a failure domain that a digest names.
const MAX_NAMED: usize = 8;

/// The state of the fleet, as an aggregator sends it to the entries that report to
/// it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// The aggregator.
    pub node: Name,
    /// Incarnation of the aggregator.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub seq: u64,
    /// Median of the clocks in the failure domain.
    pub time: Time,
    /// State of all entries.
    pub fleet: Summary,
    /// The first entries of the failure domain in the order in which they serve as
    /// aggregators, if the sender follows the registrations in the store.
    pub ranked: Option<Vec<(Name, SocketAddr)>>,
    /// Declared version moves and the revision of the store that they reflect.
    pub moves: Option<(u64, Vec<DeclaredMove>)>,
}

/// An entry that reports to this aggregator.
#[derive(Clone, Copy, Debug)]
struct Reporter {
    peer: SocketAddr,
    heard_at: Time,
}

/// What this entry knows as an aggregator, and from its aggregators.
#[derive(Default)]
pub(super) struct Aggregation {
    /// Which aggregators respond.
    pub contacts: Contacts,
    /// Summaries of the failure domains.
    pub collector: Collector,
    /// State of the fleet.
    pub view: FleetView,
    /// Aggregators of the own failure domain, in order.
    ranked: Vec<(Name, SocketAddr)>,
    /// Time at which another entry sent `ranked`.
    ranked_at: Option<Time>,
    reporters: NameMap<Reporter>,
    /// Units admitted in the own failure domain, by workspace.
    admitted: NameMap<f64>,
    /// Units of this entry that `admitted` includes.
    own_admitted: NameMap<f64>,
    /// Incarnation and sequence number of the last digest of each aggregator.
    digests: NameMap<(u64, u64)>,
    /// Clock of the fleet minus the local clock in microseconds, and when it was
    /// received.
    offset: Option<(i64, Time)>,
    queried_at: Option<Time>,
    silent_relay: Option<(Name, Time)>,
    acting_since: Option<Time>,
    last_digest: Option<Digest>,
}

impl Aggregation {
    /// Records a heartbeat that an entry of the own failure domain sent directly.
    ///
    /// Returns the last digest if the entry did not report before, so that it does
    /// not have to wait for the next one.
    pub fn record_report(&mut self, status: &NodeStatus, now: Time) -> Option<Digest> {
        let reporter = Reporter {
            peer: status.peer,
            heard_at: now,
        };
        let known = self.reporters.insert(status.node.clone(), reporter);
        if known.is_some() {
            return None;
        }
        self.last_digest.clone()
    }

    /// Returns the entries that reported recently, with their addresses.
    pub fn reporters(&mut self, now: Time) -> Vec<SocketAddr> {
        self.reporters
            .retain(|_, row| now.since(row.heard_at) < REPORT_TIMEOUT);
        self.reporters.iter().map(|(_, row)| row.peer).collect()
    }

    /// Records that another entry queried this one as its relay.
    pub fn record_query(&mut self, now: Time) {
        self.queried_at = Some(now);
    }

    /// Records that a relay did not answer.
    pub fn record_silent_relay(&mut self, relay: Name, now: Time) {
        self.silent_relay = Some((relay, now));
    }

    /// Returns whether a digest is newer than the last one of its sender, and
    /// records it.
    pub fn is_newer(&mut self, digest: &Digest) -> bool {
        let last = self.digests.get_or_insert_with(&digest.node, || (0, 0));
        let number = (digest.incarnation, digest.seq);
        let is_newer = number > *last;
        *last = number.max(*last);
        is_newer
    }

    /// Stores the order of the aggregators, as sent by another entry.
    pub fn set_ranked(&mut self, ranked: Vec<(Name, SocketAddr)>, now: Time) {
        self.ranked = ranked;
        self.ranked_at = Some(now);
    }

    /// Stores the clock of the fleet, as received at `now`.
    pub fn set_time(&mut self, fleet: Time, now: Time) {
        self.offset = Some((fleet.0 as i64 - now.0 as i64, now));
    }

    /// Returns the clock of the fleet minus the local clock, in microseconds.
    pub fn clock_offset(&self, now: Time) -> Option<i64> {
        let (offset, at) = self.offset?;
        (now.since(at) < OFFSET_TIMEOUT).then_some(offset)
    }

    /// Returns the entry that relays store changes to this one, and its address.
    ///
    /// It is the first aggregator of the failure domain that responds. A relay
    /// keeps its role until no other entry queries it any more.
    pub fn relay(&self, own: &str, now: Time) -> Option<(Name, SocketAddr)> {
        let recent = |at: Time| now.since(at) < RELAY_HOLD;
        if self.queried_at.is_some_and(recent) {
            return None;
        }
        let is_silent = |node: &Name| {
            let silent = self.silent_relay.as_ref();
            silent.is_some_and(|(relay, at)| relay == node && now.since(*at) < SILENT_RELAY_TIME)
        };
        let first = self.ranked.iter().find(|(node, _)| {
            **node == *own || (self.contacts.is_responsive(node, now) && !is_silent(node))
        })?;
        (*first.0 != *own).then(|| first.clone())
    }

    /// Returns whether an entry is the first aggregator of the own failure domain.
    pub fn is_first(&self, node: &str) -> bool {
        self.ranked
            .first()
            .is_some_and(|(first, _)| **first == *node)
    }

    /// Returns whether this entry has been an aggregator for `span`.
    pub fn has_acted_for(&self, span: Duration, now: Time) -> bool {
        self.acting_since.is_some_and(|at| now.since(at) >= span)
    }
}

/// Messages that an entry sends in one round.
#[derive(Default)]
pub(super) struct Round {
    /// Aggregators to report to.
    pub aggregators: Vec<SocketAddr>,
    /// The summary of the own failure domain, and where to send it.
    pub summary: Option<(DomainSummary, Vec<SocketAddr>)>,
    /// State of the fleet for the entries that report to this one, and where to
    /// send it.
    pub digest: Option<(Digest, Vec<SocketAddr>)>,
    /// Whether this entry began or ceased to be an aggregator in this round.
    pub role_change: Option<bool>,
}

impl State {
    /// Returns the messages of a round; `own` is the status of this entry, and
    /// `moves` are the declared version moves that it knows.
    ///
    /// `is_following` says whether this entry follows the registrations in the
    /// store, and `random` selects the caller addresses in the summaries.
    pub(super) fn aggregate(
        &mut self,
        own: &NodeStatus,
        moves: Option<(u64, Vec<DeclaredMove>)>,
        is_following: bool,
        random: u64,
        now: Time,
    ) -> Round {
        self.refresh_ranking(&own.domain, is_following, now);
        let aggregation = &mut self.aggregation;
        let names: Vec<Name> = names_of(&aggregation.ranked);
        let chosen = aggregation.contacts.choose(&names, &own.node, now);
        let reporters = aggregation.reporters(now);
        let is_chosen = chosen.contains(&own.node);
        let mut round = Round {
            aggregators: addresses_of(&aggregation.ranked, &chosen, &own.node),
            ..Round::default()
        };
        let is_acting = is_chosen || !reporters.is_empty();
        if is_acting != aggregation.acting_since.is_some() {
            aggregation.acting_since = is_acting.then_some(now);
            round.role_change = Some(is_acting);
        }
        if !is_acting {
            aggregation.last_digest = None;
            return round;
        }
        let summary = self.summarize(own, random, now);
        self.aggregation.collector.record(summary.clone(), now);
        let receivers = self.summary_receivers(own, now);
        round.summary = Some((summary, receivers));
        let mut fleet = self.aggregation.collector.fleet(now);
        fleet.sample_fronts(random);
        let offset = self.peers.clock_offset(now);
        let digest = Digest {
            node: own.node.clone(),
            incarnation: own.incarnation,
            seq: own.seq,
            time: Time(now.0.saturating_add_signed(offset)),
            fleet,
            ranked: is_following.then(|| {
                let ranked = self.aggregation.ranked.iter();
                ranked.take(MAX_NAMED).cloned().collect()
            }),
            moves,
        };
        self.aggregation.last_digest = Some(digest.clone());
        round.digest = Some((digest, reporters));
        round
    }

    /// Derives the order of the aggregators from the registrations, unless another
    /// entry that follows them has sent it recently.
    fn refresh_ranking(&mut self, domain: &Name, is_following: bool, now: Time) {
        let is_recent = |at: Time| now.since(at) < RANKING_TIMEOUT;
        if !is_following && self.aggregation.ranked_at.is_some_and(is_recent) {
            return;
        }
        self.aggregation.ranked = self.ranked(domain);
        self.aggregation.ranked_at = None;
    }

    /// Returns the aggregators of a failure domain, in order, with their addresses.
    fn ranked(&self, domain: &str) -> Vec<(Name, SocketAddr)> {
        let rows: Vec<Ranked> = self
            .registrations
            .iter()
            .filter(|(_, known)| *known.registration.domain == *domain)
            .map(|(name, known)| Ranked {
                node: name.clone(),
                millicores: known.registration.millicores,
            })
            .collect();
        let address = |name: Name| {
            let known = self.registrations.get(&name)?;
            Some((name, known.registration.peer))
        };
        ranking::rank(rows)
            .into_iter()
            .filter_map(address)
            .collect()
    }

    fn summarize(&mut self, own: &NodeStatus, random: u64, now: Time) -> DomainSummary {
        let aggregation = &mut self.aggregation;
        for (workspace, units) in self.peers.take_admitted().iter() {
            *aggregation.admitted.get_or_insert_with(workspace, || 0.0) += units;
        }
        for (workspace, usage) in own.quota_usage.iter() {
            let counted = aggregation
                .own_admitted
                .get_or_insert_with(workspace, || 0.0);
            *aggregation.admitted.get_or_insert_with(workspace, || 0.0) +=
                usage.admitted - *counted;
            *counted = usage.admitted;
        }
        let registrations = &self.registrations;
        let millicores = |node: &str| {
            let known = registrations.get(node);
            known.map_or(0, |known| known.registration.millicores)
        };
        let admitted = &aggregation.admitted;
        self.peers.forget_evidence(&own.evidence, now);
        DomainSummary::new(own, &self.peers, admitted, millicores, random, now)
    }

    /// Returns where to send the summary of the own failure domain: to the
    /// aggregators of all domains, and to the lease holder, which reports the
    /// usage.
    fn summary_receivers(&mut self, own: &NodeStatus, now: Time) -> Vec<SocketAddr> {
        let mut domains: Vec<Name> = self
            .registrations
            .iter()
            .map(|(_, known)| known.registration.domain.clone())
            .collect();
        domains.sort_unstable();
        domains.dedup();
        let mut nodes = Vec::new();
        for domain in domains {
            let ranked = if domain == own.domain {
                self.aggregation.ranked.clone()
            } else {
                self.ranked(&domain)
            };
            let names = names_of(&ranked);
            let contacts = &mut self.aggregation.contacts;
            nodes.extend(contacts.choose(&names, &own.node, now));
        }
        let fleet = self.aggregation.view.summary(RANKING_TIMEOUT, now);
        let lease = fleet.and_then(|fleet| fleet.lease.as_ref());
        nodes.extend(lease.map(|lease| lease.holder.clone()));
        let (registrations, ranked) = (&self.registrations, &self.aggregation.ranked);
        let is_known = |name: &Name| {
            registrations.get(name).is_some() || ranked.iter().any(|(node, _)| node == name)
        };
        self.aggregation.contacts.retain(is_known);
        let address = |node: &Name| Some(registrations.get(node)?.registration.peer);
        let others = nodes.iter().filter(|node| **node != own.node);
        let mut receivers: Vec<SocketAddr> = others.filter_map(address).collect();
        let collector = &self.aggregation.collector;
        receivers.extend(collector.senders(&own.node, REPORT_TIMEOUT, now));
        receivers.sort_unstable();
        receivers.dedup();
        receivers
    }

    /// Applies a digest and returns whether it is the one in use.
    pub(super) fn apply_digest(
        &mut self,
        digest: &Digest,
        own: &NameMap<QuotaUsage>,
        now: Time,
    ) -> bool {
        let Digest {
            node, incarnation, ..
        } = digest;
        let view = &mut self.aggregation.view;
        let is_used = view.record(node, *incarnation, digest.fleet.clone(), own, now);
        if is_used {
            self.aggregation.set_time(digest.time, now);
        }
        is_used
    }
}

fn names_of(ranked: &[(Name, SocketAddr)]) -> Vec<Name> {
    ranked.iter().map(|(name, _)| name.clone()).collect()
}

/// Returns the addresses of the `chosen` entries other than `own`.
fn addresses_of(ranked: &[(Name, SocketAddr)], chosen: &[Name], own: &Name) -> Vec<SocketAddr> {
    ranked
        .iter()
        .filter(|(node, _)| node != own && chosen.contains(node))
        .map(|(_, peer)| *peer)
        .collect()
}
