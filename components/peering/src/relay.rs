//! Changes of the platform's store that one gateway passes on to another.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a gateway knows of the store's changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedChanges<'a> {
    /// Milliseconds since the store was last known to have no newer change.
    age_ms: u32,
    /// Milliseconds, rounded up, since the time before which the store acknowledged no change that is
    /// unknown to who has these; `None` if more changes follow.
    known_age_ms: Option<u32>,
    /// A response of the store with the next changes; empty if there are none.
    pub body: &'a [u8],
}

impl<'a> RelayedChanges<'a> {
    /// Changes as known `age` ago.
    pub fn new(age: Duration, body: &'a [u8]) -> RelayedChanges<'a> {
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        RelayedChanges { age_ms, known_age_ms: None, body }
    }

    /// Adds the time for which changes that are unknown to who has these may exist.
    pub fn with_known_age(self, age: Duration) -> RelayedChanges<'a> {
        let age_ms = u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX);
        RelayedChanges { known_age_ms: Some(age_ms), ..self }
    }

    /// Time since the store was last known to have no newer change, when the response was sent.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }

    /// Time for which changes that are unknown to who has these may exist, when the response was sent;
    /// `None` if more changes follow.
    pub fn known_age(&self) -> Option<Duration> {
        self.known_age_ms.map(|ms| Duration::from_millis(ms.into()))
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
