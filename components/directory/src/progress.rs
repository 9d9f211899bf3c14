//! How far a process has followed the store, and when it has to read the whole store again.

use std::{
    cmp::Ordering,
    time::{Duration, Instant},
};

use platform::store::{StoreEra, StorePosition};

use crate::{ChangeHistory, ChangesSince, ReadError, StoreBody, WatchedChanges};

/// What to do after a read or a watch that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recovery {
    /// Read the whole store now: the changes after the last position are not available.
    ReadAll,
    /// Try again later: the store does not answer.
    Retry,
}

/// The store came back from an older copy, as a read of the whole store showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Restoration {
    /// Position that was known before.
    pub before: StorePosition,
    /// Position that was read.
    pub after: StorePosition,
}

/// How far a process has followed the store, with the last changes for processes that learn from it.
#[derive(Debug, Default)]
pub struct StoreProgress {
    /// Newest era that was seen. Never decreases.
    era: StoreEra,
    /// Position up to which the store is known. Its era never decreases.
    known: Option<StorePosition>,
    /// Whether changes after `known` can be asked for. If so, `known` is of the newest era.
    is_current: bool,
    /// The changes up to `known`; empty once a newer era was seen.
    history: ChangeHistory,
    /// Time before which the store acknowledged no change that is unknown here. Never later than the
    /// acknowledgement of a change that comes next, however late that is learned; the time of the last
    /// confirmation is late by the time that an answer was on its way. Kept across eras.
    known_until: Option<Instant>,
}

impl StoreProgress {
    /// Newest era that was seen.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Position up to which the store is known, perhaps of an older era; `None` until it was read.
    pub fn known(&self) -> Option<StorePosition> {
        self.known
    }

    /// The position after which to ask for changes; `None` if the whole store has to be read.
    pub fn position(&self) -> Option<StorePosition> {
        self.known.filter(|_| self.is_current)
    }

    /// The position after which another process can be asked for changes, which may keep them, or a later
    /// read of the whole store, when the store itself no longer has them; `None` if this process knows
    /// nothing of the newest era.
    pub fn position_for_peers(&self) -> Option<StorePosition> {
        self.known.filter(|known| known.era == self.era)
    }

    /// Accepts a read of the whole store, unless it is from before an era that was seen. Returns
    /// whether the store came back from an older copy since the last one.
    ///
    /// # Errors
    ///
    /// Fails if a newer era was seen; the read must not be applied.
    pub fn accept_snapshot(
        &mut self,
        position: StorePosition,
        now: Instant,
    ) -> Result<Option<Restoration>, ReadError> {
        if position.era < self.era {
            return Err(ReadError::OlderEra { answered: position.era, known: self.era });
        }
        self.era = position.era;
        self.is_current = true;
        self.history.restart(position, now);
        let before = self.known.replace(position);
        let restored = before.filter(|before| before.era < position.era);
        Ok(restored.map(|before| Restoration { before, after: position }))
    }

    /// Keeps the pages of the read that was accepted last, for processes that know an older position.
    pub fn keep_pages(&mut self, pages: Vec<StoreBody>) {
        self.history.keep_pages(pages);
    }

    /// Accepts changes after the position that is known, which were all there were at `confirmed_at`. If
    /// there are any, the store can be asked for those that follow.
    ///
    /// # Errors
    ///
    /// Fails if they are of another era than the newest one; they must not be applied.
    pub fn accept_changes(
        &mut self,
        watched: &WatchedChanges,
        confirmed_at: Instant,
    ) -> Result<(), ReadError> {
        check_era(watched.position.era, self.era)?;
        self.is_current |= Some(watched.position) > self.known;
        self.known = self.known.max(Some(watched.position));
        self.history.push(watched.position, watched.body.clone(), confirmed_at);
        Ok(())
    }

    /// Records that a read or a watch failed.
    pub fn record_failure(&mut self, err: &ReadError) -> Recovery {
        match err {
            ReadError::Restored(era) => {
                self.era = self.era.max(*era);
                self.is_current = false;
                self.history = ChangeHistory::default();
                Recovery::ReadAll
            }
            ReadError::HistoryGone => {
                self.is_current = false;
                Recovery::ReadAll
            }
            ReadError::Transport(_)
            | ReadError::Status(_)
            | ReadError::OlderEra { .. }
            | ReadError::Decompress(_)
            | ReadError::DecompressedTooLarge(_)
            | ReadError::Decode(_) => Recovery::Retry,
        }
    }

    /// The next changes after a position, for another process.
    pub fn changes_since(&self, after: StorePosition) -> ChangesSince {
        self.history.since(after)
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
    /// `changes_since`; `None` if more follow.
    pub fn known_with_next(&self, after: StorePosition) -> Option<Instant> {
        self.known_until.filter(|_| !self.history.has_more_than_next(after))
    }

    /// Corrects the times after the clock has not counted a suspension of the VM.
    pub fn correct_times(&mut self, corrected: impl Fn(Instant) -> Instant) {
        self.known_until = self.known_until.map(&corrected);
        self.history.correct_times(corrected);
    }

    /// Time since the store was last known to have no newer change.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.history.age(now)
    }
}

/// Checks that a response is of the era that is known.
pub(crate) fn check_era(answered: StoreEra, known: StoreEra) -> Result<(), ReadError> {
    match answered.cmp(&known) {
        Ordering::Equal => Ok(()),
        Ordering::Greater => Err(ReadError::Restored(answered)),
        Ordering::Less => Err(ReadError::OlderEra { answered, known }),
    }
}

#[cfg(test)]
mod tests;
