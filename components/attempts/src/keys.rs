//! The idempotency keys that were used at an endpoint.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use base::{AttemptId, Digest, WorkspaceId};
use proto::{RefusalReason, Reservation};

/// Retention times and limits of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeySettings {
    /// Time that a key is kept after its attempt ended; a call that is repeated later with the same
    /// key may run again.
    pub retention: Duration,
    /// Time after it was issued during which a reservation may be used.
    pub reservation_ttl: Duration,
    /// Maximum number of keys.
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

/// A request's use of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyUse {
    /// The workspace that the key belongs to.
    pub workspace: WorkspaceId,
    /// The key as the caller sent it.
    pub key: String,
    /// Fingerprint of the request that is made with the key.
    pub fingerprint: Digest,
    /// Whether this agent is certain that no other endpoint ran the key.
    pub authoritative: bool,
}

type QualifiedKey = (WorkspaceId, String);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KeyBinding {
    fingerprint: Digest,
    attempt: AttemptId,
    /// When the binding may be dropped; `None` while the attempt runs.
    expires_at: Option<Instant>,
}

/// Keys by workspace, each bound to the one attempt that may run with it.
#[derive(Debug, Clone)]
pub struct Keys {
    settings: KeySettings,
    bindings: BTreeMap<QualifiedKey, KeyBinding>,
    /// Keys of the running attempts.
    running: BTreeMap<AttemptId, QualifiedKey>,
}

impl Keys {
    /// Creates an empty set of keys.
    pub fn new(settings: KeySettings) -> Keys {
        Keys { settings, bindings: BTreeMap::new(), running: BTreeMap::new() }
    }

    /// Number of stored keys.
    pub fn len(&self) -> usize {
        self.bindings.len()
    }

    /// Whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.bindings.is_empty()
    }

    /// Checks whether an attempt may run with a key; `clock` is the agent's clock, and `never_ran`
    /// tells whether an attempt is known never to have run.
    ///
    /// # Errors
    ///
    /// `KeyMismatch` if the key is bound to a different request, `KeyUsed` if it is bound to an
    /// attempt that may have run, `KeyUnknown` if it may have run elsewhere or its reservation is
    /// not valid now, and `Busy` if the maximum number of keys is reached.
    pub fn check(
        &self,
        key: &KeyUse,
        clock: Duration,
        never_ran: impl Fn(AttemptId) -> bool,
    ) -> Result<(), RefusalReason> {
        let qualified = (key.workspace.clone(), key.key.clone());
        match self.bindings.get(&qualified) {
            Some(binding) if binding.fingerprint != key.fingerprint => {
                Err(RefusalReason::KeyMismatch)
            }
            Some(binding) if never_ran(binding.attempt) => Ok(()),
            Some(binding) => Err(RefusalReason::KeyUsed { attempt: binding.attempt }),
            None if !self.knows_key_unused(key, clock) => Err(RefusalReason::KeyUnknown),
            None if self.bindings.len() >= self.settings.max_keys => Err(RefusalReason::Busy),
            None => Ok(()),
        }
    }

    fn knows_key_unused(&self, key: &KeyUse, clock: Duration) -> bool {
        let Ok(reservation) = key.key.parse::<Reservation>() else { return key.authoritative };
        let issued = Duration::from_millis(reservation.stamp);
        key.authoritative && clock >= issued && clock - issued < self.settings.reservation_ttl
    }

    /// Binds a key to the attempt that runs with it.
    pub fn bind(&mut self, key: &KeyUse, attempt: AttemptId) {
        let binding = KeyBinding { fingerprint: key.fingerprint, attempt, expires_at: None };
        let qualified = (key.workspace.clone(), key.key.clone());
        self.running.insert(attempt, qualified.clone());
        self.bindings.insert(qualified, binding);
    }

    /// Records that an attempt ended, which starts the retention time of its key.
    pub fn finish(&mut self, attempt: AttemptId, now: Instant) {
        let Some(qualified) = self.running.remove(&attempt) else { return };
        // A key must be kept for as long as its reservation may be used.
        let expires_at = now + self.settings.retention.max(self.settings.reservation_ttl);
        if let Some(binding) = self.bindings.get_mut(&qualified) {
            binding.expires_at = Some(expires_at);
        }
    }

    /// Drops keys whose retention time has passed.
    pub fn tick(&mut self, now: Instant) {
        self.bindings
            .retain(|_, binding| binding.expires_at.is_none_or(|expires_at| now < expires_at));
    }
}

#[cfg(test)]
mod tests;
