//! Commands of the `cassialock` operator command line.

use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::Category;
use crate::error::Error;

pub mod client;
pub mod commands;
pub mod explain;
pub mod table;

/// Exit codes of the command line, stable across versions.
pub mod exit {
    /// The command succeeded.
    pub const SUCCESS: u8 = 0;
    /// An I/O error occurred, or the demo found a problem.
    pub const FAILED: u8 = 1;
    /// The command line, an argument or an input file is invalid.
    pub const USAGE: u8 = 2;
    /// The version move was reverted.
    pub const REVERTED: u8 = 3;
    /// A node refused the request, or its answer could not be parsed.
    pub const REFUSED: u8 = 4;
    /// The configuration changed after the base number of the patch.
    pub const CONFLICT: u8 = 5;
    /// No node was reachable, or the configuration store was unavailable.
    pub const UNAVAILABLE: u8 = 6;
    /// The awaited state was not reached before the timeout.
    pub const TIMED_OUT: u8 = 7;
}

/// Returns the exit code for an error category.
pub const fn exit_code(category: Category) -> u8 {
    match category {
        Category::Io => exit::FAILED,
        Category::Usage => exit::USAGE,
        Category::Refused => exit::REFUSED,
        Category::Conflict => exit::CONFLICT,
        Category::Unavailable => exit::UNAVAILABLE,
        Category::TimedOut => exit::TIMED_OUT,
    }
}

/// Options shared by all commands: target nodes, output format and timeout.
#[derive(Clone, Debug)]
pub struct Context {
    /// Node addresses, tried in order.
    pub nodes: Vec<String>,
    /// Whether to print JSON instead of text.
    pub json: bool,
    /// How long commands wait for a change to take effect.
    pub timeout: Duration,
}

impl Context {
    /// Sends a GET request to the first available node and parses the JSON body.
    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let body = client::try_nodes(&self.nodes, |node| client::get(node, path))?;
        parse(path, &body)
    }

    fn print_json(&self, value: &Value) {
        println!("{value:#}");
    }
}

fn parse<T: DeserializeOwned>(source: &str, body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|e| Error::refused(source, e.to_string()))
}
