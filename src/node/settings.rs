//! Settings of a node, read from flags and environment variables.

use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;

use crate::core::Name;
use crate::core::retry::hedge;
use crate::core::route::PolicyKind;
use crate::entry::settings::Features;
use crate::node::logging::Format;

/// The definition of a setting: flag, environment variable, default and help text.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Name of the flag, without dashes.
    pub flag: &'static str,
    /// Name of the environment variable.
    pub variable: &'static str,
    /// Default value; empty if the setting is required.
    pub default: &'static str,
    /// Help text.
    pub help: &'static str,
}

const fn setting(
    flag: &'static str,
    variable: &'static str,
    default: &'static str,
    help: &'static str,
) -> Setting {
    Setting {
        flag,
        variable,
        default,
        help,
    }
}

/// Flag of the extra work of hedged requests.
const HEDGE_FLAG: &str = "hedge-extra-work";

/// Flag that has entries refuse requests early while servers are short of capacity.
const ADMISSION_FLAG: &str = "admission";

/// Flag that has entries place requests by predicted time.
const PREDICTION_FLAG: &str = "prediction";

/// All settings of a node.
pub const SETTINGS: [Setting; 14] = [
    setting("id", "CASSIALOCK_ID", "", "name of this node"),
    setting(
        "domain",
        "CASSIALOCK_DOMAIN",
        "",
        "failure domain of this node",
    ),
    setting(
        "listen",
        "CASSIALOCK_LISTEN",
        "",
        "IP number and port for callers and operators",
    ),
    setting(
        "peer-listen",
        "CASSIALOCK_PEER_LISTEN",
        "",
        "IP number and port for other nodes",
    ),
    setting(
        "platform",
        "CASSIALOCK_PLATFORM",
        "",
        "IP number and port of the platform's API",
    ),
    setting(
        "seeds",
        "CASSIALOCK_SEEDS",
        "none",
        "peer addresses to contact at startup, separated by commas",
    ),
    setting(
        "node-service",
        "CASSIALOCK_NODE_SERVICE",
        "cassialock",
        "name of the service under which the platform lists nodes",
    ),
    setting(
        "policy",
        "CASSIALOCK_POLICY",
        "scored",
        "routing policy: scored, round-robin, least-loaded or two-choices",
    ),
    setting(
        "drain-s",
        "CASSIALOCK_DRAIN_S",
        "25",
        "drain time: how long open requests may run when the node drains, in seconds",
    ),
    setting(
        HEDGE_FLAG,
        "CASSIALOCK_HEDGE_EXTRA_WORK",
        "0",
        "extra work of hedged requests in percent of the work of a service, 0 (off) to 20",
    ),
    setting(
        ADMISSION_FLAG,
        "CASSIALOCK_ADMISSION",
        "off",
        "on: entries order and refuse requests early while servers are short of capacity",
    ),
    setting(
        PREDICTION_FLAG,
        "CASSIALOCK_PREDICTION",
        "off",
        "on: entries place requests by predicted time where servers state their speed",
    ),
    setting(
        "log-format",
        "CASSIALOCK_LOG_FORMAT",
        "text",
        "text or json",
    ),
    setting(
        "log-level",
        "CASSIALOCK_LOG_LEVEL",
        "info",
        "error, warn, info, debug or trace",
    ),
];

/// The source of a value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A flag on the command line.
    Flag,
    /// An environment variable.
    Variable,
    /// The default value.
    Default,
}

/// A setting whose value is missing or invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidSetting {
    /// Name of the flag.
    pub flag: &'static str,
    /// Name of the environment variable.
    pub variable: &'static str,
    /// Source of the value.
    pub source: Source,
    /// Description of the problem, in one clause.
    pub problem: String,
}

impl std::fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let InvalidSetting { flag, variable, .. } = self;
        match self.source {
            Source::Flag => write!(f, "--{flag}: {}", self.problem),
            Source::Variable => write!(
                f,
                "{variable} (environment, for --{flag}): {}",
                self.problem
            ),
            Source::Default => write!(f, "--{flag} or {variable}: {}", self.problem),
        }
    }
}

/// Validated settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this node.
    pub id: Name,
    /// Failure domain of this node.
    pub domain: Name,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for other nodes.
    pub peer_listen: SocketAddr,
    /// Address of the platform's API.
    pub platform: SocketAddr,
    /// Peer addresses that are contacted at startup.
    pub seeds: Vec<SocketAddr>,
    /// Name of the service under which the platform lists nodes.
    pub node_service: Name,
    /// Routing policy.
    pub policy: PolicyKind,
    /// Drain time: how long open requests may run when the node drains.
    pub drain: Duration,
    /// Extra work of hedged requests in percent of the work of a service; 0 if they are
    /// off.
    pub hedge_percent: f64,
    /// Format of log lines.
    pub log_format: Format,
    /// Most verbose level that is logged.
    pub log_level: LevelFilter,
}

struct Reader<'a> {
    flag: &'a dyn Fn(&str) -> Option<String>,
    variable: &'a dyn Fn(&str) -> Option<String>,
    invalid: Vec<InvalidSetting>,
}

impl Reader<'_> {
    /// Reads one setting with `parse`, or records it as invalid and returns `None`.
    fn read<T>(&mut self, name: &str, parse: impl FnOnce(&str) -> Result<T, String>) -> Option<T> {
        let setting = SETTINGS.iter().find(|setting| setting.flag == name)?;
        let (value, source) = if let Some(value) = (self.flag)(setting.flag) {
            (value, Source::Flag)
        } else if let Some(value) = (self.variable)(setting.variable) {
            (value, Source::Variable)
        } else {
            (setting.default.to_string(), Source::Default)
        };
        let parsed = if value.is_empty() {
            Err("must be given".to_string())
        } else {
            parse(&value)
        };
        match parsed {
            Ok(value) => Some(value),
            Err(problem) => {
                self.invalid.push(InvalidSetting {
                    flag: setting.flag,
                    variable: setting.variable,
                    source,
                    problem,
                });
                None
            }
        }
    }

    fn read_features(&mut self) -> Option<Features> {
        let hedge_percent = self.read(HEDGE_FLAG, hedge::parse_percent);
        let admission = self.read(ADMISSION_FLAG, parse_switch);
        let prediction = self.read(PREDICTION_FLAG, parse_switch);
        Some(Features {
            hedge_percent: hedge_percent?,
            admission: admission?,
            prediction: prediction?,
        })
    }
}

fn parse_name(text: &str) -> Result<Name, String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if text.len() <= 64 && text.chars().all(is_allowed) {
        Ok(text.into())
    } else {
        Err("expected at most 64 letters, digits, dashes, dots or underscores".into())
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("expected an IP number and port, got {text:?}"))
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    if text == "none" {
        return Ok(Vec::new());
    }
    text.split(',').map(parse_address).collect()
}

fn parse_switch(text: &str) -> Result<bool, String> {
    match text {
        "on" => Ok(true),
        "off" => Ok(false),
        _ => Err(format!("expected on or off, got {text:?}")),
    }
}

fn parse_seconds(text: &str) -> Result<Duration, String> {
    match text.parse() {
        Ok(seconds @ 1..=3_600) => Ok(Duration::from_secs(seconds)),
        _ => Err(format!("expected seconds from 1 to 3600, got {text:?}")),
    }
}

impl Settings {
    /// Reads all settings; a flag takes precedence over the environment variable, and
    /// the variable over the default.
    ///
    /// # Errors
    ///
    /// Returns all settings whose value is missing or invalid.
    pub fn read(
        flag: &dyn Fn(&str) -> Option<String>,
        variable: &dyn Fn(&str) -> Option<String>,
    ) -> Result<Self, Vec<InvalidSetting>> {
        let mut reader = Reader {
            flag,
            variable,
            invalid: Vec::new(),
        };
        let settings = Self::read_all(&mut reader);
        match settings {
            Some(settings) if reader.invalid.is_empty() => Ok(settings),
            _ => Err(reader.invalid),
        }
    }

    fn read_all(reader: &mut Reader<'_>) -> Option<Self> {
        // All settings are read before the first `?`, so that all invalid ones are reported.
        let id = reader.read("id", parse_name);
        let domain = reader.read("domain", parse_name);
        let listen = reader.read("listen", parse_address);
        let peer_listen = reader.read("peer-listen", parse_address);
        let platform = reader.read("platform", parse_address);
        let seeds = reader.read("seeds", parse_addresses);
        let node_service = reader.read("node-service", parse_name);
        let policy = reader.read("policy", str::parse);
        let drain = reader.read("drain-s", parse_seconds);
        let features = reader.read_features();
        let log_format = reader.read("log-format", str::parse);
        let log_level = reader.read("log-level", |text| {
            text.parse().map_err(|_| format!("unknown level {text:?}"))
        });
        Some(Self {
            id: id?,
            domain: domain?,
            listen: listen?,
            peer_listen: peer_listen?,
            platform: platform?,
            seeds: seeds?,
            node_service: node_service?,
            policy: policy?,
            drain: drain?,
            // The others are only checked: they are features of entries.
            hedge_percent: features?.hedge_percent,
            log_format: log_format?,
            log_level: log_level?,
        })
    }
}

/// Reads only the optional features.
///
/// An entry with a settings file reads them in this way, since the file has no such fields.
///
/// # Errors
///
/// Returns the settings whose values are invalid.
pub fn read_features(
    flag: &dyn Fn(&str) -> Option<String>,
    variable: &dyn Fn(&str) -> Option<String>,
) -> Result<Features, Vec<InvalidSetting>> {
    let mut reader = Reader {
        flag,
        variable,
        invalid: Vec::new(),
    };
    let features = reader.read_features();
    features.ok_or(reader.invalid)
}
