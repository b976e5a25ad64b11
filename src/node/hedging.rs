//! Hedged requests of a node.

use std::time::Duration;

use crate::core::Name;
use crate::core::retry::AttemptCounts;
use crate::core::retry::hedge::Subject;
use crate::core::retry::hedge::decision;
use crate::core::retry::hedge::decision::Inputs;
use crate::core::retry::hedge::decision::Outlook;
use crate::core::retry::hedge::decision::Skipped;
use crate::core::route::servers::Filter;
use crate::core::time::Time;
use crate::node::Node;
use crate::node::backends::SelectedServer;
use crate::node::backends::Selection;

/// A request that is late.
pub struct Late<'a> {
    /// The request.
    pub subject: Subject<'a>,
    /// How a server is selected for it.
    pub selection: Selection<'a>,
    /// Workspace of the request.
    pub workspace: &'a Name,
    /// Server that has not begun to answer.
    pub first: &'a SelectedServer,
    /// Time since the request was sent to it.
    pub elapsed: Duration,
    /// Number of attempts, including the one in progress.
    pub attempts: usize,
    /// Maximum number of attempts.
    pub max_attempts: usize,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// Whether the request is suspected of crashing servers.
    pub is_suspected: bool,
}

/// Returns whether requests are hedged.
pub fn is_on(node: &Node) -> bool {
    node.settings.hedge_percent > 0.0
}

/// Counts the work of a request that is sent for the first time.
pub fn count(node: &Node, subject: &Subject<'_>) {
    if is_on(node) {
        let now = node.clock.now();
        node.hedges.lock().unwrap().count(subject, now);
    }
}

/// Records that a response began `took` after its request was first sent.
pub fn record(node: &Node, subject: &Subject<'_>, took: Duration) {
    if is_on(node) {
        let now = node.clock.now();
        node.hedges.lock().unwrap().record(subject, took, now);
    }
}

/// Returns the time after which a response is late, if requests are hedged and it is
/// known.
pub fn delay(node: &Node, subject: &Subject<'_>) -> Option<Duration> {
    if !is_on(node) {
        return None;
    }
    let now = node.clock.now();
    node.hedges.lock().unwrap().delay(subject, now)
}

/// Selects a server for the hedge of a late request and pays for it.
///
/// # Errors
///
/// Returns the reason if the request is not hedged.
pub fn choose(node: &Node, late: &Late<'_>) -> Result<SelectedServer, Skipped> {
    let chosen = try_choose(node, late);
    match &chosen {
        Ok(_) => {
            metrics::counter!("cassialock_hedges_sent_total", "node" => node.label()).increment(1);
        }
        Err(reason) => {
            metrics::counter!(
                "cassialock_hedges_skipped_total",
                "node" => node.label(),
                "reason" => reason.as_str()
            )
            .increment(1);
        }
    }
    chosen
}

/// Counts how a hedge ended.
pub fn count_ended(node: &Node, outcome: &'static str) {
    metrics::counter!(
        "cassialock_hedges_ended_total",
        "node" => node.label(),
        "outcome" => outcome
    )
    .increment(1);
}

/// Updates the gauges of the extra work and its limit.
pub fn update_gauges(node: &Node) {
    if !is_on(node) {
        return;
    }
    let now = node.clock.now();
    let hedges = node.hedges.lock().unwrap();
    metrics::gauge!("cassialock_hedge_limit_percent", "node" => node.label())
        .set(node.settings.hedge_percent);
    for (service, _) in node.config.load().config.services.iter() {
        let (own, extra) = hedges.totals(service, now);
        let share = if own > 0.0 { extra / own } else { 0.0 };
        metrics::gauge!(
            "cassialock_hedge_extra_percent",
            "node" => node.label(),
            "service" => service.clone()
        )
        .set(share * 100.0);
    }
}

/// Returns what is expected of an attempt that was sent `elapsed` ago.
pub fn outlook(node: &Node, subject: &Subject<'_>, elapsed: Duration) -> Outlook {
    let hedges = node.hedges.lock().unwrap();
    Outlook {
        elapsed,
        forecast: None,
        remaining: hedges.remaining(subject, elapsed),
    }
}

fn try_choose(node: &Node, late: &Late<'_>) -> Result<SelectedServer, Skipped> {
    let now = node.clock.now();
    let percent = node.settings.hedge_percent;
    let Selection { name, service, .. } = late.selection;
    let filter = Filter {
        service: name,
        version: Some(&late.first.version),
        slots: service.slots,
        excluded: &[],
        exclude_suspected: false,
    };
    let inputs = Inputs {
        is_repeatable: true,
        attempts: AttemptCounts {
            runs: late.attempts as u32,
            sends: late.attempts as u32,
            ..AttemptCounts::default()
        },
        servers: late.attempts,
        max_attempts: late.max_attempts as u32,
        deadline: late.deadline,
        has_retry: node.budget.lock().unwrap().has_hedge(),
        is_suspected: late.is_suspected,
        is_over_quota: node.admission.is_over_quota(late.workspace, now),
        utilization: utilization(node, &filter, &late.selection, now),
        fits_limit: (node.hedges.lock().unwrap()).fits(&late.subject, percent, now),
        is_trial: node.moves.versions(name, service).len() > 1,
    };
    decision::decide(&inputs, now)?;
    let server = select(node, late, &filter, now).ok_or(Skipped::NoServer)?;
    let first = outlook(node, &late.subject, late.elapsed);
    let second = outlook(node, &late.subject, Duration::ZERO);
    if !decision::is_sooner(&first, &second) {
        return Err(Skipped::NotSooner);
    }
    if !node.budget.lock().unwrap().withdraw_hedge() {
        return Err(Skipped::RetryBudget);
    }
    let mut hedges = node.hedges.lock().unwrap();
    if hedges.spend(&late.subject, percent, now) {
        Ok(server)
    } else {
        Err(Skipped::WorkLimit)
    }
}

fn select(node: &Node, late: &Late<'_>, filter: &Filter<'_>, now: Time) -> Option<SelectedServer> {
    let filter = Filter {
        excluded: late.selection.deprioritized,
        ..*filter
    };
    let servers = node.servers.lock().unwrap();
    let request = late.selection.request;
    let candidates = servers.hedge_candidates(&late.first.id, &filter, request, now);
    let random = node.random_u64();
    let index = node
        .policy
        .lock()
        .unwrap()
        .choose(request, &candidates, random)?;
    let vm = &servers.get(&candidates[index].id)?.vm;
    Some(SelectedServer {
        id: vm.id.clone(),
        address: vm.address.clone(),
        version: vm.version.clone(),
    })
}

/// Returns the requests per slot at the servers of a version; 1 if requests are queued.
fn utilization(node: &Node, filter: &Filter<'_>, selection: &Selection<'_>, now: Time) -> f64 {
    let queues = node.admission.queues();
    let is_queued = |row: &(Name, u64, usize)| *row.0 == *filter.service && row.2 > 0;
    if queues.iter().any(is_queued) {
        return 1.0;
    }
    let servers = node.servers.lock().unwrap();
    let candidates = servers.candidates(filter, selection.request, now);
    let in_flight: f64 = candidates.iter().map(|server| server.inflight).sum();
    let slots: f64 = candidates.iter().map(|it| f64::from(it.slots)).sum();
    in_flight / slots.max(1.0)
}
