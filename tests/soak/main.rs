//! Soak test: runs node processes under random faults and checks the system's
//! guarantees against what callers, backend servers and the platform observe.
//!
//! `CASSIALOCK_SOAK=FIRST-LAST` selects the seeds to run and
//! `CASSIALOCK_SOAK_JOBS` sets how many run in parallel. The output of each node
//! is kept in the build directory, under `tmp/soak-SEED-PROCESS`.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::callers::Outcome;
use crate::cluster::Cluster;
use crate::cluster::Fault;

mod callers;
mod cluster;
mod invariants;
mod node;
mod servers;
mod store;

/// Number of concurrent callers for each seed.
const CALLERS: u64 = 8;

/// Period in which faults are injected.
const FAULT_PERIOD: Duration = Duration::from_secs(8);

/// Maximum duration of a fault.
const MAX_FAULT_DURATION: Duration = Duration::from_millis(3_500);

/// Time after the last fault within which every node must serve again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Seeds of the default run, which CI uses.
const CI_SEEDS: std::ops::RangeInclusive<u64> = 1..=2;

/// Seeds that are rerun because they failed before.
///
/// 38: two overlapping kills of one node made the test start it twice.
/// 130: two overlapping graceful restarts of one node made the test kill the new
/// process, or start two processes and leak one that kept the port bound.
const REGRESSION_SEEDS: [u64; 2] = [38, 130];

/// Runs one seed and returns the violated invariants.
async fn run_seed(seed: u64) -> Vec<String> {
    let cluster = Cluster::start(seed).await;
    let (stop, calls) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::default()));
    let mut tasks = JoinSet::new();
    for caller in 0..CALLERS {
        let (stop, calls) = (Arc::clone(&stop), Arc::clone(&calls));
        let caller_seed = seed * 1_000 + caller;
        tasks.spawn(callers::run(Arc::clone(&cluster), caller_seed, stop, calls));
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults = JoinSet::new();
    let count = rng.random_range(5..14);
    let mut starts: Vec<Duration> = (0..count)
        .map(|_| FAULT_PERIOD.mul_f64(rng.random()))
        .collect();
    starts.sort();
    let started = Instant::now();
    let mut injected = Vec::new();
    // A generator of their own leaves the other faults of the seed as they were.
    let mut notice_rng = SmallRng::seed_from_u64(!seed);
    for _ in 0..notice_rng.random_range(0..3) {
        let start = FAULT_PERIOD.mul_f64(notice_rng.random());
        let server_index = notice_rng.random();
        let duration = MAX_FAULT_DURATION.mul_f64(notice_rng.random());
        let fault = Fault::TurnAway;
        injected.push(format!("{:.1} {fault:?}", start.as_secs_f64()));
        let cluster = Arc::clone(&cluster);
        faults.spawn(async move {
            tokio::time::sleep_until(started + start).await;
            fault.inject(&cluster, 0, server_index, duration).await;
        });
    }
    for start in starts {
        let fault = Fault::random(&mut rng);
        let node = rng.random_range(0..cluster.nodes.len());
        let (server_index, duration) = (rng.random(), MAX_FAULT_DURATION.mul_f64(rng.random()));
        injected.push(format!("{:.1} {fault:?} {node}", start.as_secs_f64()));
        tokio::time::sleep_until(started + start).await;
        let cluster = Arc::clone(&cluster);
        faults.spawn(async move { fault.inject(&cluster, node, server_index, duration).await });
    }
    while let Some(done) = faults.join_next().await {
        done.unwrap();
    }
    let mut violations = wait_recovered(&cluster, seed).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    stop.store(true, Ordering::Relaxed);
    while let Some(done) = tasks.join_next().await {
        done.unwrap();
    }
    let calls = calls.lock().unwrap().clone();
    violations.extend(invariants::violations(&cluster, &calls));
    let served = calls
        .iter()
        .filter(|call| call.outcome == Outcome::Answer(200));
    println!(
        "seed {seed}: {} requests, {} served, {} faults, {} violations",
        calls.len(),
        served.count(),
        injected.len(),
        violations.len()
    );
    if !violations.is_empty() {
        println!("  faults: {}", injected.join(", "));
        violations
            .iter()
            .take(5)
            .for_each(|line| println!("  {line}"));
    }
    violations
}

/// Waits until every node serves again and returns a violation for each that does not.
async fn wait_recovered(cluster: &Cluster, seed: u64) -> Vec<String> {
    let started = Instant::now();
    let mut violations = Vec::new();
    for node in 0..cluster.nodes.len() {
        let mut count = 0;
        loop {
            count += 1;
            let id = format!("r-{seed}-{node}-{count}");
            let outcome = callers::send_probe(cluster, node, &id).await;
            cluster
                .arrivals
                .lock()
                .unwrap()
                .retain(|arrival| arrival.id != id);
            if outcome == Outcome::Answer(200) {
                break;
            }
            if started.elapsed() > RECOVERY_TIMEOUT {
                violations.push(format!("node {node} did not recover: {outcome:?}"));
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    violations
}

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("CASSIALOCK_SOAK") else {
        return CI_SEEDS.chain(REGRESSION_SEEDS).collect();
    };
    let (first, last) = range.split_once('-').unwrap_or((&range, &range));
    (first.parse().unwrap()..=last.parse().unwrap()).collect()
}

#[test]
fn promises_hold_under_random_faults() {
    let jobs = std::env::var("CASSIALOCK_SOAK_JOBS").map_or(1, |jobs| jobs.parse().unwrap());
    let seeds = Mutex::new(seeds());
    let failed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                let runtime = tokio::runtime::Builder::new_multi_thread()
                    .worker_threads(2)
                    .enable_all()
                    .build()
                    .unwrap();
                loop {
                    let Some(seed) = seeds.lock().unwrap().pop() else {
                        return;
                    };
                    if !runtime.block_on(run_seed(seed)).is_empty() {
                        failed.lock().unwrap().push(seed);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
