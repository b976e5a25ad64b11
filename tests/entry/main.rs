//! Entries against fakes of the store and the cloud.

mod fakes;
mod feeds;
mod relay;
mod requests;
