//! Tests of entries against a fake store and a fake cloud.

mod fakes;
mod feeds;
mod relay;
mod requests;
