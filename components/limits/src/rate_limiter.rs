//! Rate limits of workspaces.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::{Rate, WorkspaceId};

/// A workspace exceeds its rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimitExceeded {
    /// Time after which a request may be admitted.
    pub retry_after: Duration,
}

/// Burst size in seconds of the rate.
const BURST_SECONDS: f64 = 1.0;
/// Minimum rate, in requests per second.
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
    /// Takes a token for one request of a workspace; `rate` is the rate limit at this entry.
    pub fn admit(
        &mut self,
        workspace: &WorkspaceId,
        rate: Rate,
        now: Instant,
    ) -> Result<(), RateLimitExceeded> {
        let rate = rate.0.max(MIN_RATE);
        let burst = (rate * BURST_SECONDS).max(1.0);
        let bucket = self.bucket(workspace, burst, now);
        let elapsed = now.saturating_duration_since(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(burst);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            let seconds = (1.0 - bucket.tokens) / rate;
            return Err(RateLimitExceeded { retry_after: Duration::from_secs_f64(seconds) });
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    fn bucket(&mut self, workspace: &WorkspaceId, burst: f64, now: Instant) -> &mut Bucket {
        if !self.buckets.contains_key(workspace) {
            self.buckets.insert(workspace.clone(), Bucket { tokens: burst, refilled_at: now });
        }
        self.buckets.get_mut(workspace).expect("it was inserted")
    }

    /// Drops the buckets of removed workspaces.
    pub fn retain(&mut self, keep: impl Fn(&WorkspaceId) -> bool) {
        self.buckets.retain(|id, _| keep(id));
    }
}
