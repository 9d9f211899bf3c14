//! Clients for the platform: configuration service, VM list, weight store and origin.

mod blobs;
mod documents;

pub use blobs::{BlobError, fetch_blob};
pub use documents::{RevisionedValue, read_value, watch_value};
