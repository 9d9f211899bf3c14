//! Orders to one engine: agents that pause and wake, a second agent for the same engine, orders and
//! statements that arrive late, and engines that check fencing numbers or ignore them.
//!
//! Each agent's decisions are the real `rollout::Endpoint`. The engine activates whatever is
//! prepared, whole or not, so that wholeness is up to the agents.

use std::time::{Duration, Instant};

use base::{Fence, ReleaseId};
use rollout::{Action, Endpoint, EngineStatus, Event, Order, OrderKind, Phase, Target};

use crate::{Specification, Transition};

mod agent;
mod engine;
mod repair;

pub use repair::is_repaired;

/// A check that the specification bypasses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Requests in progress are counted at the next tick only.
    StaleInFlightCount,
    /// Word that a release is staged counts for a later load of it too.
    StaleStagedNotice,
    /// An agent does not notice that it paused.
    UnnoticedPause,
    /// Fencing numbers of the older agent are as high as any.
    NoFenceCheck,
    /// Peers do not tell an agent of a later one.
    SilentPeers,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Whether the engine refuses orders with an old fencing number.
    pub fencing: bool,
    /// Whether the first agent has read the engine's state before all else.
    pub initial_read: bool,
    /// Further agents that start for the same engine.
    pub agents: u32,
    /// Seconds that pass, other than in pauses.
    pub seconds: u32,
    /// Changes of the release that the fleet wants.
    pub target_changes: u32,
    /// Pauses of agents.
    pub pauses: u32,
    /// Requests.
    pub requests: u32,
    /// Crashes of the engine.
    pub crashes: u32,
    /// Orders whose answer does not come in time.
    pub timeouts: u32,
    /// The check that is bypassed.
    pub fault: Option<Fault>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            fencing: true,
            initial_read: true,
            agents: 0,
            seconds: 3,
            target_changes: 0,
            pauses: 0,
            requests: 0,
            crashes: 0,
            timeouts: 0,
            fault: None,
        }
    }
}

/// Time between what an agent hears and does; orders events without passing any timer.
const EVENT_INTERVAL: Duration = Duration::from_micros(1);
/// An agent that does not pause ticks every second, and one that wakes passes its pause at once, so
/// that only the order of past times matters.
const HORIZON: Duration = Duration::ZERO;

/// A state of this specification.
#[derive(Debug, Clone)]
pub struct ModelState {
    now: Instant,
    settings: Settings,
    engine: Engine,
    agents: Vec<Agent>,
    /// Number of the release that the fleet wants.
    wanted_release: u32,
    violation: Option<&'static str>,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    serving: Option<ReleaseId>,
    prepared: Option<ReleaseId>,
    /// Whether all chunks of the prepared release are there.
    staged: bool,
    fence: Fence,
    /// Agents whose requests run.
    running: Vec<usize>,
    /// The newest agent whose order was accepted.
    newest_agent: usize,
}

#[derive(Debug, Clone)]
struct Agent {
    endpoint: Endpoint,
    paused: bool,
    /// Whether peers confirmed what it knows since it started or woke.
    confirmed: bool,
    awaiting_peers: bool,
    /// Whether a later agent was confirmed by peers when this one asked them.
    newer_agent_confirmed: bool,
    in_flight: usize,
    /// When the engine was asked for its state.
    status_requested_at: Option<Instant>,
    /// What it status_reply, on its way back.
    status_reply: Option<EngineStatus>,
    orders: Vec<SentOrder>,
    /// The release that is being loaded, and the number of its load.
    loading: Option<(ReleaseId, u32)>,
    /// Loads so far.
    load_count: u32,
    /// Word that the chunks of a load were staged, on its way back.
    staged_notice: Option<(ReleaseId, u32)>,
}

/// An order on its way, or its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SentOrder {
    order: Order,
    state: OrderState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderState {
    InTransit,
    /// Nobody waits for the answer any more.
    TimedOut,
    Answered(bool),
}

/// The specification of this specification.
pub fn specification() -> Specification<ModelState> {
    Specification {
        name: "orders",
        transitions: ModelState::transitions,
        violation: |state| state.violation,
        now: |state| state.now,
        horizon: HORIZON,
    }
}

fn release(number: u32) -> ReleaseId {
    format!("model@v{number}").parse().expect("a well-formed id")
}

impl ModelState {
    /// One agent beside an engine that serves nothing.
    pub fn new(settings: Settings) -> ModelState {
        let now = Instant::now();
        let mut state = ModelState {
            now,
            settings,
            engine: Engine::default(),
            agents: Vec::new(),
            wanted_release: 1,
            violation: None,
        };
        state.start_agent();
        if settings.initial_read {
            state.read_initial_status();
        }
        state
    }

    fn transition(
        &self,
        label: impl Into<String>,
        change: impl FnOnce(&mut ModelState),
    ) -> Transition<ModelState> {
        let mut state = self.clone();
        change(&mut state);
        Transition { label: label.into(), state }
    }

    fn transitions(&self) -> Vec<Transition<ModelState>> {
        let mut transitions = self.fleet_transitions();
        for agent in 0..self.agents.len() {
            if !self.agents[agent].paused {
                transitions.extend(self.agent_transitions(agent));
            }
            transitions.extend(self.engine_transitions(agent));
        }
        transitions
    }

    fn fleet_transitions(&self) -> Vec<Transition<ModelState>> {
        let mut transitions = Vec::new();
        if self.settings.seconds > 0 {
            transitions.push(self.transition("a second passes", |next| {
                next.settings.seconds -= 1;
                next.advance_second();
            }));
        }
        if self.settings.agents > 0 {
            transitions.push(self.transition("another agent starts", |next| {
                next.settings.agents -= 1;
                next.start_agent();
            }));
        }
        if self.settings.target_changes > 0 {
            let label = format!("release {} is wanted", self.wanted_release + 1);
            transitions.push(self.transition(label, |next| {
                next.settings.target_changes -= 1;
                next.wanted_release += 1;
            }));
        }
        if self.settings.crashes > 0 {
            transitions.push(self.transition("the engine crashes", ModelState::crash));
        }
        transitions
    }

    /// All agents that do not pause tick.
    fn advance_second(&mut self) {
        self.now += Duration::from_secs(1);
        for agent in 0..self.agents.len() {
            if !self.agents[agent].paused {
                self.tick(agent);
            }
        }
    }
}
