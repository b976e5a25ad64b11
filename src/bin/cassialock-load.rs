//! Command-line tool for load tests, fault injection, simulations and benchmarks.

use std::process::ExitCode;
use std::time::Duration;

use cassialock::cli::table;
use cassialock::core::route::PolicyKind;
use cassialock::load::benchmark;
use cassialock::load::benchmark::LoadPlan;
use cassialock::load::deploy::DeploymentSpec;
use cassialock::load::fault_matrix;
use cassialock::load::fault_matrix::Case;
use cassialock::load::fault_matrix::CaseReport;
use cassialock::load::fleet_simulation;
use cassialock::load::move_simulation;
use cassialock::load::move_simulation::MoveReport;
use cassialock::load::scaling;
use gumdrop::Options;
use tokio::task::JoinSet;

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "inject faults alone and in pairs and check the guarantees")]
    Matrix(MatrixFlags),
    #[options(help = "simulate seeded version moves of every kind")]
    Moves(MovesFlags),
    #[options(help = "simulate seeded days of the fleet with each strategy")]
    Fleet(FleetFlags),
    #[options(help = "measure how state, messages and CPU time grow with the system")]
    Slopes(JsonFlags),
    #[options(help = "run an open-loop load with each routing policy")]
    Compare(CompareFlags),
    #[options(help = "measure the overhead that a node adds to each request")]
    Overhead(JsonFlags),
}

#[derive(Debug, Options)]
struct JsonFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

#[derive(Debug, Options)]
struct MovesFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "number of moves of each kind",
        meta = "N",
        default = "1000"
    )]
    count: u64,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

#[derive(Debug, Options)]
struct FleetFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "number of days for each strategy",
        meta = "N",
        default = "100"
    )]
    days: u64,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

#[derive(Debug, Options)]
struct CompareFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "designs or labels",
        meta = "NAME",
        default = "labels"
    )]
    deployment: String,
    #[options(no_short, help = "requests per second", meta = "N", default = "120")]
    rate: f64,
    #[options(
        no_short,
        help = "seconds of load for each policy",
        meta = "N",
        default = "10"
    )]
    seconds: u64,
    #[options(
        no_short,
        help = "seed for arrival times and request contents",
        meta = "N",
        default = "1"
    )]
    seed: u64,
    #[options(no_short, help = "run only this policy", meta = "POLICY")]
    policy: Option<PolicyKind>,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

#[derive(Debug, Options)]
struct MatrixFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "inject faults alone only, not in pairs")]
    singles: bool,
    #[options(no_short, help = "run only every Nth pair", meta = "N", default = "1")]
    every: usize,
    #[options(
        no_short,
        help = "number of concurrent cases",
        meta = "N",
        default = "4"
    )]
    jobs: usize,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(
        no_short,
        help = "run only cases whose name contains TEXT",
        meta = "TEXT"
    )]
    only: Option<String>,
}

fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("cassialock-load: {e}");
            return ExitCode::FAILURE;
        }
    };
    let is_success = match &flags.command {
        Some(Command::Matrix(matrix)) => runtime.block_on(run_matrix(matrix)),
        Some(Command::Moves(moves)) => run_moves(moves),
        Some(Command::Fleet(fleet)) => run_fleet(fleet),
        Some(Command::Slopes(slopes)) => run_slopes(slopes.json),
        Some(Command::Compare(compare)) => runtime.block_on(run_compare(compare)),
        Some(Command::Overhead(overhead)) => runtime.block_on(run_overhead(overhead.json)),
        None => {
            eprintln!("cassialock-load: no command given; see --help");
            return ExitCode::from(2);
        }
    };
    runtime.shutdown_background();
    if is_success {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn case_name(case: &Case) -> String {
    let faults: Vec<String> = case.faults.iter().map(|f| format!("{f:?}")).collect();
    format!("{} {}", case.deployment, faults.join("+"))
}

async fn run_matrix(flags: &MatrixFlags) -> bool {
    let mut cases = fault_matrix::single_fault_cases();
    if !flags.singles {
        cases.extend(
            fault_matrix::fault_pair_cases()
                .into_iter()
                .step_by(flags.every.max(1)),
        );
    }
    if let Some(only) = &flags.only {
        cases.retain(|case| case_name(case).contains(only));
    }
    let mut reports: Vec<CaseReport> = Vec::new();
    let mut errors = 0;
    let mut running = JoinSet::new();
    let mut waiting = cases.into_iter();
    loop {
        while running.len() < flags.jobs.max(1)
            && let Some(case) = waiting.next()
        {
            running.spawn(async move { (case_name(&case), case.run().await) });
        }
        match running.join_next().await {
            Some(Ok((name, Ok(report)))) => {
                for violation in &report.violations {
                    eprintln!("{name}: {:?}: {}", violation.guarantee, violation.observed);
                }
                reports.push(report);
            }
            Some(Ok((name, Err(e)))) => {
                eprintln!("{name}: {e}");
                errors += 1;
            }
            Some(Err(e)) => {
                eprintln!("case panicked or was cancelled: {e}");
                errors += 1;
            }
            None => break,
        }
    }
    print_matrix(&reports, flags.json);
    errors == 0 && reports.iter().all(|report| report.violations.is_empty())
}

fn print_matrix(reports: &[CaseReport], is_json: bool) {
    if is_json {
        print_json(reports);
        return;
    }
    let rows: Vec<Vec<String>> = fault_matrix::GUARANTEES
        .iter()
        .map(|guarantee| {
            let is_violated = |report: &&CaseReport| {
                report
                    .violations
                    .iter()
                    .any(|violation| violation.guarantee == *guarantee)
            };
            let violated = reports.iter().filter(is_violated).count();
            vec![
                format!("{guarantee:?}"),
                reports.len().to_string(),
                violated.to_string(),
            ]
        })
        .collect();
    table::print(&["PROMISE", "CASES", "BROKEN"], &rows);
    let sum = |count: fn(&CaseReport) -> u64| reports.iter().map(count).sum::<u64>();
    println!(
        "{} requests, {} complete, {} refused, {} keyed calls, {} patches accepted",
        sum(|r| r.requests),
        sum(|r| r.complete),
        sum(|r| r.refused),
        sum(|r| r.keyed),
        sum(|r| r.patches),
    );
}

fn print_json<T: serde::Serialize + ?Sized>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(e) => eprintln!("cassialock-load: {e}"),
    }
}

/// Returns the percentage of moves that must end correctly for a behavior.
const fn target_percent(behavior: move_simulation::VersionBehavior) -> u64 {
    match behavior {
        move_simulation::VersionBehavior::Good
        | move_simulation::VersionBehavior::GoodNoisy
        | move_simulation::VersionBehavior::GoodSlower => 99,
        _ => 100,
    }
}

fn run_moves(flags: &MovesFlags) -> bool {
    let reports: Vec<MoveReport> = std::thread::scope(|scope| {
        let handles: Vec<_> = move_simulation::BEHAVIORS
            .iter()
            .map(|behavior| scope.spawn(|| move_simulation::simulate(*behavior, flags.count)))
            .collect();
        // A simulation that panicked is missing from the reports, so the run fails below.
        handles
            .into_iter()
            .filter_map(|handle| handle.join().ok())
            .collect()
    });
    let meets_target = |report: &MoveReport| {
        report.correct * 100 >= target_percent(report.behavior) * report.moves
            && report.stop_ms_worst <= 2_000
    };
    if flags.json {
        print_json(&reports);
    } else {
        let rows: Vec<Vec<String>> = reports
            .iter()
            .map(|report| {
                vec![
                    format!("{:?}", report.behavior),
                    format!("{} of {}", report.correct, report.moves),
                    format!("{} %", target_percent(report.behavior)),
                    report.in_time.to_string(),
                    format!("{:.1}", report.failed_mean),
                    format!("{} %", report.share_at_fault),
                    format!("{} ms", report.stop_ms_worst),
                ]
            })
            .collect();
        let heading = [
            "NEW VERSION",
            "ENDED RIGHT",
            "TARGET",
            "IN TIME",
            "FAILED",
            "SHARE AT FAULT",
            "VETO TO NO TRAFFIC",
        ];
        table::print(&heading, &rows);
    }
    reports.len() == move_simulation::BEHAVIORS.len() && reports.iter().all(meets_target)
}

fn run_fleet(flags: &FleetFlags) -> bool {
    let reports = fleet_simulation::STRATEGIES
        .map(|strategy| fleet_simulation::simulate(strategy, flags.days));
    if flags.json {
        print_json(&reports);
        return true;
    }
    let rows = reports.each_ref().map(|report| {
        vec![
            format!("{:?}", report.strategy),
            format!("{:.3} %", report.in_target),
            format!("{:.2}", report.cost),
            report.reclaimed.to_string(),
            report.refused.to_string(),
        ]
    });
    let heading = [
        "FLEET",
        "IN TARGET",
        "CENTS PER 1000 GOOD",
        "RECLAIMED",
        "STARTS REFUSED",
    ];
    table::print(&heading, &rows);
    true
}

fn run_slopes(is_json: bool) -> bool {
    let trends = scaling::measure();
    if is_json {
        print_json(&trends);
        return true;
    }
    let rows: Vec<Vec<String>> = trends
        .iter()
        .map(|trend| {
            vec![
                trend.name.to_string(),
                format!("{:.3}", trend.fit.intercept),
                format!("{:.6} per {}", trend.fit.slope, trend.size_unit),
                format!("{:.3}", trend.fit.r2),
                format!("{:.0}", trend.size),
                format!("{:.3}", trend.predicted),
                (if trend.is_time { "machine" } else { "exact" }).to_string(),
            ]
        })
        .collect();
    table::print(
        &["WHAT", "BASE", "SLOPE", "R2", "AT", "PREDICTED", "VALUE"],
        &rows,
    );
    true
}

const POLICIES: [PolicyKind; 4] = [
    PolicyKind::RoundRobin,
    PolicyKind::LeastLoaded,
    PolicyKind::TwoChoices,
    PolicyKind::Scored,
];

async fn run_compare(flags: &CompareFlags) -> bool {
    let plan = LoadPlan {
        rate: flags.rate,
        duration: Duration::from_secs(flags.seconds),
        seed: flags.seed,
        prefix_count: 40,
    };
    let Some(spec) = DeploymentSpec::named(&flags.deployment) else {
        eprintln!("cassialock-load: --deployment: expected designs or labels");
        return false;
    };
    let mut rows = Vec::new();
    let mut reports = Vec::new();
    for policy in POLICIES {
        if flags.policy.is_some_and(|only| only != policy) {
            continue;
        }
        let report = match benchmark::run_open_loop(spec.clone().with_policy(policy), &plan).await {
            Ok(report) => report,
            Err(e) => {
                eprintln!("cassialock-load: {e}");
                return false;
            }
        };
        let computed = report.prefilled as f64 / report.prompt_tokens.max(1) as f64;
        rows.push(vec![
            policy.to_string(),
            report.sent.to_string(),
            report.complete.to_string(),
            report.good.to_string(),
            format!("{:.1}", report.first_p50_ms),
            format!("{:.1}", report.first_p95_ms),
            format!("{:.1}", report.first_p99_ms),
            format!("{:.1} %", computed * 100.0),
            format!("{:.2}", report.cost),
        ]);
        reports.push((policy.as_str(), report));
    }
    if flags.json {
        print_json(&reports);
    } else {
        let heading = [
            "POLICY",
            "SENT",
            "WHOLE",
            "GOOD",
            "P50 MS",
            "P95 MS",
            "P99 MS",
            "PROMPT COMPUTED",
            "CENTS PER 1000 GOOD",
        ];
        table::print(&heading, &rows);
    }
    reports
        .iter()
        .all(|(_, report)| report.endings.get("wrong").is_none())
}

async fn run_overhead(is_json: bool) -> bool {
    let overhead = match benchmark::measure_overhead().await {
        Ok(overhead) => overhead,
        Err(e) => {
            eprintln!("cassialock-load: {e}");
            return false;
        }
    };
    if is_json {
        print_json(&overhead);
        return true;
    }
    let row = |name: &str, value: f64| vec![name.to_string(), format!("{value:.3}")];
    let rows = [
        row(
            "first token directly from the engine, p50 ms",
            overhead.direct_p50_ms,
        ),
        row(
            "first token directly from the engine, p99 ms",
            overhead.direct_p99_ms,
        ),
        row("first token through a node, p50 ms", overhead.node_p50_ms),
        row("first token through a node, p99 ms", overhead.node_p99_ms),
        row(
            "added at p50, ms",
            overhead.node_p50_ms - overhead.direct_p50_ms,
        ),
        row(
            "added at p99, ms",
            overhead.node_p99_ms - overhead.direct_p99_ms,
        ),
        row(
            "plain calls per second through a node",
            overhead.calls_per_s,
        ),
        row(
            "memory for each open stream, KiB",
            overhead.stream_bytes / 1024.0,
        ),
    ];
    table::print(&["WHAT", "VALUE"], &rows);
    true
}
