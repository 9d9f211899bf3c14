//! Changes of the platform's store that one gateway passes on to another.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a gateway knows of the store's changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedChanges<'a> {
    /// Milliseconds since the store was last known to have no newer change.
    age_ms: u32,
    /// A response of the store with the next changes; empty if there are none.
    pub body: &'a [u8],
}

impl<'a> RelayedChanges<'a> {
    /// Changes as known `age` ago.
    pub fn new(age: Duration, body: &'a [u8]) -> RelayedChanges<'a> {
        RelayedChanges { age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX), body }
    }

    /// Time since the store was last known to have no newer change, when the response was sent.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }

    /// Encodes the changes as the body of a response.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes the body of a response.
    pub fn decode(bytes: &'a [u8]) -> Result<RelayedChanges<'a>, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

#[cfg(test)]
mod tests;
