//! Bounds of a transfer.

use std::time::Duration;

use base::ByteSize;
pub(crate) use settings::Strategy;

/// Bounds of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferSettings {
    /// How chunks spread.
    pub strategy: Strategy,
    /// Fetches from peers in progress at a time.
    pub max_peer_fetches: usize,
    /// Reads from the store and the origin in progress at a time.
    pub max_upstream_fetches: usize,
    /// Fetches from one peer in progress at a time.
    pub max_fetches_per_peer: usize,
    /// Time without progress before peers are asked for chunks that nobody announced; also the time
    /// that a chunk waits for a nearer source.
    pub fallback_delay: Duration,
    /// Time without progress, for each VM that comes before, until this VM reads a chunk from outside
    /// in place of an owner that does not answer.
    pub takeover_delay: Duration,
    /// The same for an owner that answers, but does not have the chunk.
    pub slow_takeover_delay: Duration,
    /// Delay before a source that failed is asked again.
    pub backoff: Duration,
    /// Shortest time after which a fetch from a peer counts as stalled.
    pub stall_timeout: Duration,
    /// Delay of announcements to children.
    pub child_announce_delay: Duration,
    /// Delay of announcements to neighbours.
    pub neighbour_announce_delay: Duration,
    /// Memory for chunks. Where a model is larger, its chunks are fetched in the order of the list.
    pub memory: ByteSize,
    /// What may be read from the origin.
    pub origin: OriginBudget,
}

/// The origin budget of a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginBudget {
    /// VMs that read each chunk from the origin at once.
    pub copies: u32,
    /// Most that all VMs together read, in hundredths of a copy.
    pub percent: u32,
}

impl Default for TransferSettings {
    fn default() -> TransferSettings {
        TransferSettings {
            strategy: Strategy::Rarest,
            max_peer_fetches: 8,
            max_upstream_fetches: 2,
            max_fetches_per_peer: 3,
            fallback_delay: Duration::from_millis(800),
            takeover_delay: Duration::from_millis(1200),
            slow_takeover_delay: Duration::from_millis(5000),
            backoff: Duration::from_millis(300),
            stall_timeout: Duration::from_millis(1000),
            child_announce_delay: Duration::from_millis(20),
            neighbour_announce_delay: Duration::from_millis(400),
            memory: ByteSize(u64::MAX),
            origin: OriginBudget { copies: 1, percent: 150 },
        }
    }
}
