//! Rate limits of workspaces.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::{Rate, WorkspaceId};

/// A workspace is over its rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimitExceeded {
    /// Time after which a request may pass.
    pub retry_after: Duration,
}

/// Seconds of the rate that may be used at once.
const BURST_SECONDS: f64 = 1.0;
/// Lowest rate, in requests a second.
const MIN_RATE: f64 = 0.001;

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
}

/// Token buckets of the workspaces.
#[derive(Debug, Default)]
pub struct RateLimiter {
    buckets: HashMap<WorkspaceId, Bucket>,
}

impl RateLimiter {
    /// Takes one request of a workspace out of its rate at this entry.
    pub fn admit(
        &mut self,
        workspace: &WorkspaceId,
        rate: Rate,
        now: Instant,
    ) -> Result<(), RateLimitExceeded> {
        let rate = rate.0.max(MIN_RATE);
        let full = (rate * BURST_SECONDS).max(1.0);
        let bucket = self.bucket(workspace, full, now);
        let passed = now.saturating_duration_since(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + passed * rate).min(full);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            let seconds = (1.0 - bucket.tokens) / rate;
            return Err(RateLimitExceeded { retry_after: Duration::from_secs_f64(seconds) });
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    fn bucket(&mut self, workspace: &WorkspaceId, full: f64, now: Instant) -> &mut Bucket {
        if !self.buckets.contains_key(workspace) {
            self.buckets.insert(workspace.clone(), Bucket { tokens: full, refilled_at: now });
        }
        self.buckets.get_mut(workspace).expect("it was inserted")
    }

    /// Drops the buckets of workspaces that are gone.
    pub fn retain(&mut self, keep: impl Fn(&WorkspaceId) -> bool) {
        self.buckets.retain(|id, _| keep(id));
    }
}
