//! Sources of chunks, and the actions that a transfer requests from its caller.

use std::time::Duration;

use base::{Digest, VmId};

/// Where a chunk comes from.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Source {
    /// Another agent.
    Peer(VmId),
    /// The weight store.
    Store,
    /// The origin.
    Origin,
}

impl Source {
    /// Name of the kind of source in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Source::Peer(_) => "peer",
            Source::Store => "store",
            Source::Origin => "origin",
        }
    }
}

/// Why a fetch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchError {
    /// The source does not have the chunk.
    Missing,
    /// The source asks to retry after this delay.
    Limited(Duration),
    /// The bytes did not match the digest.
    Corrupted,
    /// The connection failed or stalled.
    Failed,
}

impl FetchError {
    /// Name of the kind of failure in metrics.
    pub fn kind(self) -> &'static str {
        match self {
            FetchError::Missing => "missing",
            FetchError::Limited(_) => "limited",
            FetchError::Corrupted => "corrupted",
            FetchError::Failed => "failed",
        }
    }
}

/// What the caller of a transfer has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Fetch a chunk.
    Fetch {
        /// Index in the list.
        chunk: u32,
        /// Its digest.
        digest: Digest,
        /// Where to fetch it from.
        source: Source,
    },
    /// Tell a VM which chunks it can fetch from this one.
    Announce {
        /// The VM.
        to: VmId,
        /// Indexes in the list; empty to ask the VM which chunks it has.
        chunks: Vec<u32>,
    },
}
