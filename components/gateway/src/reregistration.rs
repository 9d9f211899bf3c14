//! How long endpoints whose entries are missing from the store get to register again.

use std::time::{Duration, Instant};

use dispatch::Absence;

/// Until when missing entries are explained by an event of the store rather than by endpoints that
/// left.
#[derive(Debug)]
pub(crate) struct ReregistrationGrace {
    /// Time that endpoints get after an event of the store.
    grace: Duration,
    /// Set after an outage of the store, during which registrations expired.
    outage_until: Option<Instant>,
    /// Set after the store came back from an older copy, which lacks newer entries.
    restoration_until: Option<Instant>,
}

impl ReregistrationGrace {
    pub(crate) fn new(grace: Duration) -> ReregistrationGrace {
        ReregistrationGrace { grace, outage_until: None, restoration_until: None }
    }

    /// Records that the store answers again after an outage.
    pub(crate) fn record_outage(&mut self, now: Instant) {
        self.outage_until = Some(now + self.grace);
    }

    /// Records that the store came back from an older copy.
    pub(crate) fn record_restoration(&mut self, now: Instant) {
        self.restoration_until = Some(now + self.grace);
    }

    /// Why entries may be missing that a change of the store removes. A restored store removes an
    /// entry only after it had it.
    pub(crate) fn explain_removed(&self, now: Instant) -> Absence {
        match self.outage_until.filter(|until| now < *until) {
            Some(until) => Absence::Outage { until },
            None => Absence::Left,
        }
    }

    /// Why entries may be missing from a read of the whole store.
    pub(crate) fn explain_unlisted(&self, now: Instant) -> Absence {
        match self.restoration_until.filter(|until| now < *until) {
            Some(until) => Absence::Restoration { until },
            None => self.explain_removed(now),
        }
    }
}

#[cfg(test)]
mod tests;
