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
    /// The changes.
    #[serde(borrow)]
    pub content: RelayedContent<'a>,
}

/// A response of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayedBody<'a> {
    /// As the store sent it.
    Plain(&'a [u8]),
    /// Compressed.
    Compressed(&'a [u8]),
}

/// How changes of the store are passed on. The first three are what earlier versions understand, too.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayedContent<'a> {
    /// There are none.
    None,
    /// A response of the store with the next changes.
    Changes(&'a [u8]),
    /// The responses to a read of the whole store, as the changes themselves are no longer known.
    All {
        /// The revision after which to ask for changes.
        revision: u64,
        /// The responses, in order.
        #[serde(borrow)]
        pages: Vec<&'a [u8]>,
    },
    /// Like `Changes`, for who understands compressed responses.
    ChangesBody(RelayedBody<'a>),
    /// Like `All`, for who understands compressed responses.
    AllBodies {
        /// The revision after which to ask for changes.
        revision: u64,
        /// The responses, in order.
        #[serde(borrow)]
        pages: Vec<RelayedBody<'a>>,
    },
}

impl<'a> RelayedChanges<'a> {
    /// Changes as known `age` ago.
    pub fn new(age: Duration, content: RelayedContent<'a>) -> RelayedChanges<'a> {
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        RelayedChanges { age_ms, known_age_ms: None, content }
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
