//! How long a call to the store may take before its answer counts as lost.

use std::time::Duration;

use crate::change_source::SourceTimes;

/// Minimum of the long grace for a read of the whole store, which may be all that a gateway that starts
/// has to wait for.
const MIN_LONG_READ_GRACE: Duration = Duration::from_millis(1500);

/// How long the answer of the store is waited for, beyond the time for which the store itself waits
/// for changes. Follows the time that its answers take: a store that is slow is not taken for one that
/// is silent, and one that is silent is soon asked again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StorePatience {
    grace: Duration,
}

impl StorePatience {
    pub(crate) fn new(times: &SourceTimes) -> StorePatience {
        StorePatience { grace: times.store_grace }
    }

    /// Time beyond its waiting time after which a watch fails.
    pub(crate) fn grace(&self) -> Duration {
        self.grace
    }

    /// Time after which a read of the whole store fails whose next page has not begun.
    pub(crate) fn read_grace(&self, times: &SourceTimes) -> Duration {
        match self.grace < times.max_grace {
            true => self.grace,
            false => self.grace.max(MIN_LONG_READ_GRACE),
        }
    }

    /// Maximum time for which the store is to wait for changes.
    pub(crate) fn wait(&self, times: &SourceTimes) -> Duration {
        times.store_wait.min(times.store_limit.saturating_sub(self.grace))
    }

    /// Records that an answer took `time`, the waiting not counted.
    pub(crate) fn record_answer(&mut self, time: Duration, times: &SourceTimes) {
        self.grace = (time * 2).clamp(times.store_grace, times.max_grace);
    }

    /// Records that no answer came in time. The store may be slow or silent, so that long and short
    /// graces follow each other.
    pub(crate) fn record_timeout(&mut self, times: &SourceTimes) {
        self.grace = match self.grace < times.max_grace {
            true => times.max_grace,
            false => times.store_grace,
        };
    }
}

#[cfg(test)]
mod tests;
