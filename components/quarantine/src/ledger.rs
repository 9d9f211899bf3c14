//! Crash counts of request fingerprints.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::Digest;
use proto::{CrashId, CrashRecord};

/// Bounds of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Crashes after which a fingerprint is quarantined.
    pub crashes: usize,
    /// The same if it was alone at the endpoint at one of them.
    pub alone: usize,
    /// Time that a fingerprint stays in the ledger after its last crash.
    pub expiry: Duration,
    /// Most fingerprints.
    pub limit: usize,
}

impl Default for LedgerSettings {
    fn default() -> LedgerSettings {
        LedgerSettings { crashes: 3, alone: 2, expiry: Duration::from_secs(600), limit: 4096 }
    }
}

/// How a request is to be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Clear,
    /// It was in progress when an endpoint crashed.
    Suspect,
    /// It is refused.
    Quarantined,
}

/// What a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Noted {
    /// It was known, or has expired.
    Known,
    /// It is news.
    New,
    /// It is news and quarantines the fingerprint.
    Quarantined,
}

#[derive(Debug, Clone, Default)]
struct Case {
    /// Distinct crashes with their times, and whether the request was alone.
    crashes: Vec<(CrashId, Instant, bool)>,
    /// Crashes, of the first ones, that the request has since been answered after.
    answered: usize,
}

/// Crashes by fingerprint; the same crash counts once, however often it is reported.
#[derive(Debug)]
pub struct Ledger {
    settings: LedgerSettings,
    cases: HashMap<Digest, Case>,
}

impl Case {
    fn last(&self) -> Option<Instant> {
        self.crashes.iter().map(|(_, at, _)| *at).max()
    }

    fn counted(&self) -> usize {
        self.crashes.len() - self.answered
    }

    fn verdict(&self, settings: &LedgerSettings) -> Verdict {
        let alone = self.crashes[self.answered..].iter().any(|(_, _, alone)| *alone);
        let limit = if alone { settings.alone } else { settings.crashes };
        match self.counted() {
            0 => Verdict::Clear,
            count if count < limit => Verdict::Suspect,
            _ => Verdict::Quarantined,
        }
    }
}

impl Ledger {
    /// An empty ledger.
    pub fn new(settings: LedgerSettings) -> Ledger {
        Ledger { settings, cases: HashMap::new() }
    }

    /// Takes in that a request was in progress when an endpoint crashed.
    pub fn note(&mut self, record: &CrashRecord, now: Instant) -> Noted {
        let age = Duration::from_millis(record.age_ms);
        if age >= self.settings.expiry {
            return Noted::Known;
        }
        if self.cases.len() >= self.settings.limit && !self.cases.contains_key(&record.fingerprint)
        {
            self.drop_oldest();
        }
        let case = self.cases.entry(record.fingerprint).or_default();
        if case.crashes.iter().any(|(crash, _, _)| *crash == record.crash) {
            return Noted::Known;
        }
        let before = case.verdict(&self.settings);
        let at = now.checked_sub(age).unwrap_or(now);
        case.crashes.push((record.crash.clone(), at, record.alone));
        let after = case.verdict(&self.settings);
        let enters = after == Verdict::Quarantined && before != after;
        if enters { Noted::Quarantined } else { Noted::New }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.cases.iter().min_by_key(|(_, case)| case.last()).map(|(d, _)| *d);
        if let Some(oldest) = oldest {
            self.cases.remove(&oldest);
        }
    }

    /// A request was answered, so that it did not cause the crashes so far. One in quarantine stays
    /// there.
    pub fn answered(&mut self, fingerprint: &Digest) {
        if let Some(case) = self.cases.get_mut(fingerprint)
            && case.verdict(&self.settings) != Verdict::Quarantined
        {
            case.answered = case.crashes.len();
        }
    }

    /// How a request is to be treated.
    pub fn verdict(&self, fingerprint: &Digest) -> Verdict {
        self.cases.get(fingerprint).map_or(Verdict::Clear, |case| case.verdict(&self.settings))
    }

    /// The newest records, at most `limit`.
    pub fn records(&self, limit: usize, now: Instant) -> Vec<CrashRecord> {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let all = self.cases.iter().flat_map(|(fingerprint, case)| {
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
    pub fn tick(&mut self, now: Instant) -> Vec<Digest> {
        let expiry = self.settings.expiry;
        let expired = |case: &Case| case.last().is_none_or(|last| now >= last + expiry);
        let out: Vec<Digest> =
            self.cases.iter().filter(|(_, case)| expired(case)).map(|(d, _)| *d).collect();
        let released =
            out.iter().filter(|d| self.verdict(d) == Verdict::Quarantined).copied().collect();
        for digest in out {
            self.cases.remove(&digest);
        }
        released
    }

    /// Fingerprints in quarantine.
    pub fn quarantined(&self) -> Vec<Digest> {
        let all = self.cases.keys().filter(|d| self.verdict(d) == Verdict::Quarantined);
        all.copied().collect()
    }
}

#[cfg(test)]
mod tests;
