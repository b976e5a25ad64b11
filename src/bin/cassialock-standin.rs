//! Runs one stand-in as a separate process, for tests.

use std::process::ExitCode;

use cassialock::standin;
use cassialock::standin::engine;
use gumdrop::Options;

/// Flags of `cassialock-standin`.
#[derive(Debug, Options)]
struct Flags {
    /// Prints the help text.
    help: bool,
    /// Kind of stand-in to run.
    #[options(free, help = "platform, engine, service or proxy")]
    kind: String,
    /// Address to listen on.
    #[options(
        help = "IP address and port to listen on",
        meta = "ADDRESS",
        default = "127.0.0.1:0"
    )]
    listen: String,
    /// Address that the proxy's control API listens on.
    #[options(
        help = "IP address and port of the proxy's control API",
        meta = "ADDRESS",
        default = "127.0.0.1:0"
    )]
    control: String,
    /// Address that the proxy forwards to.
    #[options(help = "address that the proxy forwards to", meta = "ADDRESS")]
    target: Option<String>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    match run(&flags).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cassialock-standin: {e}");
            ExitCode::from(2)
        }
    }
}

async fn run(flags: &Flags) -> std::io::Result<()> {
    let running = match flags.kind.as_str() {
        "platform" => standin::platform::start(&flags.listen).await?,
        "service" => standin::service::start(&flags.listen).await?,
        "engine" => {
            let options = engine::Options {
                exits: true,
                ..engine::Options::default()
            };
            engine::start(&flags.listen, options).await?
        }
        "proxy" => {
            let target = flags
                .target
                .clone()
                .ok_or_else(|| std::io::Error::other("--target is required for a proxy"))?;
            let proxy = standin::proxy::start(&flags.listen, &flags.control, &target).await?;
            println!("control {}", proxy.control.address);
            println!("listening {}", proxy.proxy.address);
            proxy.proxy.join().await;
            proxy.control.join().await;
            return Ok(());
        }
        other => {
            let text = format!("unknown stand-in {other:?}; see --help");
            return Err(std::io::Error::other(text));
        }
    };
    println!("listening {}", running.address);
    running.join().await;
    Ok(())
}
