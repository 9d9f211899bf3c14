//! Crash counts of request fingerprints.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::Digest;

/// Bounds of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Crashes after which a fingerprint is quarantined.
    pub crashes: u32,
    /// Time that a fingerprint stays in the ledger after its last crash.
    pub expiry: Duration,
    /// Most fingerprints.
    pub limit: usize,
}

impl Default for LedgerSettings {
    fn default() -> LedgerSettings {
        LedgerSettings { crashes: 2, expiry: Duration::from_secs(600), limit: 4096 }
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

/// Crash counts by fingerprint.
#[derive(Debug)]
pub struct Ledger {
    settings: LedgerSettings,
    /// Crashes, and when the last one was.
    crashes: HashMap<Digest, (u32, Instant)>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(settings: LedgerSettings) -> Ledger {
        Ledger { settings, crashes: HashMap::new() }
    }

    /// An endpoint crashed while it ran a request; returns whether that quarantines it.
    pub fn crashed(&mut self, fingerprint: Digest, now: Instant) -> bool {
        if self.crashes.len() >= self.settings.limit && !self.crashes.contains_key(&fingerprint) {
            self.drop_oldest();
        }
        let (count, last) = self.crashes.entry(fingerprint).or_insert((0, now));
        *count += 1;
        *last = now;
        *count == self.settings.crashes
    }

    fn drop_oldest(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, (_, last))| *last).map(|(d, _)| *d);
        if let Some(oldest) = oldest {
            self.crashes.remove(&oldest);
        }
    }

    /// How a request is to be treated.
    pub fn verdict(&self, fingerprint: &Digest) -> Verdict {
        match self.crashes.get(fingerprint) {
            None => Verdict::Clear,
            Some((count, _)) if *count < self.settings.crashes => Verdict::Suspect,
            Some(_) => Verdict::Quarantined,
        }
    }

    /// Drops expired fingerprints; returns those that were quarantined.
    pub fn tick(&mut self, now: Instant) -> Vec<Digest> {
        let expired = |last: &Instant| now >= *last + self.settings.expiry;
        let out: Vec<Digest> =
            self.crashes.iter().filter(|(_, (_, last))| expired(last)).map(|(d, _)| *d).collect();
        let released =
            out.iter().filter(|d| self.verdict(d) == Verdict::Quarantined).copied().collect();
        for digest in out {
            self.crashes.remove(&digest);
        }
        released
    }

    /// Fingerprints in quarantine.
    pub fn quarantined(&self) -> Vec<Digest> {
        let all = self.crashes.keys().filter(|d| self.verdict(d) == Verdict::Quarantined);
        all.copied().collect()
    }
}

#[cfg(test)]
mod tests;
