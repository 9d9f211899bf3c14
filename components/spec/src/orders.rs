//! Orders to one engine: agents that pause and resume, a second agent for the same engine, orders and
//! status replies that arrive late, and engines that check fencing numbers or ignore them.
//!
//! Each agent decides by the real `rollout::Endpoint`. The engine activates whatever is prepared, even
//! if incomplete, so the agents are responsible for completeness.

use std::time::{Duration, Instant};

use base::{Fence, ReleaseId};
use rollout::{Action, Endpoint, EngineStatus, Event, Order, OrderKind, Phase, Target};

use crate::{Specification, Transition};

mod agent;
mod engine;
mod repair;

pub use repair::is_repaired;

/// A fault that disables one check of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The number of requests in progress is updated only at the next tick.
    StaleInFlightCount,
    /// The notice that a release is staged is accepted for a later load of it too.
    StaleStagedNotice,
    /// An agent does not detect that it was paused.
    UnnoticedPause,
    /// The engine does not check fencing numbers, as if those of the older agent were as high as any.
    NoFenceCheck,
    /// Peers do not tell an agent about a newer one.
    SilentPeers,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Whether the engine refuses orders with an old fencing number.
    pub fencing: bool,
    /// Whether the first agent has read the engine's status in the initial state.
    pub initial_read: bool,
    /// Maximum number of further agents that start for the same engine.
    pub agents: u32,
    /// Maximum number of seconds that pass, not counting pauses.
    pub seconds: u32,
    /// Maximum number of changes of the wanted release.
    pub target_changes: u32,
    /// Maximum number of agent pauses.
    pub pauses: u32,
    /// Maximum number of requests.
    pub requests: u32,
    /// Maximum number of engine crashes.
    pub crashes: u32,
    /// Maximum number of orders that time out.
    pub timeouts: u32,
    /// The fault to inject, if any.
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

/// Time between two events of an agent. It orders them without expiring any timer.
const EVENT_INTERVAL: Duration = Duration::from_micros(1);
/// An agent that is not paused ticks every second, and one that resumes advances over its whole pause
/// at once, so only the order of past times matters.
const HORIZON: Duration = Duration::ZERO;

/// A state of the model.
#[derive(Debug, Clone)]
pub struct ModelState {
    now: Instant,
    settings: Settings,
    engine: Engine,
    agents: Vec<Agent>,
    /// Number of the wanted release.
    wanted_release: u32,
    violation: Option<&'static str>,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    serving: Option<ReleaseId>,
    prepared: Option<ReleaseId>,
    /// Whether all chunks of the prepared release are staged.
    staged: bool,
    fence: Fence,
    /// For each running request, the agent that accepted it.
    running: Vec<usize>,
    /// The newest agent whose order was accepted.
    newest_agent: usize,
}

#[derive(Debug, Clone)]
struct Agent {
    endpoint: Endpoint,
    paused: bool,
    /// Whether peers have confirmed its knowledge since it started or resumed.
    confirmed: bool,
    awaiting_peers: bool,
    /// Whether a newer agent was already confirmed by peers when this one asked them.
    newer_agent_confirmed: bool,
    in_flight: usize,
    /// When the engine was queried for its status.
    status_requested_at: Option<Instant>,
    /// The engine's status reply, in transit.
    status_reply: Option<EngineStatus>,
    orders: Vec<SentOrder>,
    /// The release that is being loaded, and the sequence number of the load.
    loading: Option<(ReleaseId, u32)>,
    /// Number of loads so far.
    load_count: u32,
    /// The notice that the chunks of a load are staged, in transit.
    staged_notice: Option<(ReleaseId, u32)>,
}

/// An order in transit, or its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SentOrder {
    order: Order,
    state: OrderState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderState {
    InTransit,
    /// In transit, but the agent no longer waits for the answer.
    TimedOut,
    Answered(bool),
}

/// The transitions and invariants of this specification.
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
    /// The initial state: one agent, and an engine that serves nothing.
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

    /// Advances time by a second; all agents that are not paused tick.
    fn advance_second(&mut self) {
        self.now += Duration::from_secs(1);
        for agent in 0..self.agents.len() {
            if !self.agents[agent].paused {
                self.tick(agent);
            }
        }
    }
}
