//! Exchange of shares between entries.

use std::time::Duration;

use cassialock::core::Name;
use cassialock::core::route::speed::Estimates;
use cassialock::core::route::speed::Kind;
use cassialock::core::route::speed::share;
use cassialock::core::route::speed::share::Audience;
use cassialock::core::route::speed::share::FitRow;
use cassialock::core::route::speed::share::Row;
use cassialock::core::route::speed::share::Scope;
use cassialock::core::route::speed::share::Share;
use cassialock::core::route::speed::sum::Sum;
use cassialock::core::route::speed::table::SpeedTable;

use super::at;
use super::fleet::Fleet;
use super::fleet::SERVICE;
use super::ms;
use super::work;

/// Largest number of bytes per second that an entry may send on average.
const MAX_BYTES_PER_S: f64 = 4_096.0;

const S: Duration = Duration::from_secs(1);

/// Returns the value at a fraction of the sorted values.
fn quantile(values: &mut [u64], fraction: f64) -> u64 {
    values.sort_unstable();
    values[((values.len() - 1) as f64 * fraction) as usize]
}

/// Returns, for each entry and each server of `changed`, the time until `is_seen`.
fn delays(
    fleet: &mut Fleet,
    changed: &[usize],
    span: Duration,
    is_seen: impl Fn(f64) -> bool,
) -> Vec<u64> {
    let start = fleet.ms;
    let mut seen = vec![None; fleet.nodes.len() * changed.len()];
    fleet.run(span, |fleet| {
        for (at, node) in fleet.nodes.iter().enumerate() {
            for (place, server) in changed.iter().enumerate() {
                let row = &mut seen[at * changed.len() + place];
                let ratio = node.table.ratio(&fleet.servers[*server].name, fleet.now());
                if row.is_none() && is_seen(ratio.value) {
                    *row = Some(fleet.ms - start);
                }
            }
        }
    });
    let span = span.as_millis() as u64;
    seen.into_iter().map(|row| row.unwrap_or(span)).collect()
}

/// Guards against entries that learn of a change only from their own responses: each of
/// 300 entries sees a server once in 70 s.
fn changes_are_seen(count: usize) {
    let mut fleet = Fleet::new(count, 140, |_| true);
    fleet.loss = 0.025;
    fleet.run(12 * S, |_| {});
    // Servers of the mean speed.
    let usual: Vec<usize> = (0..140)
        .filter(|at| (fleet.servers[*at].speed - 1.1).abs() < 0.01)
        .collect();
    for node in &fleet.nodes {
        let busy = node.table.utilization(SERVICE, fleet.now()).unwrap();
        assert!((busy.busy - 0.25).abs() < 0.08, "{busy:?}");
        assert!(busy.samples > 500.0, "{busy:?}");
    }
    let mut errors: Vec<u64> = Vec::new();
    for node in &fleet.nodes {
        for server in &fleet.servers {
            let ratio = node.table.ratio(&server.name, fleet.now()).value;
            errors.push((1e3 * (ratio * 1.1 / server.speed).ln().abs()) as u64);
        }
    }
    let error = [quantile(&mut errors, 0.5), quantile(&mut errors, 0.9)];
    for server in &usual {
        fleet.servers[*server].speed *= 2.5;
    }
    let mut slow = delays(&mut fleet, &usual, 6 * S, |ratio| ratio >= 1.5);
    for server in &usual {
        fleet.servers[*server].speed /= 2.5;
    }
    let mut normal = delays(&mut fleet, &usual, 6 * S, |ratio| ratio <= 1.25);
    let spread = |values: &mut Vec<u64>| [0.5, 0.9, 1.0].map(|part| quantile(values, part));
    let (slow, normal) = (spread(&mut slow), spread(&mut normal));
    println!(
        "{count} entries: slow seen after {slow:?} ms, normal after {normal:?} ms \
         (p50, p90, all); ratio off by {error:?} thousandths (p50, p90)"
    );
    assert!(error[0] < 150, "{error:?}");
    // In a mesh of 16 entries there are not enough bytes for each response.
    for seen in [slow, normal] {
        assert!(seen[0] <= 1_000 && seen[1] <= 2_500, "{seen:?}");
    }
}

#[test]
fn changes_are_seen_in_a_mesh() {
    [2, 16].into_iter().for_each(changes_are_seen);
}

#[test]
fn changes_are_seen_through_aggregators() {
    [61, 300].into_iter().for_each(changes_are_seen);
}

/// Guards against an exchange whose cost grows with the number of entries or servers.
#[test]
fn exchange_stays_within_its_bytes() {
    for count in [2, 16, 17, 61, 300, 1_300] {
        let is_wide = |at: usize| count <= 16 || at < 6;
        let mut fleet = Fleet::new(count, 10_000, is_wide);
        fleet.used = 64;
        fleet.rate = 10.0 * count as f64;
        fleet.run(4 * S, |_| {});
        for node in &mut fleet.nodes {
            (node.sent, node.received) = (0, 0);
        }
        fleet.run(6 * S, |_| {});
        let per_s = |bytes: usize| bytes as f64 / 6.0;
        let sent = fleet.nodes.iter().map(|row| row.sent).sum();
        let sent = per_s(sent) / count as f64;
        let largest = |from: usize, to: usize| {
            let costs = fleet.nodes[from..to].iter();
            let costs = costs.map(|row| (per_s(row.sent), per_s(row.received)));
            costs.fold((0.0_f64, 0.0_f64), |a, b| (a.0.max(b.0), a.1.max(b.1)))
        };
        let wide = if count <= 16 { count } else { 6 };
        let (ordinary, aggregator) = (largest(wide, count), largest(0, wide));
        println!(
            "{count} entries: mean {sent:.0} B/s sent; at most {ordinary:.0?} sent and received \
             by an entry that aggregates nothing, {aggregator:.0?} by one that does or in a mesh"
        );
        assert!(sent <= MAX_BYTES_PER_S, "{count} entries: {sent}");
        let total = ordinary.0 + ordinary.1;
        assert!(total <= MAX_BYTES_PER_S, "{count} entries: {ordinary:?}");
    }
}

/// Guards against entries that use what is no longer confirmed, or that do without the
/// shares of others when one of the aggregators or an entry starts anew.
#[test]
fn lost_shares_leave_the_own_samples() {
    let mut fleet = Fleet::new(61, 140, |_| true);
    fleet.run(12 * S, |_| {});
    let samples = |fleet: &Fleet, at: usize| {
        let known = fleet.servers.iter();
        let ratios = known.map(|row| fleet.nodes[at].table.ratio(&row.name, fleet.now()));
        ratios.map(|ratio| ratio.samples).sum::<f64>()
    };
    let all = samples(&fleet, 30);
    // An aggregator of the domain of this entry ends without a word.
    fleet.nodes[0].is_up = false;
    fleet.run(4 * S, |_| {});
    let left = samples(&fleet, 30);
    assert!(left > 0.8 * all, "{left} of {all}");
    fleet.restart(30);
    fleet.run(3 * S, |_| {});
    assert!(
        samples(&fleet, 30) > 0.8 * all,
        "{} of {all}",
        samples(&fleet, 30)
    );
    let work = work(543.0, 0.0);
    assert!(
        fleet.nodes[30]
            .table
            .expected_first(SERVICE, &work)
            .is_some()
    );
    fleet.loss = 1.0;
    let mut contacts = Vec::new();
    let mut check = |fleet: &mut Fleet| {
        let now = fleet.now();
        contacts.extend(fleet.nodes[30].table.check(now).contact);
    };
    fleet.run(12 * S, &mut check);
    let own = samples(&fleet, 30);
    assert!(own < 0.2 * all && own > 0.0, "{own} of {all}");
    assert!(
        fleet.nodes[30]
            .table
            .expected_first(SERVICE, &work)
            .is_some()
    );
    fleet.loss = 0.0;
    fleet.run(4 * S, &mut check);
    assert!(samples(&fleet, 30) > 0.8 * all);
    let contacts: Vec<bool> = contacts.into_iter().map(|(is_heard, _)| is_heard).collect();
    assert_eq!(contacts, [false, true]);
}

/// Guards against counting samples twice that arrive twice, late or from a restarted
/// entry.
#[test]
fn repeated_and_late_shares_change_nothing() {
    let (node, service, server): (Name, Name, Name) = ("n".into(), SERVICE.into(), "a/1".into());
    let mut sender = SpeedTable::new();
    let mut shares = Vec::new();
    for step in 0..30 {
        sender.record(&service, &server, &work(0.0, 0.0), ms(30.0), at(step));
    }
    for round in 1..=4_u64 {
        for step in 0..10 {
            let now = at(500 * round - 100 + step);
            sender.record(&service, &server, &work(0.0, 0.0), ms(30.0), now);
        }
        shares.push(sender.own_share(&node, Audience::Mesh(1), at(500 * round)));
    }
    let [_, second, _, last] = &shares[..] else {
        panic!("{shares:?}");
    };
    let mut table = SpeedTable::new();
    table.set_servers([(&server, &service)].into_iter());
    let now = at(2_100);
    let last = last.as_ref().unwrap();
    assert!(table.merge(&node, 7, 4, last, now).is_new);
    let samples = table.ratio(&server, now).samples;
    assert!(samples > 10.0);
    for seq in [4, 2] {
        let share = second.as_ref().unwrap();
        assert!(!table.merge(&node, 7, seq, share, now).is_new);
    }
    assert!(table.merge(&node, 7, 5, last, now).is_new);
    assert_eq!(table.ratio(&server, now).samples, samples);
    // Nothing is sent of services that nothing was recorded of.
    assert_eq!(
        SpeedTable::new().own_share(&node, Audience::Mesh(1), now),
        None
    );
    // A server with another start is not judged by what was learned of this one.
    assert_eq!(table.ratio("a/2", now).samples, 0.0);
}

/// Guards against acting on rows that no entry can have computed.
#[test]
fn invalid_shares_are_ignored() {
    let (node, service, server): (Name, Name, Name) = ("n".into(), SERVICE.into(), "a/1".into());
    let mut table = SpeedTable::new();
    table.set_servers([(&server, &service)].into_iter());
    let key = share::key(share::name_hash(&server), Some(Kind::First));
    let row = |mean: f64, weight: f64| {
        let mut sum = Sum::default();
        sum.add(mean, weight, S, at(0), at(0));
        Row::new(key, &sum, at(0))
    };
    let fit = |value: f32, product: f32| FitRow {
        key: share::key(share::name_hash(&service), Some(Kind::First)),
        age_ds: 0,
        samples: 50.0,
        products: [product; 15],
        times: [value; 5],
    };
    let share = |rows: Vec<Row>, fits: Vec<FitRow>| Share {
        scope: Scope::Entry,
        nodes: 1,
        rows,
        fits,
    };
    let mut many = share(vec![row(0.5, 2.0); 257], Vec::new());
    let mut seq = 0;
    let mut merge = |share: &Share| {
        seq += 1;
        table.merge(&node, 1, seq, share, at(0))
    };
    assert_eq!(merge(&many).invalid, 257);
    many.rows.truncate(2);
    many.nodes = u32::MAX;
    assert_eq!(merge(&many).invalid, 2);
    let odd = share(
        vec![row(3.5, 2.0), row(-3.5, 2.0), row(0.1, 1e6)],
        vec![
            fit(f32::NAN, 1.0),
            fit(f32::INFINITY, 1.0),
            fit(-1.0, 1.0),
            fit(1.0, f32::NAN),
        ],
    );
    let merged = merge(&odd);
    assert_eq!((merged.invalid, merged.used), (7, 0));
    let mut mixed = fit(1.0, 1.0);
    mixed.products[1] = 100.0;
    assert_eq!(merge(&share(Vec::new(), vec![mixed])).invalid, 1);
    let unknown = Row::new(key ^ 0x100, &Default::default(), at(0));
    assert_eq!(merge(&share(vec![unknown], Vec::new())).unknown, 1);
    assert_eq!(table.ratio(&server, at(0)).samples, 0.0);
    assert_eq!(table.expected_first(&service, &work(10.0, 0.0)), None);
}
