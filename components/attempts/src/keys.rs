//! Idempotency keys that were used at this endpoint.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use base::{AttemptId, Digest, WorkspaceId};
use proto::{RefusalReason, Reservation};

/// Bounds of the keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeySettings {
    /// Time that a key is remembered after its attempt ended; a caller that repeats a key later may
    /// have it run again.
    pub retention: Duration,
    /// Time that a reservation may be used after it was issued.
    pub reservation_ttl: Duration,
    /// Most keys.
    pub max_keys: usize,
}

impl Default for KeySettings {
    fn default() -> KeySettings {
        KeySettings {
            retention: Duration::from_secs(180),
            reservation_ttl: Duration::from_secs(600),
            max_keys: 65_536,
        }
    }
}

/// A use of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyUse {
    /// The workspace that the key belongs to.
    pub workspace: WorkspaceId,
    /// The key as the caller sent it.
    pub key: String,
    /// What is asked for under the key.
    pub fingerprint: Digest,
    /// Whether this agent can tell that no other endpoint ran the key.
    pub authoritative: bool,
}

type Name = (WorkspaceId, String);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Bound {
    fingerprint: Digest,
    attempt: AttemptId,
    /// When it may be forgotten; `None` while the attempt runs.
    until: Option<Instant>,
}

/// Keys by workspace, each with the one attempt that may run under it.
#[derive(Debug, Clone)]
pub struct Keys {
    settings: KeySettings,
    bound: BTreeMap<Name, Bound>,
    /// Keys of the attempts that run.
    running: BTreeMap<AttemptId, Name>,
}

impl Keys {
    /// No keys.
    pub fn new(settings: KeySettings) -> Keys {
        Keys { settings, bound: BTreeMap::new(), running: BTreeMap::new() }
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.bound.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.bound.is_empty()
    }

    /// Decides whether an attempt may run under a key; `clock` is the agent's, and `free` tells
    /// whether an attempt is known never to have run.
    pub fn check(
        &self,
        key: &KeyUse,
        clock: Duration,
        free: impl Fn(AttemptId) -> bool,
    ) -> Result<(), RefusalReason> {
        let name = (key.workspace.clone(), key.key.clone());
        match self.bound.get(&name) {
            Some(bound) if bound.fingerprint != key.fingerprint => Err(RefusalReason::KeyMismatch),
            Some(bound) if free(bound.attempt) => Ok(()),
            Some(bound) => Err(RefusalReason::KeyUsed { attempt: bound.attempt }),
            None if !self.vouches(key, clock) => Err(RefusalReason::KeyUnknown),
            None if self.bound.len() >= self.settings.max_keys => Err(RefusalReason::Busy),
            None => Ok(()),
        }
    }

    fn vouches(&self, key: &KeyUse, clock: Duration) -> bool {
        let Ok(reservation) = key.key.parse::<Reservation>() else { return key.authoritative };
        let issued = Duration::from_millis(reservation.stamp);
        key.authoritative && clock >= issued && clock - issued < self.settings.reservation_ttl
    }

    /// Binds a key to the attempt that runs under it.
    pub fn bind(&mut self, key: &KeyUse, attempt: AttemptId) {
        let bound = Bound { fingerprint: key.fingerprint, attempt, until: None };
        let name = (key.workspace.clone(), key.key.clone());
        self.running.insert(attempt, name.clone());
        self.bound.insert(name, bound);
    }

    /// The attempt that ran under a key ended.
    pub fn finish(&mut self, attempt: AttemptId, now: Instant) {
        let Some(name) = self.running.remove(&attempt) else { return };
        // A reservation must be remembered for as long as it may be used.
        let until = now + self.settings.retention.max(self.settings.reservation_ttl);
        if let Some(bound) = self.bound.get_mut(&name) {
            bound.until = Some(until);
        }
    }

    /// Forgets keys that are no longer promised.
    pub fn tick(&mut self, now: Instant) {
        self.bound.retain(|_, bound| bound.until.is_none_or(|until| now < until));
    }
}

#[cfg(test)]
mod tests;
