//! The last changes of the store, kept to pass them on to processes that do not read the store.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use bytes::Bytes;
use platform::store::StoreRevision;

/// Time for which changes are kept.
const MAX_AGE: Duration = Duration::from_secs(15);
/// Maximum size of all kept changes in bytes, apart from the newest ones.
const MAX_BYTES: usize = 1 << 20;

/// The changes that one watch returned.
#[derive(Debug, Clone)]
struct Batch {
    /// Revision after which the changes begin.
    after: StoreRevision,
    /// Revision up to which they go.
    revision: StoreRevision,
    body: Bytes,
    at: Instant,
}

/// What is known of the changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangesSince {
    /// A response of the store that contains the next changes, and perhaps earlier ones.
    Changes(Bytes),
    /// There are none yet.
    None,
    /// They are no longer here, or the store was not read yet.
    Unknown,
}

/// The last changes of the store. The batches are contiguous: each begins where the one before ends.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    batches: VecDeque<Batch>,
    /// Revision up to which the store is known; `None` until it was read.
    revision: Option<StoreRevision>,
    /// The latest time at which the store is known to have had no newer change.
    confirmed_at: Option<Instant>,
    /// Time before which the store acknowledged no change that is unknown here. Never later than the
    /// acknowledgement of a change that comes next, however late that is learned; `confirmed_at` is
    /// late by the time that an answer was on its way.
    known_until: Option<Instant>,
}

/// Time up to which the answer to a watch tells all changes. The store gives an answer without
/// changes at the end of the waiting time; it may have given any other one since `sent_at`.
pub fn known_by_watch(
    sent_at: Instant,
    wait: Duration,
    has_changes: bool,
    answered_at: Instant,
) -> Instant {
    let end = sent_at + wait;
    match has_changes || answered_at < end {
        true => sent_at,
        false => end,
    }
}

impl ChangeHistory {
    /// Starts anew after the whole store was read.
    pub fn restart(&mut self, revision: StoreRevision, confirmed_at: Instant) {
        self.batches.clear();
        self.revision = Some(revision);
        self.confirmed_at = Some(confirmed_at);
    }

    /// Adds the response to a watch after the last known revision, which goes up to `revision`.
    pub fn push(&mut self, revision: StoreRevision, body: Bytes, confirmed_at: Instant) {
        let Some(after) = self.revision else { return };
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        if revision > after {
            self.batches.push_back(Batch { after, revision, body, at: confirmed_at });
            self.revision = Some(revision);
        }
        self.drop_old(confirmed_at);
    }

    fn drop_old(&mut self, now: Instant) {
        let mut bytes: usize = self.batches.iter().map(|batch| batch.body.len()).sum();
        while let Some(oldest) = self.batches.front() {
            let expired = now.saturating_duration_since(oldest.at) > MAX_AGE;
            let over = bytes > MAX_BYTES && self.batches.len() > 1;
            if !expired && !over {
                return;
            }
            bytes -= oldest.body.len();
            self.batches.pop_front();
        }
    }

    /// The next changes after a revision.
    pub fn since(&self, after: StoreRevision) -> ChangesSince {
        let Some(revision) = self.revision else { return ChangesSince::Unknown };
        if after >= revision {
            return ChangesSince::None;
        }
        let next = self.batches.iter().find(|batch| batch.revision > after);
        match next.filter(|batch| batch.after <= after) {
            Some(batch) => ChangesSince::Changes(batch.body.clone()),
            None => ChangesSince::Unknown,
        }
    }

    /// Revision up to which the store is known; `None` until it was read.
    pub fn revision(&self) -> Option<StoreRevision> {
        self.revision
    }

    /// Records that all changes are known which the store acknowledged before a time.
    pub fn record_known(&mut self, until: Instant) {
        self.known_until = self.known_until.max(Some(until));
    }

    /// Time before which the store acknowledged no change that is unknown here; `None` until it was
    /// read.
    pub fn known_until(&self) -> Option<Instant> {
        self.known_until
    }

    /// The same for a process that has applied the changes up to `after` and the next ones of
    /// `since`; `None` if more follow.
    pub fn known_with_next(&self, after: StoreRevision) -> Option<Instant> {
        let next = self.batches.iter().filter(|batch| batch.revision > after).count();
        self.known_until.filter(|_| next <= 1)
    }

    /// Corrects the times after the clock has not counted a suspension of the VM.
    pub fn correct_times(&mut self, corrected: impl Fn(Instant) -> Instant) {
        self.confirmed_at = self.confirmed_at.map(&corrected);
        self.known_until = self.known_until.map(&corrected);
    }

    /// Time since the store was last known to have no newer change.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }
}

#[cfg(test)]
mod tests;
