//! Settings of a transfer.

use std::time::Duration;

use base::ByteSize;
pub(crate) use settings::Strategy;

/// Settings of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferSettings {
    /// How chunks are distributed between VMs.
    pub strategy: Strategy,
    /// Maximum number of concurrent fetches from peers.
    pub max_peer_fetches: usize,
    /// Maximum number of concurrent reads from upstream, i.e. from the store and the origin.
    pub max_upstream_fetches: usize,
    /// Maximum number of concurrent fetches from one peer.
    pub max_fetches_per_peer: usize,
    /// Time without progress after which peers are asked for chunks that nobody announced; also the
    /// time that a chunk waits for a nearer source before the next locality is considered.
    pub fallback_delay: Duration,
    /// Time without progress, per VM with a lower takeover rank, after which this VM reads a chunk
    /// from upstream in place of an owner that does not respond.
    pub takeover_delay: Duration,
    /// The same for an owner that responds, but does not have the chunk.
    pub slow_takeover_delay: Duration,
    /// Delay before a failed source is retried.
    pub backoff: Duration,
    /// Minimum time after which a fetch from a peer counts as stalled.
    pub stall_timeout: Duration,
    /// Delay for batching announcements to children.
    pub child_announce_delay: Duration,
    /// Delay for batching announcements to neighbours.
    pub neighbour_announce_delay: Duration,
    /// Memory for chunks. If a model is larger, its chunks are fetched in the order of the list.
    pub memory: ByteSize,
    /// Limit on reads from the origin.
    pub origin: OriginBudget,
}

/// The origin budget of a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginBudget {
    /// Number of VMs that read each chunk from the origin without waiting for each other.
    pub copies: u32,
    /// Maximum that all VMs together read, in percent of one copy of the release.
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
