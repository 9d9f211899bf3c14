//! Sources of chunks, and what a transfer asks of the process.

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
    /// The kind of source, as metrics name it.
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
    /// The source asks to wait.
    Limited(Duration),
    /// The bytes did not match the digest.
    Corrupted,
    /// The connection failed or stalled.
    Failed,
}

impl FetchError {
    /// The kind of failure, as metrics name it.
    pub fn kind(self) -> &'static str {
        match self {
            FetchError::Missing => "missing",
            FetchError::Limited(_) => "limited",
            FetchError::Corrupted => "corrupted",
            FetchError::Failed => "failed",
        }
    }
}

/// What the process is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Fetch a chunk.
    Fetch {
        /// Position in the list.
        chunk: u32,
        /// Its digest.
        digest: Digest,
        /// Where from.
        source: Source,
    },
    /// Tell a VM which chunks it can fetch here.
    Announce {
        /// The VM.
        to: VmId,
        /// Positions in the list; none to ask the VM what it has.
        chunks: Vec<u32>,
    },
}
