//! Crash counts of request fingerprints.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::Digest;
use proto::{CrashId, CrashRecord};

/// Bounds of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashTrackerSettings {
    /// Crashes after which a fingerprint is quarantined.
    pub crash_limit: usize,
    /// The same if it was alone at the endpoint at one of them.
    pub alone_crash_limit: usize,
    /// Time that a fingerprint stays in the ledger after its last crash.
    pub expiry: Duration,
    /// Most fingerprints.
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
    /// Nothing speaks against it.
    Clear,
    /// It was in progress when an endpoint crashed.
    Suspect,
    /// It is refused.
    Quarantined,
}

/// What a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordEffect {
    /// It was known, or has expired.
    AlreadyKnown,
    /// It is news.
    New,
    /// It is news and quarantines the fingerprint.
    Quarantined,
}

#[derive(Debug, Clone, Default)]
struct CrashHistory {
    /// Distinct crashes with their times, and whether the request was alone.
    crashes: Vec<(CrashId, Instant, bool)>,
    /// Crashes, of the first ones, that the request has since been answered after.
    cleared: usize,
}

/// Crashes by fingerprint; the same crash counts once, however often it is reported.
#[derive(Debug)]
pub struct CrashTracker {
    settings: CrashTrackerSettings,
    histories: HashMap<Digest, CrashHistory>,
}

impl CrashHistory {
    fn last_crash(&self) -> Option<Instant> {
        self.crashes.iter().map(|(_, at, _)| *at).max()
    }

    fn uncleared(&self) -> usize {
        self.crashes.len() - self.cleared
    }

    fn status(&self, settings: &CrashTrackerSettings) -> QuarantineStatus {
        let alone = self.crashes[self.cleared..].iter().any(|(_, _, alone)| *alone);
        let limit = if alone { settings.alone_crash_limit } else { settings.crash_limit };
        match self.uncleared() {
            0 => QuarantineStatus::Clear,
            count if count < limit => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Quarantined,
        }
    }
}

impl CrashTracker {
    /// An empty ledger.
    pub fn new(settings: CrashTrackerSettings) -> CrashTracker {
        CrashTracker { settings, histories: HashMap::new() }
    }

    /// Takes in that a request was in progress when an endpoint crashed.
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
        let case = self.histories.entry(record.fingerprint).or_default();
        if case.crashes.iter().any(|(crash, _, _)| *crash == record.crash) {
            return RecordEffect::AlreadyKnown;
        }
        let before = case.status(&self.settings);
        let at = now.checked_sub(age).unwrap_or(now);
        case.crashes.push((record.crash.clone(), at, record.alone));
        let after = case.status(&self.settings);
        let enters = after == QuarantineStatus::Quarantined && before != after;
        if enters { RecordEffect::Quarantined } else { RecordEffect::New }
    }

    fn drop_oldest(&mut self) {
        let oldest =
            self.histories.iter().min_by_key(|(_, case)| case.last_crash()).map(|(d, _)| *d);
        if let Some(oldest) = oldest {
            self.histories.remove(&oldest);
        }
    }

    /// A request was answered, so that it did not cause the crashes so far. One in quarantine stays
    /// there.
    pub fn record_answer(&mut self, fingerprint: &Digest) {
        if let Some(case) = self.histories.get_mut(fingerprint)
            && case.status(&self.settings) != QuarantineStatus::Quarantined
        {
            case.cleared = case.crashes.len();
        }
    }

    /// How a request is to be treated.
    pub fn status(&self, fingerprint: &Digest) -> QuarantineStatus {
        self.histories
            .get(fingerprint)
            .map_or(QuarantineStatus::Clear, |case| case.status(&self.settings))
    }

    /// The newest records, at most `limit`.
    pub fn records(&self, limit: usize, now: Instant) -> Vec<CrashRecord> {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let all = self.histories.iter().flat_map(|(fingerprint, case)| {
            case.crashes.iter().map(move |(crash, at, alone)| CrashRecord {
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

    /// Drops expired fingerprints; returns those that were quarantined.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Digest> {
        let expiry = self.settings.expiry;
        let expired =
            |case: &CrashHistory| case.last_crash().is_none_or(|last| now >= last + expiry);
        let out: Vec<Digest> =
            self.histories.iter().filter(|(_, case)| expired(case)).map(|(d, _)| *d).collect();
        let released = out
            .iter()
            .filter(|d| self.status(d) == QuarantineStatus::Quarantined)
            .copied()
            .collect();
        for digest in out {
            self.histories.remove(&digest);
        }
        released
    }

    /// Fingerprints in quarantine.
    pub fn quarantined(&self) -> Vec<Digest> {
        let all = self.histories.keys().filter(|d| self.status(d) == QuarantineStatus::Quarantined);
        all.copied().collect()
    }
}

#[cfg(test)]
mod tests;
