//! Logging to the standard error stream, one line for each event.
//!
//! Each line starts with a fixed prefix that names the component.

use std::str::FromStr;

use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::console::Target;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Root;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

use crate::error::Error;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// One line of text for each event.
    #[default]
    Text,
    /// One JSON object for each event.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err("expected text or json".into()),
        }
    }
}

/// Initializes the logger, which writes events of `level` and above to the standard
/// error stream.
///
/// # Errors
///
/// Returns an error if a logger has already been initialized.
pub fn init(format: Format, level: LevelFilter) -> Result<(), Error> {
    let builder = ConsoleAppender::builder().target(Target::Stderr);
    let appender = match format {
        Format::Text => {
            let pattern = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:<5} {m}{n}";
            builder.encoder(Box::new(PatternEncoder::new(pattern)))
        }
        Format::Json => builder.encoder(Box::new(JsonEncoder::new())),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender.build())))
        .build(Root::builder().appender("stderr").build(level))
        .map_err(|e| Error::usage("log", e.to_string()))?;
    log4rs::init_config(config).map_err(|e| Error::usage("log", e.to_string()))?;
    Ok(())
}
