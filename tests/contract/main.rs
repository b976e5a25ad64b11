//! Contracts of the interfaces: frames, the platform, settings, the command line.

mod adapter;
mod cli;
mod frames;
mod platform;
mod settings;
