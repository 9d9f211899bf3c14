//! The table of attempts of one run of an agent.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use base::{AttemptId, Incarnation, ReleaseId};
use proto::{AttemptRef, Fate, RefusalReason};

use crate::{KeySettings, KeyUse, Keys};

/// Bounds of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptsSettings {
    /// Time that a finished or cancelled attempt is remembered.
    pub retention: Duration,
    /// Longest accepted deadline; must be shorter than `retention`.
    pub max_deadline: Duration,
    /// Longest time between the agent's stamp and the arrival of an attempt; must be shorter than
    /// `retention`, so that a cancelled attempt is remembered until it can no longer start.
    pub max_stamp_age: Duration,
    /// Age of a stamp when an entry uses it, at most, in the usual case.
    pub stamp_lag: Duration,
    /// Idempotency keys.
    pub keys: KeySettings,
    /// Attempts at the endpoint at a time.
    pub slots: usize,
}

impl Default for AttemptsSettings {
    fn default() -> AttemptsSettings {
        AttemptsSettings {
            retention: Duration::from_secs(600),
            max_deadline: Duration::from_secs(300),
            max_stamp_age: Duration::from_secs(120),
            stamp_lag: Duration::from_secs(5),
            keys: KeySettings::default(),
            slots: 64,
        }
    }
}

/// An attempt that an entry asks to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The run of the agent that it was made for.
    pub incarnation: Incarnation,
    /// The release that must answer; `None` for plain services.
    pub release: Option<ReleaseId>,
    /// Time that the caller still waits.
    pub deadline: Duration,
    /// The agent's clock, as the agent stated it before the attempt was made.
    pub stamp: Duration,
    /// The idempotency key that it runs under, if there is one.
    pub key: Option<KeyUse>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Record {
    Cancelled,
    Running,
    Done,
    /// Failed at the endpoint in a way that leaves open whether it ran.
    Unknown,
}

/// Attempts of one run of an agent.
#[derive(Debug, Clone)]
pub struct Attempts {
    settings: AttemptsSettings,
    incarnation: Incarnation,
    /// Zero of the agent's clock.
    started: Instant,
    keys: Keys,
    /// Records with the time after which they may be dropped, which says nothing of running ones.
    table: BTreeMap<AttemptId, (Record, Instant)>,
    /// Records that do not run, by the time after which they may be dropped.
    expiry: BTreeSet<(Instant, AttemptId)>,
    /// Number of records that are running.
    running: usize,
}

impl Attempts {
    /// An empty table for this run of the agent, whose clock starts at `now`.
    pub fn new(incarnation: Incarnation, settings: AttemptsSettings, now: Instant) -> Attempts {
        let keys = Keys::new(settings.keys);
        let (table, expiry) = (BTreeMap::new(), BTreeSet::new());
        Attempts { settings, incarnation, started: now, keys, table, expiry, running: 0 }
    }

    /// The agent's clock.
    pub fn clock(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Attempts at the endpoint now.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Records that are held.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Decides whether an offered attempt starts now; `serving` is what the endpoint serves if it
    /// takes new work. After `Ok` the attempt counts as running until `finish`.
    pub fn try_start(
        &mut self,
        offer: &AttemptRequest,
        accepting: bool,
        serving: Option<&ReleaseId>,
        now: Instant,
    ) -> Result<(), RefusalReason> {
        if offer.incarnation != self.incarnation {
            return Err(RefusalReason::Incarnation);
        }
        match self.table.get(&offer.attempt) {
            Some((Record::Cancelled, _)) => return Err(RefusalReason::Cancelled),
            Some(_) => return Err(RefusalReason::Duplicate),
            None => {}
        }
        if let Some(reason) = self.key_refusal(offer, now) {
            self.reject(offer.attempt, now);
            return Err(reason);
        }
        match self.refusal(offer, accepting, serving, now) {
            Some(reason) => {
                self.reject(offer.attempt, now);
                Err(reason)
            }
            None => {
                self.table.insert(offer.attempt, (Record::Running, now));
                self.running += 1;
                if let Some(key) = &offer.key {
                    self.keys.bind(key, offer.attempt);
                }
                Ok(())
            }
        }
    }

    /// Remembers that an attempt must not start, until its stamp is too old for it.
    fn reject(&mut self, attempt: AttemptId, now: Instant) {
        let until = now + self.settings.max_stamp_age;
        self.table.insert(attempt, (Record::Cancelled, until));
        self.expiry.insert((until, attempt));
    }

    fn key_refusal(&self, offer: &AttemptRequest, now: Instant) -> Option<RefusalReason> {
        let never_ran = |attempt| matches!(self.table.get(&attempt), Some((Record::Cancelled, _)));
        self.keys.check(offer.key.as_ref()?, self.clock(now), never_ran).err()
    }

    fn refusal(
        &self,
        offer: &AttemptRequest,
        accepting: bool,
        serving: Option<&ReleaseId>,
        now: Instant,
    ) -> Option<RefusalReason> {
        // The deadline counts from arrival, so an attempt that waited for this process is judged by
        // the age of its stamp.
        let age = self.clock(now).saturating_sub(offer.stamp);
        let waited =
            age > offer.deadline + self.settings.stamp_lag || age >= self.settings.max_stamp_age;
        if waited || offer.deadline.is_zero() || offer.deadline > self.settings.max_deadline {
            return Some(RefusalReason::Late);
        }
        if !accepting {
            return Some(RefusalReason::Draining);
        }
        if offer.release.as_ref() != serving {
            return Some(RefusalReason::Release);
        }
        (self.running >= self.settings.slots).then_some(RefusalReason::Busy)
    }

    /// Makes an attempt final if it has not started.
    pub fn cancel(&mut self, attempt: &AttemptRef, now: Instant) -> Fate {
        if !self.can_vouch(attempt, now) {
            return Fate::Unknown;
        }
        if !self.table.contains_key(&attempt.attempt) {
            self.reject(attempt.attempt, now);
        }
        self.fate(attempt, now)
    }

    /// What is known of an attempt.
    pub fn fate(&self, attempt: &AttemptRef, now: Instant) -> Fate {
        if !self.can_vouch(attempt, now) {
            return Fate::Unknown;
        }
        self.table.get(&attempt.attempt).map_or(Fate::Unknown, |(record, _)| fate(*record))
    }

    /// Whether a missing record means that the attempt never arrived.
    fn can_vouch(&self, attempt: &AttemptRef, now: Instant) -> bool {
        let age = self.clock(now).saturating_sub(Duration::from_millis(attempt.stamp));
        attempt.incarnation == self.incarnation && age < self.settings.retention
    }

    /// An attempt that was started has ended.
    pub fn finish(&mut self, attempt: AttemptId, fate: Fate, now: Instant) {
        let until = now + self.settings.retention;
        let Some(slot) = self.table.get_mut(&attempt) else { return };
        if slot.0 != Record::Running {
            return;
        }
        let record = match fate {
            Fate::NotRun => Record::Cancelled,
            Fate::Done => Record::Done,
            Fate::Running | Fate::Unknown => Record::Unknown,
        };
        *slot = (record, until);
        self.expiry.insert((until, attempt));
        self.running -= 1;
        self.keys.finish(attempt, now);
    }

    /// Drops records that are no longer needed.
    pub fn tick(&mut self, now: Instant) {
        while let Some((until, attempt)) = self.expiry.first().copied()
            && until <= now
        {
            self.expiry.pop_first();
            self.table.remove(&attempt);
        }
        self.keys.tick(now);
    }
}

fn fate(record: Record) -> Fate {
    match record {
        Record::Cancelled => Fate::NotRun,
        Record::Running => Fate::Running,
        Record::Done => Fate::Done,
        Record::Unknown => Fate::Unknown,
    }
}

#[cfg(test)]
mod tests;
