//! Requests that were refused lately in this zone, so that callers who come back are known.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::Digest;
use peering::RefusedRequest;

/// Time for which a caller may come back.
const LIFE: Duration = Duration::from_secs(8);
/// Most requests that are remembered.
const LIMIT: usize = 20_000;

/// The requests that were refused lately.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    /// When the caller first asked, by fingerprint.
    asked: HashMap<u64, Instant>,
    /// Refusals that other entries are still to be told of.
    news: Vec<(u64, Instant)>,
}

fn short(fingerprint: &Digest) -> u64 {
    let Digest(bytes) = fingerprint;
    u64::from_le_bytes([
        bytes[0], bytes[1], bytes[2], bytes[3], bytes[4], bytes[5], bytes[6], bytes[7],
    ])
}

impl Refusals {
    /// A request was refused here; its caller first asked at `asked`.
    pub(crate) fn refused(&mut self, fingerprint: &Digest, asked: Instant) {
        if self.asked.len() < LIMIT {
            self.asked.insert(short(fingerprint), asked);
            self.news.push((short(fingerprint), asked));
        }
    }

    /// Another entry refused a request.
    pub(crate) fn heard(&mut self, refused: &RefusedRequest, now: Instant) {
        let age = Duration::from_millis(refused.age_ms.into());
        if age < LIFE && self.asked.len() < LIMIT {
            let asked = now.checked_sub(age).unwrap_or(now);
            self.asked.entry(refused.fingerprint).or_insert(asked);
        }
    }

    /// When the caller of a request that was refused first asked.
    pub(crate) fn asked(&self, fingerprint: &Digest, now: Instant) -> Option<Instant> {
        let asked = *self.asked.get(&short(fingerprint))?;
        (now.saturating_duration_since(asked) < LIFE).then_some(asked)
    }

    /// What other entries are to be told.
    pub(crate) fn take_news(&mut self, most: usize, now: Instant) -> Vec<RefusedRequest> {
        let news = self.news.drain(..self.news.len().min(most));
        let message = |(fingerprint, asked): (u64, Instant)| RefusedRequest {
            fingerprint,
            age_ms: now.saturating_duration_since(asked).as_millis() as u32,
        };
        news.map(message).collect()
    }

    /// Forgets what is old.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.asked.retain(|_, asked| now.saturating_duration_since(*asked) < LIFE);
    }
}

#[cfg(test)]
mod tests;
