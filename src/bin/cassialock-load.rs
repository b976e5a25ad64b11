//! The load and experiment tool.

use std::process::ExitCode;

use cassialock::cli::table;
use cassialock::load::matrix;
use cassialock::load::matrix::Case;
use cassialock::load::matrix::Report;
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
    #[options(help = "bring about the table of faults and check the promises")]
    Matrix(MatrixFlags),
}

#[derive(Debug, Options)]
struct MatrixFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "only faults alone, not in pairs")]
    singles: bool,
    #[options(no_short, help = "only every Nth pair", meta = "N", default = "1")]
    every: usize,
    #[options(no_short, help = "cases at the same time", meta = "N", default = "4")]
    jobs: usize,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(no_short, help = "only cases whose name contains this", meta = "TEXT")]
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
    let is_good = match &flags.command {
        Some(Command::Matrix(matrix)) => runtime.block_on(run_matrix(matrix)),
        None => {
            eprintln!("cassialock-load: no command given; see --help");
            return ExitCode::from(2);
        }
    };
    runtime.shutdown_background();
    if is_good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn name_of(case: &Case) -> String {
    let faults: Vec<String> = case.faults.iter().map(|f| format!("{f:?}")).collect();
    format!("{} {}", case.deployment, faults.join("+"))
}

async fn run_matrix(flags: &MatrixFlags) -> bool {
    let mut cases = matrix::singles();
    if !flags.singles {
        cases.extend(matrix::pairs().into_iter().step_by(flags.every.max(1)));
    }
    if let Some(only) = &flags.only {
        cases.retain(|case| name_of(case).contains(only));
    }
    let mut reports: Vec<Report> = Vec::new();
    let mut errors = 0;
    let mut running = JoinSet::new();
    let mut waiting = cases.into_iter();
    loop {
        while running.len() < flags.jobs.max(1)
            && let Some(case) = waiting.next()
        {
            running.spawn(async move { (name_of(&case), case.run().await) });
        }
        match running.join_next().await {
            Some(Ok((name, Ok(report)))) => {
                for broken in &report.broken {
                    eprintln!("{name}: {:?}: {}", broken.promise, broken.seen);
                }
                reports.push(report);
            }
            Some(Ok((name, Err(e)))) => {
                eprintln!("{name}: {e}");
                errors += 1;
            }
            Some(Err(e)) => {
                eprintln!("case ended early: {e}");
                errors += 1;
            }
            None => break,
        }
    }
    print_matrix(&reports, flags.json);
    errors == 0 && reports.iter().all(|report| report.broken.is_empty())
}

fn print_matrix(reports: &[Report], is_json: bool) {
    if is_json {
        match serde_json::to_string_pretty(reports) {
            Ok(text) => println!("{text}"),
            Err(e) => eprintln!("cassialock-load: {e}"),
        }
        return;
    }
    let rows: Vec<Vec<String>> = matrix::PROMISES
        .iter()
        .map(|promise| {
            let has = |report: &&Report| report.broken.iter().any(|b| b.promise == *promise);
            let broken = reports.iter().filter(has).count();
            vec![
                format!("{promise:?}"),
                reports.len().to_string(),
                broken.to_string(),
            ]
        })
        .collect();
    table::print(&["PROMISE", "CASES", "BROKEN"], &rows);
    let sum = |count: fn(&Report) -> u64| reports.iter().map(count).sum::<u64>();
    println!(
        "{} requests, {} whole, {} refused, {} keyed calls, {} patches accepted",
        sum(|r| r.requests),
        sum(|r| r.whole),
        sum(|r| r.refused),
        sum(|r| r.keyed),
        sum(|r| r.patches),
    );
}
