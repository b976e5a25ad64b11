//! A soak: real nodes under random faults, with the promises checked from what
//! callers, backend servers and the platform see.
//!
//! `CASSIALOCK_SOAK=FIRST-LAST` runs other seeds, `CASSIALOCK_SOAK_JOBS` says how
//! many at a time. The lines of a seed's nodes stay in the folder of the build,
//! under `tmp/soak-SEED-PROCESS`.

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

use crate::callers::End;
use crate::world::Fault;
use crate::world::World;

mod callers;
mod check;
mod servers;
mod store;
mod world;

/// Callers of one seed.
const CALLERS: u64 = 8;

/// Time over which faults begin.
const FAULTS: Duration = Duration::from_secs(8);

/// Longest time for which a fault lasts.
const MAX_LENGTH: Duration = Duration::from_millis(3_500);

/// Time after the last fault in which every node serves again.
const RECOVER: Duration = Duration::from_secs(12);

/// Seeds of the run in CI.
const SHORT: std::ops::RangeInclusive<u64> = 1..=2;

/// Seeds that failed once.
///
/// 38: two kills of one node overlapped, and the soak started it twice.
/// 130: two planned stops of one node overlapped; the soak killed the new
/// process, or started two and left one behind that held the port.
const REGRESSIONS: [u64; 2] = [38, 130];

/// Runs one seed and returns what was broken.
async fn play(seed: u64) -> Vec<String> {
    let world = World::start(seed).await;
    let (stop, calls) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::default()));
    let mut tasks = JoinSet::new();
    for caller in 0..CALLERS {
        let (stop, calls) = (Arc::clone(&stop), Arc::clone(&calls));
        let own = seed * 1_000 + caller;
        tasks.spawn(callers::run(Arc::clone(&world), own, stop, calls));
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults = JoinSet::new();
    let count = rng.random_range(5..14);
    let mut starts: Vec<Duration> = (0..count).map(|_| FAULTS.mul_f64(rng.random())).collect();
    starts.sort();
    let began = Instant::now();
    let mut played = Vec::new();
    for start in starts {
        let fault = Fault::draw(&mut rng);
        let node = rng.random_range(0..world.nodes.len());
        let (pick, length) = (rng.random(), MAX_LENGTH.mul_f64(rng.random()));
        played.push(format!("{:.1} {fault:?} {node}", start.as_secs_f64()));
        tokio::time::sleep_until(began + start).await;
        let world = Arc::clone(&world);
        faults.spawn(async move { fault.play(&world, node, pick, length).await });
    }
    while let Some(done) = faults.join_next().await {
        done.unwrap();
    }
    let mut broken = recovered(&world, seed).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    stop.store(true, Ordering::Relaxed);
    while let Some(done) = tasks.join_next().await {
        done.unwrap();
    }
    let calls = calls.lock().unwrap().clone();
    broken.extend(check::broken(&world, &calls));
    let served = calls.iter().filter(|call| call.end == End::Answer(200));
    println!(
        "seed {seed}: {} requests, {} served, {} faults, {} broken",
        calls.len(),
        served.count(),
        played.len(),
        broken.len()
    );
    if !broken.is_empty() {
        println!("  faults: {}", played.join(", "));
        broken.iter().take(5).for_each(|line| println!("  {line}"));
    }
    broken
}

/// Waits until every node serves, and returns those that do not.
async fn recovered(world: &World, seed: u64) -> Vec<String> {
    let began = Instant::now();
    let mut broken = Vec::new();
    for node in 0..world.nodes.len() {
        let mut count = 0;
        loop {
            count += 1;
            let id = format!("r-{seed}-{node}-{count}");
            let end = callers::ask(world, node, &id).await;
            world.log.lock().unwrap().retain(|seen| seen.id != id);
            if end == End::Answer(200) {
                break;
            }
            if began.elapsed() > RECOVER {
                broken.push(format!("node {node} does not serve again: {end:?}"));
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    broken
}

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("CASSIALOCK_SOAK") else {
        return SHORT.chain(REGRESSIONS).collect();
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
                    if !runtime.block_on(play(seed)).is_empty() {
                        failed.lock().unwrap().push(seed);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}
