//! Stand-ins and scenarios of the review's scripts.
//!
//! `standin-2 CASE RECORD` plays a case, writes what was sent, answered and run to RECORD,
//! and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod cases;
mod net;
mod store;
mod world;

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    if case == "crashing-server" {
        return cases::poison::server_process(&args.collect::<Vec<_>>());
    }
    if case == "part-server" {
        return cases::part::server_process(&args.collect::<Vec<_>>());
    }
    let path = args.next().unwrap_or_else(|| "record.txt".into());
    net::ms();
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "endless" => cases::endless::play(),
        "gone" => cases::gone::play(),
        "version" => cases::version::play(cases::version::Fault::Status),
        "pace" => cases::version::play(cases::version::Fault::Pace),
        "part" => cases::part::play(),
        "poison" => cases::poison::play(),
        "restored" => cases::restored::play(),
        "tenants" => cases::tenants::play(),
        "heads" => cases::heads::play(),
        "away" => cases::away::play(),
        _ => world::cannot_run("no such case"),
    });
    let Ok(broken) = played else {
        world::cannot_run("the scenario has failed")
    };
    world::note(if broken { "BROKEN" } else { "held" });
    net::write_record(&path);
    world::end_processes();
    std::process::exit(i32::from(broken));
}
