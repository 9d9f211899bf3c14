//! Fetches in progress.

use std::time::{Duration, Instant};

use crate::Source;

/// A fetch in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Flight {
    pub(crate) chunk: u32,
    pub(crate) source: Source,
    pub(crate) since: Instant,
}

/// All fetches in progress of a transfer; a few at a time.
#[derive(Debug, Default)]
pub(crate) struct Flights {
    all: Vec<Flight>,
    /// Smoothed time of a fetch from a peer.
    usual: Option<Duration>,
}

impl Flights {
    pub(crate) fn add(&mut self, chunk: u32, source: Source, since: Instant) {
        self.all.push(Flight { chunk, source, since });
    }

    /// Removes the fetch of a chunk, whatever its source.
    pub(crate) fn remove(&mut self, chunk: u32) -> Option<Flight> {
        let at = self.all.iter().position(|flight| flight.chunk == chunk)?;
        Some(self.all.swap_remove(at))
    }

    /// Whether `source` is being asked for a chunk.
    pub(crate) fn contains(&self, chunk: u32, source: &Source) -> bool {
        self.all.iter().any(|flight| flight.chunk == chunk && flight.source == *source)
    }

    /// Fetches from peers.
    pub(crate) fn peer_count(&self) -> usize {
        self.all.iter().filter(|flight| is_peer(&flight.source)).count()
    }

    /// Reads from the store and the origin.
    pub(crate) fn outside_count(&self) -> usize {
        self.all.len() - self.peer_count()
    }

    /// Fetches from one peer.
    pub(crate) fn count(&self, source: &Source) -> usize {
        self.all.iter().filter(|flight| flight.source == *source).count()
    }

    /// Learns from a fetch that ended well.
    pub(crate) fn learn(&mut self, flight: &Flight, now: Instant) {
        if is_peer(&flight.source) {
            let took = now.saturating_duration_since(flight.since);
            self.usual = Some(self.usual.map_or(took, |usual| (usual * 7 + took) / 8));
        }
    }

    /// Fetches from peers that take far longer than is usual, and those from outside that take longer
    /// than `outside`.
    pub(crate) fn overdue(&self, stall: Duration, outside: Duration, now: Instant) -> Vec<Flight> {
        let peer = stall.max(self.usual.unwrap_or(stall) * 4);
        let late = |flight: &&Flight| {
            let bound = if is_peer(&flight.source) { peer } else { outside };
            now.saturating_duration_since(flight.since) >= bound
        };
        self.all.iter().filter(late).cloned().collect()
    }
}

fn is_peer(source: &Source) -> bool {
    matches!(source, Source::Peer(_))
}
