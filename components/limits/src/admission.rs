//! Decides whether a request of a workspace may start.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::WorkspaceId;
use manifest::{Manifest, Workspace};

/// A refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The workspace does not exist.
    Unknown,
    /// The workspace is over its rate.
    Rate {
        /// When to come back.
        retry: Duration,
    },
}

/// Seconds of the rate that may be used at once.
const BURST_SECONDS: f64 = 1.0;

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled: Instant,
}

/// Token buckets of the workspaces.
#[derive(Debug, Default)]
pub struct Admission {
    buckets: HashMap<WorkspaceId, Bucket>,
}

impl Admission {
    /// Takes one request of a workspace out of its rate; this entry enforces `part` of it.
    pub fn admit(
        &mut self,
        manifest: &Manifest,
        id: &WorkspaceId,
        part: f64,
        now: Instant,
    ) -> Result<(), Refusal> {
        let workspace = manifest.workspace(id).ok_or(Refusal::Unknown)?;
        let rate = workspace.requests.0 * part;
        let full = (rate * BURST_SECONDS).max(1.0);
        let bucket = self.bucket(workspace, full, now);
        let passed = now.saturating_duration_since(bucket.filled).as_secs_f64();
        bucket.tokens = (bucket.tokens + passed * rate).min(full);
        bucket.filled = now;
        if bucket.tokens < 1.0 {
            let seconds = (1.0 - bucket.tokens) / rate.max(0.001);
            return Err(Refusal::Rate { retry: Duration::from_secs_f64(seconds) });
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    fn bucket(&mut self, workspace: &Workspace, full: f64, now: Instant) -> &mut Bucket {
        let new = || Bucket { tokens: full, filled: now };
        self.buckets.entry(workspace.id.clone()).or_insert_with(new)
    }

    /// Drops the buckets of workspaces that are gone.
    pub fn set_manifest(&mut self, manifest: &Manifest) {
        self.buckets.retain(|id, _| manifest.workspace(id).is_some());
    }
}
