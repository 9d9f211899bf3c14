//! Requests that were recently refused in this zone. Recognizes callers that retry.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::Digest;
use peering::RefusedRequest;

/// Time for which a refused request is remembered, counted from when it was first sent.
const EXPIRY: Duration = Duration::from_secs(8);
/// Maximum number of remembered requests.
const MAX_REQUESTS: usize = 20_000;

/// Recently refused requests.
#[derive(Debug, Default)]
pub(crate) struct RecentRefusals {
    /// Time when the caller first sent the request, by shortened fingerprint.
    first_requested: HashMap<u64, Instant>,
    /// Refusals not yet reported to the other gateways of the zone.
    pending: Vec<(u64, Instant)>,
}

impl RecentRefusals {
    /// Records a request that this gateway refused and that its caller first sent at `first_requested`.
    pub(crate) fn record(&mut self, fingerprint: &Digest, first_requested: Instant) {
        if self.first_requested.len() < MAX_REQUESTS {
            self.first_requested.insert(fingerprint.short(), first_requested);
            self.pending.push((fingerprint.short(), first_requested));
        }
    }

    /// Records a request that another gateway refused.
    pub(crate) fn record_remote(&mut self, refused: &RefusedRequest, now: Instant) {
        let age = Duration::from_millis(refused.age_ms.into());
        if age < EXPIRY && self.first_requested.len() < MAX_REQUESTS {
            let first_requested = now.checked_sub(age).unwrap_or(now);
            self.first_requested.entry(refused.fingerprint).or_insert(first_requested);
        }
    }

    /// Returns when a recently refused request was first sent, or `None` if it was not refused.
    pub(crate) fn first_requested(&self, fingerprint: &Digest, now: Instant) -> Option<Instant> {
        let first_requested = *self.first_requested.get(&fingerprint.short())?;
        (now.saturating_duration_since(first_requested) < EXPIRY).then_some(first_requested)
    }

    /// Takes up to `limit` refusals to report to the other gateways.
    pub(crate) fn take_pending(&mut self, limit: usize, now: Instant) -> Vec<RefusedRequest> {
        let pending = self.pending.drain(..self.pending.len().min(limit));
        let message = |(fingerprint, first_requested): (u64, Instant)| RefusedRequest {
            fingerprint,
            age_ms: now.saturating_duration_since(first_requested).as_millis() as u32,
        };
        pending.map(message).collect()
    }

    /// Forgets requests older than `EXPIRY`.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.first_requested
            .retain(|_, first_requested| now.saturating_duration_since(*first_requested) < EXPIRY);
    }
}

#[cfg(test)]
mod tests;
