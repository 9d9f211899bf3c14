//! The state machine of one endpoint.

use std::time::{Duration, Instant};

use base::{Fence, ReleaseId, RolloutId};

use crate::{Order, OrderKind};

/// What the engine says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineView {
    /// The release that it serves.
    pub serving: Option<ReleaseId>,
    /// The release that it holds prepared.
    pub prepared: Option<ReleaseId>,
    /// The highest fencing number that it saw.
    pub fence: Fence,
}

/// What this VM is to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The rollout.
    pub rollout: RolloutId,
    /// Its release.
    pub release: ReleaseId,
}

/// Where the endpoint is on its way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// The engine's state is not known.
    Unknown,
    /// It serves what it is to serve, perhaps nothing.
    Settled,
    /// Chunks are fetched and handed to the engine.
    Loading,
    /// All chunks are in the engine; it waits for its turn.
    Waiting,
    /// It takes no new work and waits for requests in progress.
    Draining,
    /// The order to switch is on its way.
    Switching,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The placement names a target, or none.
    Target(Option<Target>),
    /// The engine stated its state.
    Engine(EngineView),
    /// The engine could not be asked.
    EngineLost,
    /// All chunks of a release are in the engine.
    Staged(ReleaseId),
    /// Whether it is this VM's turn to switch.
    Turn(bool),
    /// Number of requests in progress.
    InFlight(usize),
    /// The answer to an order.
    Ordered {
        /// The order.
        order: Order,
        /// Whether the engine accepted it.
        accepted: bool,
    },
    /// Time passed.
    Tick,
}

/// What the process is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ask the engine for its state.
    ReadEngine,
    /// Give the engine an order.
    Order(Order),
    /// Fetch the chunks of a release and hand them to the engine.
    Load(ReleaseId),
    /// Stop fetching the chunks of a release.
    Stop(ReleaseId),
    /// The endpoint serves its target.
    Ready(ReleaseId),
}

/// Time after which the engine's state is asked for again.
const READ_EVERY: Duration = Duration::from_millis(500);
/// Time without a tick after which all knowledge counts as old.
const PAUSE: Duration = Duration::from_secs(2);

/// Drives one endpoint.
#[derive(Debug, Clone)]
pub struct Endpoint {
    phase: Phase,
    target: Option<Target>,
    engine: Option<EngineView>,
    /// Higher than any fencing number that this process saw or used.
    fence: Fence,
    in_flight: usize,
    turn: bool,
    read_at: Instant,
    last_event: Instant,
}

impl Endpoint {
    /// An endpoint of which nothing is known; fencing numbers start at `fence`, which must be higher
    /// than those of earlier runs, such as the wall clock in milliseconds.
    pub fn new(fence: Fence, now: Instant) -> Endpoint {
        Endpoint {
            phase: Phase::Unknown,
            target: None,
            engine: None,
            fence,
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

    /// Whether new work may go to the engine.
    pub fn accepting(&self) -> bool {
        let busy = matches!(self.phase, Phase::Unknown | Phase::Draining | Phase::Switching);
        !busy && self.serving().is_some()
    }

    /// Handles an event.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let paused = now.saturating_duration_since(self.last_event) > PAUSE;
        self.last_event = now;
        if paused {
            return self.wake(event, now);
        }
        match event {
            Event::Target(target) => self.retarget(target, now),
            Event::Engine(view) => self.observe(view, now),
            Event::EngineLost => self.lose(now),
            Event::Staged(release) => self.staged(&release),
            Event::Turn(turn) => {
                self.turn = turn;
                self.advance()
            }
            Event::InFlight(n) => {
                self.in_flight = n;
                self.advance()
            }
            Event::Ordered { order, accepted } => self.ordered(&order, accepted, now),
            Event::Tick => self.tick(now),
        }
    }

    /// After a pause nothing is ordered before the engine was asked again.
    fn wake(&mut self, event: Event, now: Instant) -> Vec<Action> {
        if let Event::Target(target) = event {
            self.target = target;
        }
        self.turn = false;
        self.lose(now)
    }

    fn lose(&mut self, now: Instant) -> Vec<Action> {
        let stop = self.loading().map(Action::Stop);
        self.phase = Phase::Unknown;
        self.engine = None;
        self.read_at = now;
        stop.into_iter().collect()
    }

    fn loading(&self) -> Option<ReleaseId> {
        let loading = matches!(self.phase, Phase::Loading);
        self.target.as_ref().filter(|_| loading).map(|t| t.release.clone())
    }

    fn retarget(&mut self, target: Option<Target>, now: Instant) -> Vec<Action> {
        if self.target == target {
            return Vec::new();
        }
        let mut actions: Vec<Action> = self.loading().map(Action::Stop).into_iter().collect();
        self.target = target;
        self.turn = false;
        // An order that is on its way is awaited first.
        if self.phase != Phase::Switching && self.phase != Phase::Unknown {
            actions.extend(self.start(now));
        }
        actions
    }

    fn observe(&mut self, view: EngineView, now: Instant) -> Vec<Action> {
        self.fence = self.fence.max(Fence(view.fence.0 + 1));
        let changed = self.engine.as_ref() != Some(&view);
        self.engine = Some(view);
        self.read_at = now + READ_EVERY;
        match self.phase {
            Phase::Unknown => self.start(now),
            Phase::Settled if changed => self.start(now),
            Phase::Loading | Phase::Waiting if self.prepared_is_gone() => self.start(now),
            _ => Vec::new(),
        }
    }

    fn prepared_is_gone(&self) -> bool {
        let prepared = self.engine.as_ref().and_then(|e| e.prepared.as_ref());
        prepared != self.target.as_ref().map(|t| &t.release)
    }

    /// Begins the way from what the engine states to the target.
    fn start(&mut self, now: Instant) -> Vec<Action> {
        let Some(engine) = self.engine.clone() else { return Vec::new() };
        let wanted = self.target.as_ref().map(|t| t.release.clone());
        let mut actions = Vec::new();
        if engine.prepared.is_some() && (engine.prepared != wanted || engine.serving == wanted) {
            let prepared = engine.prepared.clone().expect("checked above");
            actions.push(self.order(OrderKind::Abort, prepared));
        }
        match wanted {
            None => {
                self.phase = Phase::Settled;
                if engine.serving.is_some() {
                    self.phase = Phase::Draining;
                    actions.extend(self.advance());
                }
            }
            Some(release) if engine.serving.as_ref() == Some(&release) => {
                self.phase = Phase::Settled;
                actions.push(Action::Ready(release));
            }
            Some(release) => {
                self.phase = Phase::Loading;
                actions.push(self.order(OrderKind::Prepare, release));
            }
        }
        self.read_at = now + READ_EVERY;
        actions
    }

    fn staged(&mut self, release: &ReleaseId) -> Vec<Action> {
        if self.loading().as_ref() != Some(release) {
            return Vec::new();
        }
        self.phase = Phase::Waiting;
        self.advance()
    }

    /// Goes on where nothing is awaited any more.
    fn advance(&mut self) -> Vec<Action> {
        if self.phase == Phase::Waiting && (self.turn || self.serving().is_none()) {
            self.phase = Phase::Draining;
        }
        if self.phase != Phase::Draining || self.in_flight > 0 {
            return Vec::new();
        }
        self.phase = Phase::Switching;
        match (self.target.clone(), self.serving().cloned()) {
            (Some(target), _) => vec![self.order(OrderKind::Activate, target.release)],
            (None, Some(serving)) => vec![self.order(OrderKind::Unload, serving)],
            (None, None) => {
                self.phase = Phase::Settled;
                Vec::new()
            }
        }
    }

    fn ordered(&mut self, order: &Order, accepted: bool, now: Instant) -> Vec<Action> {
        match order.order {
            OrderKind::Prepare if accepted && self.loading().as_ref() == Some(&order.release) => {
                vec![Action::Load(order.release.clone())]
            }
            OrderKind::Abort => Vec::new(),
            // The engine's own statement decides, not the answer to the order.
            _ => {
                let mut actions = self.lose(now);
                actions.push(Action::ReadEngine);
                actions
            }
        }
    }

    fn tick(&mut self, now: Instant) -> Vec<Action> {
        if now < self.read_at {
            return Vec::new();
        }
        self.read_at = now + READ_EVERY;
        vec![Action::ReadEngine]
    }

    fn order(&mut self, order: OrderKind, release: ReleaseId) -> Action {
        self.fence = self.fence.next();
        Action::Order(Order { order, release, fence: self.fence })
    }
}

#[cfg(test)]
mod tests;
