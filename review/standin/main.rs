//! Stand-ins of the review's scripts, and the scripts' order of events.
//!
//! Uses the standard library only. `standin CASE RECORD TMP` plays a case,
//! writes the file RECORD, and exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

mod cluster;
mod endless;
mod fences;
mod http;
mod json;
mod keys;
mod leavers;
mod odd;
mod pieces;
mod store;
mod usage;

use std::process::ExitCode;

use cluster::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path, tmp] = &arguments[..] else {
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(path);
    record.line(format!("{case}, with the disruption: {has_trouble}"));
    let verdict = match case.as_str() {
        "endless" => endless::play(&record, tmp, has_trouble),
        "fences" => fences::play(&record, tmp, has_trouble),
        "keys" => keys::play(&record, tmp, has_trouble),
        "leavers" => leavers::play(&record, tmp, has_trouble),
        "odd" => odd::play(&record, tmp, has_trouble),
        "usage" => usage::play(&record, tmp, has_trouble),
        "pieces" => pieces::play(&record, tmp, has_trouble),
        _ => Verdict::NotRun,
    };
    let (word, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.line(word);
    println!("{case}: {word}");
    ExitCode::from(code)
}
