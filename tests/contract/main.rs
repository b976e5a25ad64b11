//! Contract tests of the external interfaces: frames, platform, settings and command line.

mod adapter;
mod cli;
mod cold;
mod endless_api;
mod frames;
mod odd_entries;
mod platform;
mod restored;
mod settings;
