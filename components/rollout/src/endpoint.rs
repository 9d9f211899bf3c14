//! The state machine that brings one endpoint to its target release.

use std::time::{Duration, Instant};

use base::{Fence, ReleaseId};
use proto::Verdict;

use crate::{Action, EngineStatus, Event, Order, OrderKind, Phase, Target, trial::Trial};

/// Time between queries of the engine's status.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an event after which all state counts as stale.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Delay after an order that the engine did not accept.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Gap between a new process's fencing numbers and those that the engine saw before.
const FENCE_GAP: u64 = 1024;

/// Decides which orders the engine of one endpoint gets.
#[derive(Debug, Clone)]
pub struct Endpoint {
    phase: Phase,
    target: Option<Target>,
    engine: Option<EngineStatus>,
    /// The highest fencing number that this process used, or adopted when it first queried the
    /// engine. The engine reports a higher one only if another process gave it an order.
    fence: Fence,
    /// Whether `fence` is above the numbers of earlier processes.
    fence_adopted: bool,
    /// The engine's fencing number at the first query, if it was above `fence`. It was used by an
    /// earlier process whose clock ran ahead, or by a newer process. Peers tell which before it is
    /// adopted.
    disputed_fence: Option<Fence>,
    /// Whether peers confirmed the documents and members since the start or the last pause. No
    /// order is given before that.
    peers_confirmed: bool,
    /// Status responses to queries sent before this time are stale.
    valid_since: Instant,
    /// When the engine accepted the order to prepare; `None` before.
    prepared_at: Option<Instant>,
    /// No order is given before this time.
    retry_at: Instant,
    /// The release last reported as ready, as long as the engine keeps serving it.
    reported_ready: Option<ReleaseId>,
    trial: Trial,
    in_flight: usize,
    may_switch: bool,
    next_read_at: Instant,
    last_event_at: Instant,
}

impl Endpoint {
    /// Creates an endpoint in an unknown state. Fencing numbers start at `fence`, for example the
    /// wall clock in milliseconds, or above those that the engine saw.
    pub fn new(fence: Fence, now: Instant) -> Endpoint {
        Endpoint {
            phase: Phase::Unknown,
            target: None,
            engine: None,
            fence,
            fence_adopted: false,
            disputed_fence: None,
            peers_confirmed: false,
            valid_since: now,
            prepared_at: None,
            retry_at: now,
            reported_ready: None,
            trial: Trial::default(),
            in_flight: 0,
            may_switch: false,
            next_read_at: now,
            last_event_at: now,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// The release that the endpoint must serve, if any.
    pub fn target(&self) -> Option<&Target> {
        self.target.as_ref()
    }

    /// The release that the engine serves, by its last status.
    pub fn serving(&self) -> Option<&ReleaseId> {
        self.engine.as_ref().and_then(|e| e.serving.as_ref())
    }

    /// Whether `release` passed or failed here, once that is known.
    pub fn verdict(&self, release: &ReleaseId) -> Option<Verdict> {
        self.trial.verdict(release)
    }

    /// Whether the engine may get new requests.
    pub fn is_accepting(&self) -> bool {
        let busy = matches!(self.phase, Phase::Draining | Phase::Switching | Phase::Superseded);
        !busy && self.serving().is_some()
    }

    /// Handles an event and returns the actions to perform.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let paused = now.saturating_duration_since(self.last_event_at) > PAUSE_THRESHOLD;
        self.last_event_at = now;
        if self.phase == Phase::Superseded {
            return Vec::new();
        }
        if paused || event == Event::Resumed {
            return self.handle_pause(event, now);
        }
        match event {
            Event::Target(target) => self.set_target(target, now),
            Event::Engine { asked_at, .. } if asked_at < self.valid_since => {
                self.next_read_at = now;
                Vec::new()
            }
            Event::Engine { status, asked_at } => self.handle_status(status, asked_at, now),
            Event::EngineUnreachable => self.forget_engine(now),
            Event::Staged(release) => self.handle_staged(&release, now),
            Event::MaySwitch(may_switch) => {
                self.may_switch = may_switch;
                self.advance(now)
            }
            Event::InFlight(n) => {
                self.in_flight = n;
                self.advance(now)
            }
            Event::OrderAnswered { order, accepted } => {
                self.handle_order_answer(&order, accepted, now)
            }
            Event::PeersConfirmed => {
                self.peers_confirmed = true;
                let mut actions = self.start_if_confirmed(now);
                if self.disputed_fence.is_some() && !self.fence_adopted {
                    actions.push(Action::ReadEngine);
                }
                actions
            }
            Event::Resumed => Vec::new(),
            Event::NewerProcess => self.step_down(self.fence),
            Event::Tick => self.handle_tick(now),
        }
    }

    /// After a pause, no order is given before peers and the engine were queried again.
    fn handle_pause(&mut self, event: Event, now: Instant) -> Vec<Action> {
        if let Event::Target(target) = event {
            self.target = target;
        }
        self.may_switch = false;
        self.peers_confirmed = false;
        let mut actions = self.forget_engine(now);
        actions.push(Action::ConfirmWithPeers);
        actions
    }

    fn step_down(&mut self, seen: Fence) -> Vec<Action> {
        let cancel = self.pending_release().map(Action::CancelLoad);
        self.phase = Phase::Superseded;
        cancel.into_iter().chain([Action::StepDown(seen)]).collect()
    }

    fn forget_engine(&mut self, now: Instant) -> Vec<Action> {
        let cancel = self.pending_release().map(Action::CancelLoad);
        self.phase = Phase::Unknown;
        self.engine = None;
        self.prepared_at = None;
        self.valid_since = now;
        self.next_read_at = now;
        cancel.into_iter().collect()
    }

    /// The release that is being rolled out and can still be cancelled.
    fn pending_release(&self) -> Option<ReleaseId> {
        let is_pending = matches!(self.phase, Phase::Loading | Phase::Waiting | Phase::Draining);
        self.target.as_ref().filter(|_| is_pending).map(|t| t.release.clone())
    }

    fn loading_release(&self) -> Option<ReleaseId> {
        let is_loading = matches!(self.phase, Phase::Loading);
        self.target.as_ref().filter(|_| is_loading).map(|t| t.release.clone())
    }

    fn set_target(&mut self, target: Option<Target>, now: Instant) -> Vec<Action> {
        if self.target == target {
            return Vec::new();
        }
        let mut actions: Vec<Action> =
            self.pending_release().map(Action::CancelLoad).into_iter().collect();
        self.target = target;
        self.may_switch = false;
        // The answer to an order in progress is awaited first.
        if self.phase != Phase::Switching && self.phase != Phase::Unknown {
            actions.extend(self.start(now));
        }
        actions
    }

    fn handle_status(
        &mut self,
        mut status: EngineStatus,
        asked_at: Instant,
        now: Instant,
    ) -> Vec<Action> {
        self.next_read_at = now + READ_INTERVAL;
        if !self.fence_adopted && !self.adopt_fence(status.fence) {
            return self.confirm_with_peers();
        }
        if status.fence > self.fence {
            self.trial.reset();
            return self.step_down(status.fence);
        }
        if self.phase == Phase::Loading && !self.reflects_prepare(asked_at) {
            status.prepared = self.engine.as_ref().and_then(|e| e.prepared.clone());
        }
        if status.serving != self.reported_ready {
            self.reported_ready = None;
        }
        let changed = self.engine.as_ref() != Some(&status);
        self.engine = Some(status);
        self.update_trial(now);
        match self.phase {
            Phase::Unknown => self.start_if_confirmed(now),
            Phase::Settled if changed => self.start(now),
            Phase::Loading | Phase::Waiting if self.prepared_was_lost(asked_at) => self.start(now),
            _ => Vec::new(),
        }
    }

    /// Updates the trial from the engine's status, unless an order is in progress.
    fn update_trial(&mut self, now: Instant) {
        if self.phase == Phase::Switching {
            return;
        }
        let serving = self.engine.as_ref().and_then(|e| e.serving.as_ref());
        if let Some(target) = &self.target {
            if serving == Some(&target.release) {
                self.trial.start(&target.release);
            }
            self.trial.observe(serving, target.soak, now);
        }
    }

    /// Moves the fencing numbers above the engine's. A number above those of this process is
    /// adopted only after peers were asked: if a newer process gave orders, peers know it and the
    /// result is `Event::NewerProcess`.
    fn adopt_fence(&mut self, seen: Fence) -> bool {
        let known = self.disputed_fence.is_some_and(|disputed| disputed >= seen);
        if seen > self.fence && !(known && self.peers_confirmed) {
            self.disputed_fence = self.disputed_fence.max(Some(seen));
            self.peers_confirmed &= known;
            return false;
        }
        self.fence_adopted = true;
        self.fence = self.fence.max(Fence(seen.0 + FENCE_GAP));
        true
    }

    fn confirm_with_peers(&self) -> Vec<Action> {
        if self.peers_confirmed { Vec::new() } else { vec![Action::ConfirmWithPeers] }
    }

    fn start_if_confirmed(&mut self, now: Instant) -> Vec<Action> {
        let ready = self.phase == Phase::Unknown && self.peers_confirmed && now >= self.retry_at;
        if ready { self.start(now) } else { Vec::new() }
    }

    /// Whether a status requested at `asked_at` was requested after the engine accepted the order
    /// to prepare.
    fn reflects_prepare(&self, asked_at: Instant) -> bool {
        self.prepared_at.is_some_and(|at| asked_at >= at)
    }

    /// Whether the engine accepted the order to prepare but no longer holds that release.
    fn prepared_was_lost(&self, asked_at: Instant) -> bool {
        let prepared = self.engine.as_ref().and_then(|e| e.prepared.as_ref());
        self.reflects_prepare(asked_at) && prepared != self.target.as_ref().map(|t| &t.release)
    }

    /// Starts the transition from the engine's reported state to the target.
    fn start(&mut self, now: Instant) -> Vec<Action> {
        let Some(engine) = self.engine.clone() else { return Vec::new() };
        let target_release = self.target.as_ref().map(|t| t.release.clone());
        let mut actions = Vec::new();
        if engine.prepared.is_some()
            && (engine.prepared != target_release || engine.serving == target_release)
        {
            let prepared = engine.prepared.clone().expect("checked above");
            actions.push(self.next_order(OrderKind::Abort, prepared));
            self.assume_prepared(None);
        }
        match target_release {
            None => {
                self.phase = Phase::Settled;
                if engine.serving.is_some() {
                    self.phase = Phase::Draining;
                    actions.extend(self.advance(now));
                }
            }
            Some(release) if engine.serving.as_ref() == Some(&release) => {
                self.phase = Phase::Settled;
                if self.reported_ready.as_ref() != Some(&release) {
                    self.reported_ready = Some(release.clone());
                    actions.push(Action::ReportReady(release));
                }
            }
            Some(release) => {
                self.phase = Phase::Loading;
                self.prepared_at = None;
                self.assume_prepared(Some(release.clone()));
                actions.push(self.next_order(OrderKind::Prepare, release));
            }
        }
        self.next_read_at = now + READ_INTERVAL;
        actions
    }

    /// Records what an order in progress makes the engine hold, so that a change of target in the
    /// meantime aborts it.
    fn assume_prepared(&mut self, release: Option<ReleaseId>) {
        if let Some(engine) = &mut self.engine {
            engine.prepared = release;
        }
    }

    fn handle_staged(&mut self, release: &ReleaseId, now: Instant) -> Vec<Action> {
        if self.loading_release().as_ref() != Some(release) {
            return Vec::new();
        }
        self.phase = Phase::Waiting;
        self.advance(now)
    }

    /// Proceeds to the next phase if its conditions are met.
    fn advance(&mut self, now: Instant) -> Vec<Action> {
        if self.phase == Phase::Waiting && self.may_switch {
            self.phase = Phase::Draining;
        }
        if self.phase != Phase::Draining || self.in_flight > 0 {
            return Vec::new();
        }
        self.phase = Phase::Switching;
        self.reported_ready = None;
        self.next_read_at = now + READ_INTERVAL;
        match (self.target.clone(), self.serving().cloned()) {
            (Some(target), _) => {
                self.trial.activation_ordered(&target.release);
                vec![self.next_order(OrderKind::Activate, target.release)]
            }
            (None, Some(serving)) => {
                self.trial.unload_ordered();
                vec![self.next_order(OrderKind::Unload, serving)]
            }
            (None, None) => {
                self.phase = Phase::Settled;
                Vec::new()
            }
        }
    }

    fn handle_order_answer(&mut self, order: &Order, accepted: bool, now: Instant) -> Vec<Action> {
        if order.fence != self.fence && order.order != OrderKind::Prepare {
            return Vec::new();
        }
        let is_current =
            self.loading_release().as_ref() == Some(&order.release) && order.fence == self.fence;
        match order.order {
            OrderKind::Prepare if accepted && is_current => {
                self.prepared_at = Some(now);
                vec![Action::LoadChunks(order.release.clone())]
            }
            // The target changed in the meantime, and the transition to the new one aborted this
            // release.
            OrderKind::Prepare if !is_current => Vec::new(),
            OrderKind::Abort => Vec::new(),
            // The engine's reported status decides, not its answer to the order.
            _ => {
                if !accepted {
                    self.retry_at = now + RETRY_DELAY;
                }
                let mut actions = self.forget_engine(now);
                actions.push(Action::ReadEngine);
                actions
            }
        }
    }

    fn handle_tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.engine.is_some() {
            actions = self.start_if_confirmed(now);
        }
        if now >= self.next_read_at {
            self.next_read_at = now + READ_INTERVAL;
            actions.push(Action::ReadEngine);
        }
        actions
    }

    fn next_order(&mut self, order: OrderKind, release: ReleaseId) -> Action {
        self.fence = self.fence.next();
        Action::Order(Order { order, release, fence: self.fence })
    }
}

#[cfg(test)]
mod tests;
