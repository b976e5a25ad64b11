//! Entries against fakes of the store and the cloud.

mod fakes;
mod feeds;
mod path;
mod relay;
