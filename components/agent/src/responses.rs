//! Attempts on this agent: acceptance, retained responses, crashes and key ownership.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, atomic::Ordering},
    time::{Duration, Instant},
};

use attempts::{AttemptRequest, KeyOwnership, KeyUse};
use base::{AttemptId, VmId};
use manifest::{Role, VmState};
use proto::{AttemptRef, Crash, ExecutionStatus, RefusalReason, Reservation};
use settings::EndpointKind;

use crate::{
    core::{Core, Shared},
    event::{Event, OpenResult, Refusal},
    response::ResponseBuffer,
};

/// Time that an ended response is retained for an entry that lost its connection.
const RETENTION: Duration = Duration::from_secs(15);
/// Time that an ended response is retained for a caller that reuses its idempotency key.
const KEYED_RETENTION: Duration = Duration::from_secs(180);
/// Maximum total size of ended responses in bytes.
const MAX_RETAINED_BYTES: usize = 64 << 20;

/// Responses of running and recently ended attempts.
#[derive(Default)]
pub(crate) struct ResponseStore {
    responses: HashMap<AttemptId, StoredResponse>,
}

struct StoredResponse {
    response: Arc<ResponseBuffer>,
    has_key: bool,
    /// When it is dropped; `None` while the attempt runs.
    expires_at: Option<Instant>,
}

impl ResponseStore {
    fn add(
        &mut self,
        request: &AttemptRequest,
        detached: bool,
        now: Instant,
    ) -> Arc<ResponseBuffer> {
        let has_key = request.key.is_some();
        let response = Arc::new(ResponseBuffer::new(detached || has_key, now));
        self.responses.insert(
            request.attempt,
            StoredResponse { response: response.clone(), has_key, expires_at: None },
        );
        response
    }

    fn get(&self, attempt: AttemptId) -> Option<Arc<ResponseBuffer>> {
        self.responses.get(&attempt).map(|stored| stored.response.clone())
    }

    pub(crate) fn mark_ended(&mut self, attempt: AttemptId, now: Instant) {
        if let Some(stored) = self.responses.get_mut(&attempt) {
            stored.expires_at =
                Some(now + if stored.has_key { KEYED_RETENTION } else { RETENTION });
        }
    }

    /// Drops expired responses, and those that expire first if they take too much memory.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.responses.retain(|_, stored| stored.expires_at.is_none_or(|until| now < until));
        let mut ended: Vec<(Instant, AttemptId, usize)> = self
            .responses
            .iter()
            .filter_map(|(id, stored)| {
                Some((stored.expires_at?, *id, stored.response.buffered_bytes()))
            })
            .collect();
        let mut bytes: usize = ended.iter().map(|(_, _, size)| size).sum();
        ended.sort_unstable();
        for (_, id, size) in ended {
            if bytes <= MAX_RETAINED_BYTES {
                return;
            }
            self.responses.remove(&id);
            bytes -= size;
        }
    }
}

/// Crashes of the endpoint since the agent started.
#[derive(Debug, Default)]
pub(crate) struct CrashHistory {
    count: u64,
    /// When the last crash was detected, if the endpoint has not served since.
    down_since: Option<Instant>,
    /// Whether at most one attempt was in progress at the last crash.
    alone: bool,
}

impl CrashHistory {
    /// Records that the endpoint was found crashed while `running` attempts were in progress.
    ///
    /// Returns the crash, or `None` if the attempt that noticed it started only after it.
    fn record(&mut self, started_at: Instant, running: usize, now: Instant) -> Option<Crash> {
        match self.down_since {
            Some(at) if started_at > at => return None,
            Some(_) => {}
            None => {
                self.down_since = Some(now);
                self.count += 1;
                self.alone = running <= 1;
            }
        }
        Some(Crash { number: self.count, alone: self.alone })
    }

    /// Records that the endpoint served when it was asked at `asked_at`.
    pub(crate) fn record_serving(&mut self, asked_at: Instant) {
        self.down_since = self.down_since.filter(|at| asked_at <= *at);
    }
}

impl Shared {
    /// The crash that ended an attempt which started at `started_at`, if the endpoint crashed.
    pub(crate) fn detect_crash(&self, started_at: Instant) -> Option<Crash> {
        let running = self.running.load(Ordering::SeqCst);
        let crashed = match self.kind {
            EndpointKind::Model => self.engine.has_crashed(),
            EndpointKind::Plain => self.engine.is_down(),
        };
        if !crashed {
            return None;
        }
        let now = Instant::now();
        // Without a report no work is accepted until the endpoint serves again.
        self.mailbox.send(Event::Engine { report: None, asked_at: now });
        self.crashes.lock().expect("no holder panics").record(started_at, running, now)
    }
}

/// Crash history shared with the threads that run attempts.
pub(crate) type SharedCrashHistory = Arc<Mutex<CrashHistory>>;

impl Core {
    pub(crate) fn handle_start(&mut self, mut request: AttemptRequest, now: Instant) -> OpenResult {
        let authoritative = request.key.as_ref().is_some_and(|key| self.is_authoritative(key, now));
        if let Some(key) = &mut request.key {
            key.authoritative = authoritative;
        }
        let accepting = self.is_accepting();
        match self.attempts.try_start(&request, accepting, self.endpoint.serving(), now) {
            Ok(()) => {
                self.shared.running.store(self.attempts.running(), Ordering::SeqCst);
                let plain = self.settings.kind == EndpointKind::Plain;
                Ok(self.responses.add(&request, plain, now))
            }
            Err(reason) => Err(Refusal { fate: self.refused_fate(&reason, now), reason }),
        }
    }

    /// Whether a refused request may have run, by this or an earlier attempt.
    fn refused_fate(&self, reason: &RefusalReason, now: Instant) -> ExecutionStatus {
        match reason {
            RefusalReason::KeyUsed { attempt } => {
                let incarnation = self.node.identity.incarnation;
                self.attempts.fate(&AttemptRef { attempt: *attempt, incarnation, stamp: 0 }, now)
            }
            RefusalReason::Duplicate
            | RefusalReason::Incarnation
            | RefusalReason::KeyUnknown
            | RefusalReason::NoAnswer => ExecutionStatus::Unknown,
            RefusalReason::Cancelled
            | RefusalReason::Release
            | RefusalReason::Draining
            | RefusalReason::Busy
            | RefusalReason::Late
            | RefusalReason::KeyMismatch => ExecutionStatus::NotRun,
        }
    }

    /// Whether no other endpoint can have run an attempt with this key.
    fn is_authoritative(&self, key: &KeyUse, now: Instant) -> bool {
        let identity = &self.node.identity;
        match key.key.parse::<Reservation>() {
            Ok(reservation) => {
                let mine = reservation.vm == identity.settings.vm;
                mine && reservation.incarnation == identity.incarnation
            }
            Err(_) => self.key_ownership.is_authoritative(&key.key, now),
        }
    }

    pub(crate) fn handle_resume(&mut self, attempt: &AttemptRef, now: Instant) -> OpenResult {
        if attempt.incarnation == self.node.identity.incarnation
            && let Some(response) = self.responses.get(attempt.attempt)
        {
            return Ok(response);
        }
        let fate = self.attempts.cancel(attempt, now);
        Err(Refusal { reason: RefusalReason::NoAnswer, fate })
    }

    /// Makes an attempt final and returns its fate. A running one is stopped, as nobody waits for it,
    /// unless its response is detached.
    pub(crate) fn handle_cancel(&mut self, attempt: &AttemptRef, now: Instant) -> ExecutionStatus {
        let fate = self.attempts.cancel(attempt, now);
        if fate == ExecutionStatus::Running
            && let Some(response) = self.responses.get(attempt.attempt)
        {
            response.cancel();
            if !response.is_wanted(now) {
                let (engine, attempt) = (self.shared.engine.clone(), attempt.attempt);
                self.shared.workers.run(move || engine.cancel(attempt));
            }
        }
        fate
    }

    /// Updates the key ownership with the VMs that run this VM's plain service.
    pub(crate) fn update_key_ownership(&mut self, now: Instant) {
        let vms = self.node.documents.vms();
        let mine = self.settings.service.as_ref();
        let serves = |role: &Role| matches!(role, Role::Plain(service) if Some(service) == mine);
        let members: Vec<VmId> = vms
            .vms
            .iter()
            .filter(|vm| vm.state == VmState::Live && serves(&vm.role))
            .map(|vm| vm.id.clone())
            .collect();
        self.key_ownership.set_members(members, now);
    }
}

/// Creates the key ownership of an agent.
pub(crate) fn key_ownership(me: VmId, handover: Duration, now: Instant) -> KeyOwnership {
    let settings =
        attempts::KeyOwnershipSettings { handover, ..attempts::KeyOwnershipSettings::default() };
    KeyOwnership::new(me, settings, now)
}

#[cfg(test)]
mod tests;
