//! The table of attempts of one incarnation of an agent.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use base::{AttemptId, Incarnation, ReleaseId};
use proto::{AttemptRef, ExecutionStatus, RefusalReason};

use crate::{KeySettings, KeyUse, Keys};

/// Retention times and limits of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptsSettings {
    /// Time that the record of a finished or cancelled attempt is kept.
    pub retention: Duration,
    /// Maximum accepted deadline; must be shorter than `retention`.
    pub max_deadline: Duration,
    /// Age of the agent's stamp from which on an arriving attempt may no longer start; must be
    /// shorter than `retention`, so that the record of a cancelled attempt is kept until the
    /// attempt can no longer start.
    pub max_stamp_age: Duration,
    /// Maximum age, in normal operation, of a stamp when an entry uses it.
    pub stamp_lag: Duration,
    /// Settings of idempotency keys.
    pub keys: KeySettings,
    /// Maximum number of concurrent attempts at the endpoint.
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

/// An entry's request to start an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRequest {
    /// ID of the attempt.
    pub attempt: AttemptId,
    /// The incarnation of the agent that the attempt was created for.
    pub incarnation: Incarnation,
    /// The release that must answer; `None` for plain services.
    pub release: Option<ReleaseId>,
    /// Remaining time for which the caller waits.
    pub deadline: Duration,
    /// The agent's clock, as reported by the agent before the attempt was created.
    pub stamp: Duration,
    /// The idempotency key of the request, if it has one.
    pub key: Option<KeyUse>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    Cancelled,
    Running,
    Done,
    /// The attempt failed at the endpoint, and it is unknown whether it ran.
    Unknown,
}

/// The attempts of one incarnation of an agent.
#[derive(Debug, Clone)]
pub struct Attempts {
    settings: AttemptsSettings,
    incarnation: Incarnation,
    /// When the agent's clock was zero.
    clock_start: Instant,
    keys: Keys,
    /// Attempts with their state and the time after which they may be dropped. The time has no
    /// meaning for running attempts.
    records: BTreeMap<AttemptId, (AttemptState, Instant)>,
    /// Attempts that are not running, ordered by the time after which they may be dropped.
    expiry: BTreeSet<(Instant, AttemptId)>,
    /// Number of running attempts.
    running: usize,
}

impl Attempts {
    /// Creates an empty table for an incarnation of the agent whose clock starts at `now`.
    pub fn new(incarnation: Incarnation, settings: AttemptsSettings, now: Instant) -> Attempts {
        let keys = Keys::new(settings.keys);
        let (records, expiry) = (BTreeMap::new(), BTreeSet::new());
        Attempts { settings, incarnation, clock_start: now, keys, records, expiry, running: 0 }
    }

    /// The reading of the agent's clock at `now`.
    pub fn clock(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.clock_start)
    }

    /// Number of running attempts.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Starts an attempt if it may run; `accepting` tells whether the endpoint accepts new
    /// requests, and `serving` is the release that it serves. After `Ok` the attempt counts as
    /// running until `finish` is called.
    ///
    /// # Errors
    ///
    /// The reason why the attempt must not start. The same attempt cannot be started later either.
    pub fn try_start(
        &mut self,
        request: &AttemptRequest,
        accepting: bool,
        serving: Option<&ReleaseId>,
        now: Instant,
    ) -> Result<(), RefusalReason> {
        if request.incarnation != self.incarnation {
            return Err(RefusalReason::Incarnation);
        }
        match self.records.get(&request.attempt) {
            Some((AttemptState::Cancelled, _)) => return Err(RefusalReason::Cancelled),
            Some(_) => return Err(RefusalReason::Duplicate),
            None => {}
        }
        if let Some(reason) = self.key_refusal(request, now) {
            self.reject(request.attempt, now);
            return Err(reason);
        }
        match self.admission_refusal(request, accepting, serving, now) {
            Some(reason) => {
                self.reject(request.attempt, now);
                Err(reason)
            }
            None => {
                self.records.insert(request.attempt, (AttemptState::Running, now));
                self.running += 1;
                if let Some(key) = &request.key {
                    self.keys.bind(key, request.attempt);
                }
                Ok(())
            }
        }
    }

    /// Records that an attempt must not start, until its stamp is too old to start it.
    fn reject(&mut self, attempt: AttemptId, now: Instant) {
        let expires_at = now + self.settings.max_stamp_age;
        self.records.insert(attempt, (AttemptState::Cancelled, expires_at));
        self.expiry.insert((expires_at, attempt));
    }

    fn key_refusal(&self, request: &AttemptRequest, now: Instant) -> Option<RefusalReason> {
        let never_ran =
            |attempt| matches!(self.records.get(&attempt), Some((AttemptState::Cancelled, _)));
        self.keys.check(request.key.as_ref()?, self.clock(now), never_ran).err()
    }

    fn admission_refusal(
        &self,
        request: &AttemptRequest,
        accepting: bool,
        serving: Option<&ReleaseId>,
        now: Instant,
    ) -> Option<RefusalReason> {
        // The deadline counts from arrival, so the age of the stamp is used to detect an attempt
        // that was delayed because this process was paused.
        let age = self.clock(now).saturating_sub(request.stamp);
        let is_stale =
            age > request.deadline + self.settings.stamp_lag || age >= self.settings.max_stamp_age;
        if is_stale || request.deadline.is_zero() || request.deadline > self.settings.max_deadline {
            return Some(RefusalReason::Late);
        }
        if !accepting {
            return Some(RefusalReason::Draining);
        }
        if request.release.as_ref() != serving {
            return Some(RefusalReason::Release);
        }
        (self.running >= self.settings.slots).then_some(RefusalReason::Busy)
    }

    /// Prevents an attempt from starting if it has not started yet, and returns its fate.
    pub fn cancel(&mut self, attempt: &AttemptRef, now: Instant) -> ExecutionStatus {
        if !self.covers(attempt, now) {
            return ExecutionStatus::Unknown;
        }
        if !self.records.contains_key(&attempt.attempt) {
            self.reject(attempt.attempt, now);
        }
        self.fate(attempt, now)
    }

    /// Returns what is known of an attempt.
    pub fn fate(&self, attempt: &AttemptRef, now: Instant) -> ExecutionStatus {
        if !self.covers(attempt, now) {
            return ExecutionStatus::Unknown;
        }
        self.records
            .get(&attempt.attempt)
            .map_or(ExecutionStatus::Unknown, |(state, _)| fate(*state))
    }

    /// Whether the records cover an attempt: if so, a missing record means that it never arrived.
    fn covers(&self, attempt: &AttemptRef, now: Instant) -> bool {
        let age = self.clock(now).saturating_sub(Duration::from_millis(attempt.stamp));
        attempt.incarnation == self.incarnation && age < self.settings.retention
    }

    /// Records that a running attempt has ended.
    pub fn finish(&mut self, attempt: AttemptId, fate: ExecutionStatus, now: Instant) {
        let expires_at = now + self.settings.retention;
        let Some(entry) = self.records.get_mut(&attempt) else { return };
        if entry.0 != AttemptState::Running {
            return;
        }
        let state = match fate {
            ExecutionStatus::NotRun => AttemptState::Cancelled,
            ExecutionStatus::Done => AttemptState::Done,
            ExecutionStatus::Running | ExecutionStatus::Unknown => AttemptState::Unknown,
        };
        *entry = (state, expires_at);
        self.expiry.insert((expires_at, attempt));
        self.running -= 1;
        self.keys.finish(attempt, now);
    }

    /// Drops expired records.
    pub fn tick(&mut self, now: Instant) {
        while let Some((expires_at, attempt)) = self.expiry.first().copied()
            && expires_at <= now
        {
            self.expiry.pop_first();
            self.records.remove(&attempt);
        }
        self.keys.tick(now);
    }
}

fn fate(state: AttemptState) -> ExecutionStatus {
    match state {
        AttemptState::Cancelled => ExecutionStatus::NotRun,
        AttemptState::Running => ExecutionStatus::Running,
        AttemptState::Done => ExecutionStatus::Done,
        AttemptState::Unknown => ExecutionStatus::Unknown,
    }
}

#[cfg(test)]
mod tests;
