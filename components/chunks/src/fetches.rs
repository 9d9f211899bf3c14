//! Fetches in progress.

use std::time::{Duration, Instant};

use crate::Source;

/// A fetch in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Fetch {
    pub(crate) chunk: u32,
    pub(crate) source: Source,
    pub(crate) started: Instant,
}

/// The fetches in progress of a transfer.
#[derive(Debug, Default)]
pub(crate) struct Fetches {
    all: Vec<Fetch>,
    /// Moving average of the duration of a fetch from a peer.
    mean_duration: Option<Duration>,
}

impl Fetches {
    pub(crate) fn add(&mut self, chunk: u32, source: Source, since: Instant) {
        self.all.push(Fetch { chunk, source, started: since });
    }

    /// Removes the fetch of a chunk from any source.
    pub(crate) fn remove(&mut self, chunk: u32) -> Option<Fetch> {
        let at = self.all.iter().position(|fetch| fetch.chunk == chunk)?;
        Some(self.all.swap_remove(at))
    }

    /// Whether a chunk is being fetched from `source`.
    pub(crate) fn contains(&self, chunk: u32, source: &Source) -> bool {
        self.all.iter().any(|fetch| fetch.chunk == chunk && fetch.source == *source)
    }

    /// Number of fetches from peers.
    pub(crate) fn peer_count(&self) -> usize {
        self.all.iter().filter(|fetch| is_peer(&fetch.source)).count()
    }

    /// Number of reads from the store and the origin.
    pub(crate) fn upstream_count(&self) -> usize {
        self.all.len() - self.peer_count()
    }

    /// Number of fetches from one source.
    pub(crate) fn count(&self, source: &Source) -> usize {
        self.all.iter().filter(|fetch| fetch.source == *source).count()
    }

    /// Updates the mean duration with a successful fetch from a peer.
    pub(crate) fn record_duration(&mut self, fetch: &Fetch, now: Instant) {
        if is_peer(&fetch.source) {
            let took = now.saturating_duration_since(fetch.started);
            self.mean_duration =
                Some(self.mean_duration.map_or(took, |mean| (mean * 7 + took) / 8));
        }
    }

    /// Fetches from peers that take at least `stall` and four times the mean duration, and reads
    /// from upstream that take at least `upstream`.
    pub(crate) fn overdue(&self, stall: Duration, upstream: Duration, now: Instant) -> Vec<Fetch> {
        let peer = stall.max(self.mean_duration.unwrap_or(stall) * 4);
        let is_overdue = |fetch: &&Fetch| {
            let limit = if is_peer(&fetch.source) { peer } else { upstream };
            now.saturating_duration_since(fetch.started) >= limit
        };
        self.all.iter().filter(is_overdue).cloned().collect()
    }
}

fn is_peer(source: &Source) -> bool {
    matches!(source, Source::Peer(_))
}
