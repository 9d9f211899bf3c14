//! Requests that were refused lately in this zone, so that callers who come back are known.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::Digest;
use peering::RefusedRequest;

/// Time for which a caller may come back.
const EXPIRY: Duration = Duration::from_secs(8);
/// Most requests that are remembered.
const MAX_REQUESTS: usize = 20_000;

/// The requests that were refused lately.
#[derive(Debug, Default)]
pub(crate) struct RecentRefusals {
    /// When the caller first asked, by fingerprint.
    first_requested: HashMap<u64, Instant>,
    /// Refusals that other entries are still to be told of.
    pending: Vec<(u64, Instant)>,
}

fn short_fingerprint(fingerprint: &Digest) -> u64 {
    let Digest(bytes) = fingerprint;
    u64::from_le_bytes([
        bytes[0], bytes[1], bytes[2], bytes[3], bytes[4], bytes[5], bytes[6], bytes[7],
    ])
}

impl RecentRefusals {
    /// A request was refused here; its caller first asked at `asked`.
    pub(crate) fn record(&mut self, fingerprint: &Digest, asked: Instant) {
        if self.first_requested.len() < MAX_REQUESTS {
            self.first_requested.insert(short_fingerprint(fingerprint), asked);
            self.pending.push((short_fingerprint(fingerprint), asked));
        }
    }

    /// Another entry refused a request.
    pub(crate) fn record_remote(&mut self, refused: &RefusedRequest, now: Instant) {
        let age = Duration::from_millis(refused.age_ms.into());
        if age < EXPIRY && self.first_requested.len() < MAX_REQUESTS {
            let asked = now.checked_sub(age).unwrap_or(now);
            self.first_requested.entry(refused.fingerprint).or_insert(asked);
        }
    }

    /// When the caller of a request that was refused first asked.
    pub(crate) fn first_requested(&self, fingerprint: &Digest, now: Instant) -> Option<Instant> {
        let asked = *self.first_requested.get(&short_fingerprint(fingerprint))?;
        (now.saturating_duration_since(asked) < EXPIRY).then_some(asked)
    }

    /// What other entries are to be told.
    pub(crate) fn take_pending(&mut self, most: usize, now: Instant) -> Vec<RefusedRequest> {
        let news = self.pending.drain(..self.pending.len().min(most));
        let message = |(fingerprint, asked): (u64, Instant)| RefusedRequest {
            fingerprint,
            age_ms: now.saturating_duration_since(asked).as_millis() as u32,
        };
        news.map(message).collect()
    }

    /// Forgets what is old.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.first_requested.retain(|_, asked| now.saturating_duration_since(*asked) < EXPIRY);
    }
}

#[cfg(test)]
mod tests;
