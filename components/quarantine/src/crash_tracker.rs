//! Counts crashes by the fingerprints of the requests that were in progress.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::Digest;
use proto::{CrashId, CrashRecord};

/// Limits of the crash tracker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashTrackerSettings {
    /// Number of crashes after which a fingerprint is quarantined.
    pub crash_limit: usize,
    /// Number of crashes after which it is quarantined if it was the only request in progress at
    /// one of them.
    pub alone_crash_limit: usize,
    /// Time that a fingerprint is remembered after its last crash.
    pub expiry: Duration,
    /// Maximum number of tracked fingerprints.
    pub max_fingerprints: usize,
}

impl Default for CrashTrackerSettings {
    fn default() -> CrashTrackerSettings {
        CrashTrackerSettings {
            crash_limit: 3,
            alone_crash_limit: 2,
            expiry: Duration::from_secs(600),
            max_fingerprints: 4096,
        }
    }
}

/// How a request is to be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request is not suspected.
    Clear,
    /// The request was in progress when an endpoint crashed.
    Suspect,
    /// The request is refused.
    Quarantined,
}

/// The effect of a crash record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordEffect {
    /// The record was known already, or has expired.
    AlreadyKnown,
    /// The record is new.
    New,
    /// The record is new and quarantines the fingerprint.
    Quarantined,
}

#[derive(Debug, Clone, Default)]
struct CrashHistory {
    /// Distinct crashes with their times, and whether the request was the only one in progress.
    crashes: Vec<(CrashId, Instant, bool)>,
    /// Number of crashes, counted from the first, after which the request has since been answered;
    /// they no longer count against it.
    cleared: usize,
}

/// Tracks crashes by fingerprint. Each crash counts once, however often it is reported.
#[derive(Debug)]
pub struct CrashTracker {
    settings: CrashTrackerSettings,
    histories: HashMap<Digest, CrashHistory>,
}

impl CrashHistory {
    fn last_crash(&self) -> Option<Instant> {
        self.crashes.iter().map(|(_, at, _)| *at).max()
    }

    fn uncleared_crashes(&self) -> usize {
        self.crashes.len() - self.cleared
    }

    fn status(&self, settings: &CrashTrackerSettings) -> QuarantineStatus {
        let alone = self.crashes[self.cleared..].iter().any(|(_, _, alone)| *alone);
        let limit = if alone { settings.alone_crash_limit } else { settings.crash_limit };
        match self.uncleared_crashes() {
            0 => QuarantineStatus::Clear,
            count if count < limit => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Quarantined,
        }
    }
}

impl CrashTracker {
    /// Creates an empty tracker.
    pub fn new(settings: CrashTrackerSettings) -> CrashTracker {
        CrashTracker { settings, histories: HashMap::new() }
    }

    /// Records that a request was in progress when an endpoint crashed.
    pub fn record(&mut self, record: &CrashRecord, now: Instant) -> RecordEffect {
        let age = Duration::from_millis(record.age_ms);
        if age >= self.settings.expiry {
            return RecordEffect::AlreadyKnown;
        }
        if self.histories.len() >= self.settings.max_fingerprints
            && !self.histories.contains_key(&record.fingerprint)
        {
            self.drop_oldest();
        }
        let history = self.histories.entry(record.fingerprint).or_default();
        if history.crashes.iter().any(|(crash, _, _)| *crash == record.crash) {
            return RecordEffect::AlreadyKnown;
        }
        let before = history.status(&self.settings);
        let crashed_at = now.checked_sub(age).unwrap_or(now);
        history.crashes.push((record.crash.clone(), crashed_at, record.alone));
        let after = history.status(&self.settings);
        let newly_quarantined = after == QuarantineStatus::Quarantined && before != after;
        if newly_quarantined { RecordEffect::Quarantined } else { RecordEffect::New }
    }

    fn drop_oldest(&mut self) {
        let oldest =
            self.histories.iter().min_by_key(|(_, history)| history.last_crash()).map(|(d, _)| *d);
        if let Some(oldest) = oldest {
            self.histories.remove(&oldest);
        }
    }

    /// Records that a request was answered, so it did not cause the crashes so far. A quarantined
    /// request stays quarantined.
    pub fn record_answer(&mut self, fingerprint: &Digest) {
        if let Some(history) = self.histories.get_mut(fingerprint)
            && history.status(&self.settings) != QuarantineStatus::Quarantined
        {
            history.cleared = history.crashes.len();
        }
    }

    /// How a request is to be treated.
    pub fn status(&self, fingerprint: &Digest) -> QuarantineStatus {
        self.histories
            .get(fingerprint)
            .map_or(QuarantineStatus::Clear, |history| history.status(&self.settings))
    }

    /// The newest records, at most `limit`.
    pub fn records(&self, limit: usize, now: Instant) -> Vec<CrashRecord> {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let all = self.histories.iter().flat_map(|(fingerprint, history)| {
            history.crashes.iter().map(move |(crash, at, alone)| CrashRecord {
                fingerprint: *fingerprint,
                crash: crash.clone(),
                alone: *alone,
                age_ms: age(*at),
            })
        });
        let mut all: Vec<CrashRecord> = all.collect();
        all.sort_by_key(|record| record.age_ms);
        all.truncate(limit);
        all
    }

    /// Removes expired fingerprints; returns those that were quarantined.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Digest> {
        let expiry = self.settings.expiry;
        let expired =
            |history: &CrashHistory| history.last_crash().is_none_or(|last| now >= last + expiry);
        let expired_digests: Vec<Digest> = self
            .histories
            .iter()
            .filter(|(_, history)| expired(history))
            .map(|(d, _)| *d)
            .collect();
        let released = expired_digests
            .iter()
            .filter(|d| self.status(d) == QuarantineStatus::Quarantined)
            .copied()
            .collect();
        for digest in expired_digests {
            self.histories.remove(&digest);
        }
        released
    }

    /// The quarantined fingerprints.
    pub fn quarantined(&self) -> Vec<Digest> {
        let all = self.histories.keys().filter(|d| self.status(d) == QuarantineStatus::Quarantined);
        all.copied().collect()
    }
}

#[cfg(test)]
mod tests;
