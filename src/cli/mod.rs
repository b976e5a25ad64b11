//! The operators' command line.

use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::Category;
use crate::error::Error;

pub mod client;
pub mod commands;
pub mod table;

/// Exit codes; they stay the same between versions.
pub mod exit {
    /// Done.
    pub const SUCCESS: u8 = 0;
    /// The operating system refused something.
    pub const FAILED: u8 = 1;
    /// The command or a setting cannot be used.
    pub const USAGE: u8 = 2;
    /// The version move was taken back.
    pub const REVERTED: u8 = 3;
    /// The system refused.
    pub const REFUSED: u8 = 4;
    /// The configuration has changed since it was read.
    pub const CONFLICT: u8 = 5;
    /// No node or no store answered.
    pub const UNAVAILABLE: u8 = 6;
    /// Something did not happen in time.
    pub const TIMED_OUT: u8 = 7;
}

/// Returns the exit code for an error.
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

/// Where a command goes and how it prints.
#[derive(Clone, Debug)]
pub struct Context {
    /// Addresses of nodes, tried in order.
    pub nodes: Vec<String>,
    /// Whether output is JSON.
    pub json: bool,
    /// Longest time to wait for something to happen.
    pub timeout: Duration,
}

impl Context {
    /// Reads from the first node that answers.
    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let body = client::try_nodes(&self.nodes, |node| client::get(node, path))?;
        parse(path, &body)
    }

    fn print_json(&self, value: &Value) {
        println!("{value:#}");
    }
}

fn parse<T: DeserializeOwned>(place: &str, body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|e| Error::refused(place, e.to_string()))
}
