//! Refuses requests that were repeatedly lost at endpoints. A request is identified by its path, API
//! key and body.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use base::{Digest, Incarnation, VmId};
use catalog::ApiKey;
use peering::Suspicion;
use proto::{CrashId, CrashRecord};
use quarantine::{CrashTracker, CrashTrackerSettings, QuarantineStatus, RecordEffect};
use sha2::{Digest as _, Sha256};

/// Number of losses after which a request is refused.
const MAX_LOSSES: usize = 3;
/// Time after the last loss during which a request is refused.
const EXPIRY: Duration = Duration::from_secs(120);
/// Maximum number of remembered requests.
const MAX_REQUESTS: usize = 2048;

/// Requests that were lost at endpoints, here or at other gateways.
#[derive(Debug)]
pub(crate) struct SuspectRequests {
    tracker: CrashTracker,
    /// Losses not yet reported to the other gateways, with their times.
    pending: Vec<(Suspicion, Instant)>,
}

impl Default for SuspectRequests {
    fn default() -> SuspectRequests {
        let settings = CrashTrackerSettings {
            crash_limit: MAX_LOSSES,
            alone_crash_limit: MAX_LOSSES,
            expiry: EXPIRY,
            max_fingerprints: MAX_REQUESTS,
        };
        SuspectRequests { tracker: CrashTracker::new(settings), pending: Vec::new() }
    }
}

/// Returns a hash of a request's path, API key and body. Each part is prefixed with its length, so that
/// bytes cannot shift between parts.
pub(crate) fn fingerprint(path: &str, key: Option<&ApiKey>, body: &[u8]) -> Digest {
    let mut hash = Sha256::new();
    for part in [path.as_bytes(), key.map_or(b"".as_slice(), |key| key.0.as_bytes()), body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    Digest(hash.finalize().into())
}

impl SuspectRequests {
    /// Records a request that was lost at the endpoint of a VM.
    pub(crate) fn record_loss(
        &mut self,
        fingerprint: Digest,
        vm: Ipv4Addr,
        number: u64,
        now: Instant,
    ) {
        let suspicion = Suspicion { fingerprint: fingerprint.0, vm, number, age_ms: 0 };
        self.record_remote(&suspicion, now);
        self.pending.push((suspicion, now));
    }

    /// Takes up to `limit` losses to report to the other gateways.
    pub(crate) fn take_pending(&mut self, limit: usize, now: Instant) -> Vec<Suspicion> {
        let pending = self.pending.drain(..self.pending.len().min(limit));
        let message = |(suspicion, at): (Suspicion, Instant)| Suspicion {
            age_ms: now.saturating_duration_since(at).as_millis() as u32,
            ..suspicion
        };
        pending.map(message).collect()
    }

    /// Records a loss that another gateway reported. Returns whether the request is refused from now on.
    pub(crate) fn record_remote(&mut self, suspicion: &Suspicion, now: Instant) -> bool {
        let Ok(vm) = suspicion.vm.to_string().parse::<VmId>() else { return false };
        let crash = CrashId { vm, incarnation: Incarnation(0), number: suspicion.number };
        let record = CrashRecord {
            fingerprint: Digest(suspicion.fingerprint),
            crash,
            alone: false,
            age_ms: suspicion.age_ms.into(),
        };
        self.tracker.record(&record, now) == RecordEffect::Quarantined
    }

    /// Clears a request that was answered.
    pub(crate) fn record_answer(&mut self, fingerprint: &Digest) {
        self.tracker.record_answer(fingerprint);
    }

    /// Returns whether a request is refused.
    pub(crate) fn is_refused(&self, fingerprint: &Digest) -> bool {
        self.tracker.status(fingerprint) == QuarantineStatus::Quarantined
    }

    /// Forgets expired requests.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.tracker.remove_expired(now);
    }
}

#[cfg(test)]
mod tests;
