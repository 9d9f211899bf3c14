//! The state machine of one endpoint.

use std::time::{Duration, Instant};

use base::{Fence, ReleaseId};
use proto::Verdict;

use crate::{Action, EngineStatus, Event, Order, OrderKind, Phase, Target, trial::Trial};

/// Time after which the engine's state is asked for again.
const READ_EVERY: Duration = Duration::from_millis(500);
/// Time without an event after which all knowledge counts as old.
const PAUSE: Duration = Duration::from_secs(2);
/// Pause after an order that the engine did not accept.
const RETRY: Duration = Duration::from_millis(500);
/// Distance of a new process's fencing numbers from those that the engine saw before.
const FENCE_GAP: u64 = 1024;

/// Drives one endpoint.
#[derive(Debug, Clone)]
pub struct Endpoint {
    phase: Phase,
    target: Option<Target>,
    engine: Option<EngineStatus>,
    /// The highest fencing number that this process used, or adopted when it first read the engine.
    /// The engine states a higher one only if another process gave it an order.
    fence: Fence,
    /// Whether `fence` is above the numbers of earlier processes.
    adopted: bool,
    /// The engine's number at the first reading, if it was above `fence`: an earlier process whose
    /// clock ran ahead used it, or a later one did. Peers tell which before it is adopted.
    disputed: Option<Fence>,
    /// Whether peers confirmed documents and members since the start or the last pause. No order is
    /// given before.
    fresh: bool,
    /// Statements of the engine that were asked for before are old.
    known_since: Instant,
    /// When the engine accepted the order to prepare; `None` before.
    prepared_at: Option<Instant>,
    /// No order is given before.
    retry_at: Instant,
    /// The release that was called ready last and serves since.
    ready: Option<ReleaseId>,
    trial: Trial,
    in_flight: usize,
    turn: bool,
    read_at: Instant,
    last_event: Instant,
}

impl Endpoint {
    /// An endpoint of which nothing is known; fencing numbers start at `fence`, such as the wall clock
    /// in milliseconds, or above those that the engine saw.
    pub fn new(fence: Fence, now: Instant) -> Endpoint {
        Endpoint {
            phase: Phase::Unknown,
            target: None,
            engine: None,
            fence,
            adopted: false,
            disputed: None,
            fresh: false,
            known_since: now,
            prepared_at: None,
            retry_at: now,
            ready: None,
            trial: Trial::default(),
            in_flight: 0,
            turn: false,
            read_at: now,
            last_event: now,
        }
    }

    /// Where the endpoint is.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// What it is to serve.
    pub fn target(&self) -> Option<&Target> {
        self.target.as_ref()
    }

    /// What the engine serves, by its last statement.
    pub fn serving(&self) -> Option<&ReleaseId> {
        self.engine.as_ref().and_then(|e| e.serving.as_ref())
    }

    /// How `release` fared here, once that is known.
    pub fn verdict(&self, release: &ReleaseId) -> Option<Verdict> {
        self.trial.verdict(release)
    }

    /// Whether new work may go to the engine.
    pub fn is_accepting(&self) -> bool {
        let busy = matches!(self.phase, Phase::Draining | Phase::Switching | Phase::Superseded);
        !busy && self.serving().is_some()
    }

    /// Handles an event.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let paused = now.saturating_duration_since(self.last_event) > PAUSE;
        self.last_event = now;
        if self.phase == Phase::Superseded {
            return Vec::new();
        }
        if paused || event == Event::Resumed {
            return self.wake(event, now);
        }
        match event {
            Event::Target(target) => self.retarget(target, now),
            Event::Engine { asked_at: asked, .. } if asked < self.known_since => {
                self.read_at = now;
                Vec::new()
            }
            Event::Engine { status: view, asked_at: asked } => self.observe(view, asked, now),
            Event::EngineUnreachable => self.lose(now),
            Event::Staged(release) => self.staged(&release, now),
            Event::MaySwitch(turn) => {
                self.turn = turn;
                self.advance(now)
            }
            Event::InFlight(n) => {
                self.in_flight = n;
                self.advance(now)
            }
            Event::OrderAnswered { order, accepted } => self.ordered(&order, accepted, now),
            Event::PeersConfirmed => {
                self.fresh = true;
                let mut actions = self.leave_unknown(now);
                if self.disputed.is_some() && !self.adopted {
                    actions.push(Action::ReadEngine);
                }
                actions
            }
            Event::Resumed => Vec::new(),
            Event::NewerProcess => self.step_down(self.fence),
            Event::Tick => self.tick(now),
        }
    }

    /// After a pause nothing is ordered before peers and the engine were asked again.
    fn wake(&mut self, event: Event, now: Instant) -> Vec<Action> {
        if let Event::Target(target) = event {
            self.target = target;
        }
        self.turn = false;
        self.fresh = false;
        let mut actions = self.lose(now);
        actions.push(Action::ConfirmWithPeers);
        actions
    }

    fn step_down(&mut self, seen: Fence) -> Vec<Action> {
        let stop = self.underway().map(Action::CancelLoad);
        self.phase = Phase::Superseded;
        stop.into_iter().chain([Action::StepDown(seen)]).collect()
    }

    fn lose(&mut self, now: Instant) -> Vec<Action> {
        let stop = self.underway().map(Action::CancelLoad);
        self.phase = Phase::Unknown;
        self.engine = None;
        self.prepared_at = None;
        self.known_since = now;
        self.read_at = now;
        stop.into_iter().collect()
    }

    /// The release that is on its way to be served and can still be given up.
    fn underway(&self) -> Option<ReleaseId> {
        let underway = matches!(self.phase, Phase::Loading | Phase::Waiting | Phase::Draining);
        self.target.as_ref().filter(|_| underway).map(|t| t.release.clone())
    }

    fn loading(&self) -> Option<ReleaseId> {
        let loading = matches!(self.phase, Phase::Loading);
        self.target.as_ref().filter(|_| loading).map(|t| t.release.clone())
    }

    fn retarget(&mut self, target: Option<Target>, now: Instant) -> Vec<Action> {
        if self.target == target {
            return Vec::new();
        }
        let mut actions: Vec<Action> =
            self.underway().map(Action::CancelLoad).into_iter().collect();
        self.target = target;
        self.turn = false;
        // An order that is on its way is awaited first.
        if self.phase != Phase::Switching && self.phase != Phase::Unknown {
            actions.extend(self.start(now));
        }
        actions
    }

    fn observe(&mut self, mut view: EngineStatus, asked: Instant, now: Instant) -> Vec<Action> {
        self.read_at = now + READ_EVERY;
        if !self.adopted && !self.adopt(view.fence) {
            return self.ask_peers();
        }
        if view.fence > self.fence {
            self.trial.void();
            return self.step_down(view.fence);
        }
        if self.phase == Phase::Loading && !self.prepare_shows(asked) {
            view.prepared = self.engine.as_ref().and_then(|e| e.prepared.clone());
        }
        if view.serving != self.ready {
            self.ready = None;
        }
        let changed = self.engine.as_ref() != Some(&view);
        self.engine = Some(view);
        self.judge(now);
        match self.phase {
            Phase::Unknown => self.leave_unknown(now),
            Phase::Settled if changed => self.start(now),
            Phase::Loading | Phase::Waiting if self.prepared_is_gone(asked) => self.start(now),
            _ => Vec::new(),
        }
    }

    /// Judges the release on trial by the engine's statement, unless an order is on its way.
    fn judge(&mut self, now: Instant) {
        if self.phase == Phase::Switching {
            return;
        }
        let serving = self.engine.as_ref().and_then(|e| e.serving.as_ref());
        if let Some(target) = &self.target {
            if serving == Some(&target.release) {
                self.trial.found(&target.release);
            }
            self.trial.observe(serving, target.soak, now);
        }
    }

    /// Takes fencing numbers above the engine's. A number above the own ones is taken only after
    /// peers were asked: a later process that gave orders is known to them, and leads to
    /// `Event::Rival`.
    fn adopt(&mut self, seen: Fence) -> bool {
        let known = self.disputed.is_some_and(|disputed| disputed >= seen);
        if seen > self.fence && !(known && self.fresh) {
            self.disputed = self.disputed.max(Some(seen));
            self.fresh &= known;
            return false;
        }
        self.adopted = true;
        self.fence = self.fence.max(Fence(seen.0 + FENCE_GAP));
        true
    }

    fn ask_peers(&self) -> Vec<Action> {
        if self.fresh { Vec::new() } else { vec![Action::ConfirmWithPeers] }
    }

    fn leave_unknown(&mut self, now: Instant) -> Vec<Action> {
        let ready = self.phase == Phase::Unknown && self.fresh && now >= self.retry_at;
        if ready { self.start(now) } else { Vec::new() }
    }

    /// Whether a statement asked for at `asked` follows the accepted order to prepare.
    fn prepare_shows(&self, asked: Instant) -> bool {
        self.prepared_at.is_some_and(|at| asked >= at)
    }

    /// Whether the engine accepted the order to prepare and holds something else since.
    fn prepared_is_gone(&self, asked: Instant) -> bool {
        let prepared = self.engine.as_ref().and_then(|e| e.prepared.as_ref());
        self.prepare_shows(asked) && prepared != self.target.as_ref().map(|t| &t.release)
    }

    /// Begins the way from what the engine states to the target.
    fn start(&mut self, now: Instant) -> Vec<Action> {
        let Some(engine) = self.engine.clone() else { return Vec::new() };
        let wanted = self.target.as_ref().map(|t| t.release.clone());
        let mut actions = Vec::new();
        if engine.prepared.is_some() && (engine.prepared != wanted || engine.serving == wanted) {
            let prepared = engine.prepared.clone().expect("checked above");
            actions.push(self.order(OrderKind::Abort, prepared));
            self.assume_prepared(None);
        }
        match wanted {
            None => {
                self.phase = Phase::Settled;
                if engine.serving.is_some() {
                    self.phase = Phase::Draining;
                    actions.extend(self.advance(now));
                }
            }
            Some(release) if engine.serving.as_ref() == Some(&release) => {
                self.phase = Phase::Settled;
                if self.ready.as_ref() != Some(&release) {
                    self.ready = Some(release.clone());
                    actions.push(Action::ReportReady(release));
                }
            }
            Some(release) => {
                self.phase = Phase::Loading;
                self.prepared_at = None;
                self.assume_prepared(Some(release.clone()));
                actions.push(self.order(OrderKind::Prepare, release));
            }
        }
        self.read_at = now + READ_EVERY;
        actions
    }

    /// Notes what an order that is on its way makes the engine hold, so that a change of target
    /// meanwhile takes it back.
    fn assume_prepared(&mut self, release: Option<ReleaseId>) {
        if let Some(engine) = &mut self.engine {
            engine.prepared = release;
        }
    }

    fn staged(&mut self, release: &ReleaseId, now: Instant) -> Vec<Action> {
        if self.loading().as_ref() != Some(release) {
            return Vec::new();
        }
        self.phase = Phase::Waiting;
        self.advance(now)
    }

    /// Goes on where nothing is awaited any more.
    fn advance(&mut self, now: Instant) -> Vec<Action> {
        if self.phase == Phase::Waiting && self.turn {
            self.phase = Phase::Draining;
        }
        if self.phase != Phase::Draining || self.in_flight > 0 {
            return Vec::new();
        }
        self.phase = Phase::Switching;
        self.ready = None;
        self.read_at = now + READ_EVERY;
        match (self.target.clone(), self.serving().cloned()) {
            (Some(target), _) => {
                self.trial.ordered(&target.release);
                vec![self.order(OrderKind::Activate, target.release)]
            }
            (None, Some(serving)) => {
                self.trial.unloaded();
                vec![self.order(OrderKind::Unload, serving)]
            }
            (None, None) => {
                self.phase = Phase::Settled;
                Vec::new()
            }
        }
    }

    fn ordered(&mut self, order: &Order, accepted: bool, now: Instant) -> Vec<Action> {
        if order.fence != self.fence && order.order != OrderKind::Prepare {
            return Vec::new();
        }
        let wanted = self.loading().as_ref() == Some(&order.release) && order.fence == self.fence;
        match order.order {
            OrderKind::Prepare if accepted && wanted => {
                self.prepared_at = Some(now);
                vec![Action::LoadChunks(order.release.clone())]
            }
            // The target changed meanwhile; the way to the new one took it back.
            OrderKind::Prepare if !wanted => Vec::new(),
            OrderKind::Abort => Vec::new(),
            // The engine's own statement decides, not the answer to the order.
            _ => {
                if !accepted {
                    self.retry_at = now + RETRY;
                }
                let mut actions = self.lose(now);
                actions.push(Action::ReadEngine);
                actions
            }
        }
    }

    fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.engine.is_some() {
            actions = self.leave_unknown(now);
        }
        if now >= self.read_at {
            self.read_at = now + READ_EVERY;
            actions.push(Action::ReadEngine);
        }
        actions
    }

    fn order(&mut self, order: OrderKind, release: ReleaseId) -> Action {
        self.fence = self.fence.next();
        Action::Order(Order { order, release, fence: self.fence })
    }
}

#[cfg(test)]
mod tests;
