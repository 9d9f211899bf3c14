//! The agent's part in attempts: which start, which answers are kept, and whose keys it holds.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, atomic::Ordering},
    time::{Duration, Instant},
};

use attempts::{AttemptRequest, KeyOwnership, KeyUse};
use base::{AttemptId, VmId};
use manifest::{Role, VmState};
use proto::{AttemptRef, Crash, Fate, RefusalReason, Reservation};
use settings::EndpointKind;

use crate::{
    answer::Answer,
    core::{Core, Shared},
    event::{Event, Opened, Refused},
};

/// Time that an ended answer is kept for an entry that lost its connection.
const KEEP: Duration = Duration::from_secs(15);
/// Time that an ended answer is kept for a caller that repeats its idempotency key.
const KEEP_KEYED: Duration = Duration::from_secs(180);
/// Most bytes of ended answers.
const MAX_KEPT_BYTES: usize = 64 << 20;

/// Answers that run or ended a moment ago.
#[derive(Default)]
pub(crate) struct Answers {
    kept: HashMap<AttemptId, Kept>,
}

struct Kept {
    answer: Arc<Answer>,
    keyed: bool,
    /// When it may be dropped; `None` while the attempt runs.
    until: Option<Instant>,
}

impl Answers {
    fn add(&mut self, offer: &AttemptRequest, detached: bool, now: Instant) -> Arc<Answer> {
        let keyed = offer.key.is_some();
        let answer = Arc::new(Answer::new(detached || keyed, now));
        self.kept.insert(offer.attempt, Kept { answer: answer.clone(), keyed, until: None });
        answer
    }

    fn get(&self, attempt: AttemptId) -> Option<Arc<Answer>> {
        self.kept.get(&attempt).map(|kept| kept.answer.clone())
    }

    pub(crate) fn ended(&mut self, attempt: AttemptId, now: Instant) {
        if let Some(kept) = self.kept.get_mut(&attempt) {
            kept.until = Some(now + if kept.keyed { KEEP_KEYED } else { KEEP });
        }
    }

    /// Drops answers that are no longer needed, and the oldest ones if they take too much memory.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.kept.retain(|_, kept| kept.until.is_none_or(|until| now < until));
        let mut ended: Vec<(Instant, AttemptId, usize)> = self
            .kept
            .iter()
            .filter_map(|(id, kept)| Some((kept.until?, *id, kept.answer.size())))
            .collect();
        let mut bytes: usize = ended.iter().map(|(_, _, size)| size).sum();
        ended.sort_unstable();
        for (_, id, size) in ended {
            if bytes <= MAX_KEPT_BYTES {
                return;
            }
            self.kept.remove(&id);
            bytes -= size;
        }
    }
}

/// Crashes of the endpoint in this run of the agent.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    count: u64,
    /// When the last one was seen, if the endpoint has not served since.
    down: Option<Instant>,
    /// Whether only one attempt was in progress at the last one.
    alone: bool,
}

impl Crashes {
    /// The endpoint was found crashed while `running` attempts were in progress.
    ///
    /// Returns the crash unless the attempt that saw it was made only after it.
    fn seen(&mut self, made: Instant, running: usize, now: Instant) -> Option<Crash> {
        match self.down {
            Some(at) if made > at => return None,
            Some(_) => {}
            None => {
                self.down = Some(now);
                self.count += 1;
                self.alone = running <= 1;
            }
        }
        Some(Crash { number: self.count, alone: self.alone })
    }

    /// The endpoint served when it was asked at `asked`.
    pub(crate) fn serves(&mut self, asked: Instant) {
        self.down = self.down.filter(|at| asked <= *at);
    }
}

impl Shared {
    /// The crash that just ended an attempt that was made at `made`, if the endpoint crashed.
    pub(crate) fn crash(&self, made: Instant) -> Option<Crash> {
        let running = self.running.load(Ordering::SeqCst);
        let crashed = match self.kind {
            EndpointKind::Model => self.engine.has_crashed(),
            EndpointKind::Plain => self.engine.is_down(),
        };
        if !crashed {
            return None;
        }
        let now = Instant::now();
        // No more work is accepted until the endpoint is seen to serve again.
        self.mailbox.send(Event::Engine { report: None, asked: now });
        self.crashes.lock().expect("no holder panics").seen(made, running, now)
    }
}

/// Crashes, shared with the threads that run attempts.
pub(crate) type SharedCrashes = Arc<Mutex<Crashes>>;

impl Core {
    pub(crate) fn offered(&mut self, mut offer: AttemptRequest, now: Instant) -> Opened {
        let vouched = offer.key.as_ref().is_some_and(|key| self.vouches(key, now));
        if let Some(key) = &mut offer.key {
            key.authoritative = vouched;
        }
        let accepting = self.accepting();
        match self.attempts.try_start(&offer, accepting, self.endpoint.serving(), now) {
            Ok(()) => {
                self.shared.running.store(self.attempts.running(), Ordering::SeqCst);
                let plain = self.settings.kind == EndpointKind::Plain;
                Ok(self.answers.add(&offer, plain, now))
            }
            Err(reason) => Err(Refused { fate: self.refused_fate(&reason, now), reason }),
        }
    }

    /// Whether a refused request may have run, by this or an earlier attempt.
    fn refused_fate(&self, reason: &RefusalReason, now: Instant) -> Fate {
        match reason {
            RefusalReason::KeyUsed { attempt } => {
                let incarnation = self.node.identity.incarnation;
                self.attempts.fate(&AttemptRef { attempt: *attempt, incarnation, stamp: 0 }, now)
            }
            RefusalReason::Duplicate
            | RefusalReason::Incarnation
            | RefusalReason::KeyUnknown
            | RefusalReason::NoAnswer => Fate::Unknown,
            RefusalReason::Cancelled
            | RefusalReason::Release
            | RefusalReason::Draining
            | RefusalReason::Busy
            | RefusalReason::Late
            | RefusalReason::KeyMismatch => Fate::NotRun,
        }
    }

    /// Whether no other endpoint can have run the key.
    fn vouches(&self, key: &KeyUse, now: Instant) -> bool {
        let identity = &self.node.identity;
        match key.key.parse::<Reservation>() {
            Ok(reservation) => {
                let mine = reservation.vm == identity.settings.vm;
                mine && reservation.incarnation == identity.incarnation
            }
            Err(_) => self.homes.is_authoritative(&key.key, now),
        }
    }

    pub(crate) fn resumed(&mut self, attempt: &AttemptRef, now: Instant) -> Opened {
        if attempt.incarnation == self.node.identity.incarnation
            && let Some(answer) = self.answers.get(attempt.attempt)
        {
            return Ok(answer);
        }
        let fate = self.attempts.cancel(attempt, now);
        Err(Refused { reason: RefusalReason::NoAnswer, fate })
    }

    /// Makes an attempt final; one that runs is stopped, as nobody waits for it.
    pub(crate) fn cancelled(&mut self, attempt: &AttemptRef, now: Instant) -> Fate {
        let fate = self.attempts.cancel(attempt, now);
        if fate == Fate::Running
            && let Some(answer) = self.answers.get(attempt.attempt)
        {
            answer.stop();
            if !answer.wanted(now) {
                let (engine, attempt) = (self.shared.engine.clone(), attempt.attempt);
                self.shared.workers.run(move || engine.cancel(attempt));
            }
        }
        fate
    }

    /// Tells the homes of keys which VMs run this VM's plain service.
    pub(crate) fn update_homes(&mut self, now: Instant) {
        let vms = self.node.documents.vms();
        let mine = self.settings.service.as_ref();
        let serves = |role: &Role| matches!(role, Role::Plain(service) if Some(service) == mine);
        let members: Vec<VmId> = vms
            .vms
            .iter()
            .filter(|vm| vm.state == VmState::Live && serves(&vm.role))
            .map(|vm| vm.id.clone())
            .collect();
        self.homes.set_members(members, now);
    }
}

/// The homes of an agent's keys.
pub(crate) fn homes(me: VmId, handover: Duration, now: Instant) -> KeyOwnership {
    let settings =
        attempts::KeyOwnershipSettings { handover, ..attempts::KeyOwnershipSettings::default() };
    KeyOwnership::new(me, settings, now)
}

#[cfg(test)]
mod tests;
