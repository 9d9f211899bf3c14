//! Decides when a list of digests is in doubt, rather than the pieces that do not match it.
//!
//! Spoilt content differs from one response to the next. The same content twice is the piece, and its digest
//! is in doubt.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::Digest;
use bytes::Bytes;

/// Maximum number of pieces whose content is kept.
const MAX_MISMATCHES: usize = 4;
/// Time that a stager in doubt leaves to each member of its zone before it to fetch the list anew.
const DOUBT_STEP: Duration = Duration::from_millis(200);
/// Maximum time that it leaves to all of them.
const MAX_DOUBT_DELAY: Duration = Duration::from_millis(1200);
/// Minimum time between two requests for the list.
const RECHECK_INTERVAL: Duration = Duration::from_secs(3);
/// The same after a list that did not differ.
const CONFIRMED_INTERVAL: Duration = Duration::from_secs(10);

/// Content of a piece that does not match the list.
#[derive(Debug)]
struct Mismatch {
    digest: Digest,
    body: Bytes,
}

/// Pieces that do not match the list, and when the list may be fetched anew.
#[derive(Debug, Default)]
pub(crate) struct ListDoubts {
    mismatches: HashMap<u32, Mismatch>,
    /// Since when the list is in doubt.
    doubted_at: Option<Instant>,
    /// Time before which the list is not requested again.
    not_before: Option<Instant>,
}

impl ListDoubts {
    /// Records content that does not match the list. Returns whether the piece's digest is in doubt.
    pub(crate) fn record(&mut self, piece: u32, body: Bytes, now: Instant) -> bool {
        let digest = Digest::of(&body);
        if self.mismatches.get(&piece).is_some_and(|known| known.digest == digest) {
            self.doubted_at.get_or_insert(now);
            return true;
        }
        if self.mismatches.len() < MAX_MISMATCHES || self.mismatches.contains_key(&piece) {
            self.mismatches.insert(piece, Mismatch { digest, body });
        }
        false
    }

    /// Whether the list is to be requested from the origin, by the member with `rank` in the order of
    /// addresses of its zone.
    pub(crate) fn is_recheck_due(&self, rank: usize, now: Instant) -> bool {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let delay = DOUBT_STEP.saturating_mul(rank).min(MAX_DOUBT_DELAY);
        let is_due = self.doubted_at.is_some_and(|at| now >= at + delay);
        is_due && self.not_before.is_none_or(|at| now >= at)
    }

    /// Records that the list is requested from the origin.
    pub(crate) fn record_request(&mut self, now: Instant) {
        self.not_before = Some(now + RECHECK_INTERVAL);
    }

    /// Records that the list came and does not differ: it is not in doubt for now.
    pub(crate) fn record_confirmed(&mut self, now: Instant) {
        self.not_before = Some(now + CONFIRMED_INTERVAL);
        self.mismatches.clear();
        self.doubted_at = None;
    }

    /// Returns the contents that match a corrected list, and forgets the others.
    pub(crate) fn take_matching(&mut self, digests: &[Digest]) -> Vec<(u32, Bytes)> {
        self.doubted_at = None;
        let all = std::mem::take(&mut self.mismatches).into_iter();
        let matches = |(piece, mismatch): &(u32, Mismatch)| {
            digests.get(*piece as usize) == Some(&mismatch.digest)
        };
        all.filter(matches).map(|(piece, mismatch)| (piece, mismatch.body)).collect()
    }
}

#[cfg(test)]
mod tests;
