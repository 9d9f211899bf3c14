//! The last changes of the store, kept to pass them on to processes that do not read the store.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use platform::store::StorePosition;

use crate::StoreBody;

/// Time for which changes are kept.
const MAX_AGE: Duration = Duration::from_secs(15);
/// Maximum size of all kept changes in bytes as they are kept, apart from the newest ones.
const MAX_BYTES: usize = 1 << 20;

/// The changes that one watch returned.
#[derive(Debug, Clone)]
struct Batch {
    /// Position after which the changes begin.
    after: StorePosition,
    /// Position up to which they go.
    position: StorePosition,
    body: StoreBody,
    at: Instant,
}

/// The pages of a read of the whole store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorePages {
    /// The position after which to ask for changes.
    pub position: StorePosition,
    /// The responses of the store, in order.
    pub pages: Vec<StoreBody>,
}

/// What is known of the changes after a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangesSince {
    /// A response of the store that contains the next changes, and perhaps earlier ones.
    Changes(StoreBody),
    /// The changes themselves are no longer here, but a later read of the whole store is.
    All(StorePages),
    /// There are none yet.
    None,
    /// They are no longer here, the position is of another era, or the store was not read yet.
    Unknown,
}

/// The last changes of the store, all of one era. The batches are contiguous: each begins where the
/// one before ends, the first one after `read`, if that is there.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    /// The last read of the whole store, with its time.
    read: Option<(StorePages, Instant)>,
    batches: VecDeque<Batch>,
    /// Position up to which the store is known; `None` until it was read.
    position: Option<StorePosition>,
    /// The latest time at which the store is known to have had no newer change.
    confirmed_at: Option<Instant>,
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
    pub fn restart(&mut self, position: StorePosition, confirmed_at: Instant) {
        self.read = None;
        self.batches.clear();
        self.position = Some(position);
        self.confirmed_at = Some(confirmed_at);
    }

    /// Keeps the pages of the read that the history starts from, for those that know an older position.
    pub fn keep_pages(&mut self, pages: Vec<StoreBody>) {
        let pages = pages.into_iter().map(StoreBody::compress).collect();
        if let (Some(position), Some(at)) = (self.position, self.confirmed_at) {
            self.read = Some((StorePages { position, pages }, at));
        }
    }

    /// Adds the response to a watch after the last known position, which goes up to `position`.
    /// Ignores one of another era.
    pub fn push(&mut self, position: StorePosition, body: StoreBody, confirmed_at: Instant) {
        let Some(after) = self.position.filter(|after| after.era == position.era) else { return };
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        if position > after {
            let body = body.compress();
            self.batches.push_back(Batch { after, position, body, at: confirmed_at });
            self.position = Some(position);
        }
        self.drop_old(confirmed_at);
    }

    fn drop_old(&mut self, now: Instant) {
        self.read.take_if(|(_, at)| now.saturating_duration_since(*at) > MAX_AGE);
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

    /// The next changes after a position.
    pub fn since(&self, after: StorePosition) -> ChangesSince {
        let known = self.position.filter(|known| known.era == after.era);
        let Some(known) = known else { return ChangesSince::Unknown };
        if after >= known {
            return ChangesSince::None;
        }
        if let Some(batch) = self.next_batch(after) {
            return ChangesSince::Changes(batch.body.clone());
        }
        match &self.read {
            Some((read, _)) if read.position > after => ChangesSince::All(read.clone()),
            _ => ChangesSince::Unknown,
        }
    }

    /// The batch with the next changes after a position.
    fn next_batch(&self, after: StorePosition) -> Option<&Batch> {
        let next = self.batches.iter().find(|batch| batch.position > after);
        next.filter(|batch| batch.after <= after)
    }

    /// Whether more changes are here than the next ones after a position.
    pub fn has_more_than_next(&self, after: StorePosition) -> bool {
        let later = self.batches.iter().filter(|batch| batch.position > after).count();
        later > usize::from(self.next_batch(after).is_some())
    }

    /// Corrects the times after the clock has not counted a suspension of the VM.
    pub fn correct_times(&mut self, corrected: impl Fn(Instant) -> Instant) {
        self.confirmed_at = self.confirmed_at.map(corrected);
    }

    /// Time since the store was last known to have no newer change.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }
}

#[cfg(test)]
mod tests;
