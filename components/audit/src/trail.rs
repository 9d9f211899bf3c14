//! A bounded audit trail in memory.

use std::{
    collections::VecDeque,
    time::{SystemTime, UNIX_EPOCH},
};

use base::{Revision, message};
use metrics::counter;
use slog::{Logger, info};
use telemetry::names;

use crate::{AuditEntry, Change};

/// Maximum number of retained entries.
const MAX_ENTRIES: usize = 4096;

message! {
    /// A page of the audit trail.
    pub struct AuditPage {
        /// Entries, oldest first.
        pub entries: Vec<AuditEntry>,
        /// Number of entries after the requested position that have been evicted.
        pub lost: u64,
        /// Position to request next.
        pub next: u64,
    }
}

/// Retains the most recent entries in memory and writes every entry to the log.
pub struct AuditTrail {
    log: Logger,
    /// Consecutive in `seq`; never longer than `MAX_ENTRIES`.
    entries: VecDeque<AuditEntry>,
    next: u64,
    revision: Revision,
}

impl AuditTrail {
    /// Creates an empty trail that logs to `log`.
    pub fn new(log: Logger) -> AuditTrail {
        AuditTrail { log, entries: VecDeque::new(), next: 0, revision: Revision(0) }
    }

    /// Sets the revision that later entries carry.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Adds an entry.
    pub fn record(&mut self, change: Change, cause: impl Into<String>) {
        let cause = cause.into();
        counter!(names::AUDIT, "kind" => change.kind()).increment(1);
        info!(self.log, "audit"; "kind" => change.kind(), "subject" => change.subject(),
            "cause" => &cause, "revision" => self.revision.0);
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let entry = AuditEntry {
            seq: self.next,
            time_ms: time.as_millis() as u64,
            revision: self.revision,
            change,
            cause,
        };
        self.next += 1;
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Returns the retained entries from position `from` on.
    pub fn page(&self, from: u64) -> AuditPage {
        let first = self.next - self.entries.len() as u64;
        let skip = from.saturating_sub(first) as usize;
        let entries = self.entries.iter().skip(skip).cloned().collect();
        AuditPage { entries, lost: first.saturating_sub(from), next: self.next }
    }
}

#[cfg(test)]
mod tests;
