//! Orders to one engine: agents that pause and wake, a second agent for the same engine, orders and
//! statements that arrive late, and engines that check fencing numbers or ignore them.
//!
//! Each agent's decisions are the real `rollout::Endpoint`. The engine activates whatever is
//! prepared, whole or not, so that wholeness is up to the agents.

use std::time::{Duration, Instant};

use base::{Fence, ReleaseId};
use rollout::{Action, Endpoint, EngineStatus, Event, Order, OrderKind, Phase, Target};

use crate::{Rules, Step};

mod agent;
mod engine;
mod repair;

pub use repair::is_repaired;

/// A check that the specification bypasses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Requests in progress are counted at the next tick only.
    LateCount,
    /// Word that a release is staged counts for a later load of it too.
    LateStaged,
    /// An agent does not notice that it paused.
    Pause,
    /// Fencing numbers of the older agent are as high as any.
    Fence,
    /// Peers do not tell an agent of a later one.
    Peers,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Whether the engine refuses orders with an old fencing number.
    pub fencing: bool,
    /// Whether the first agent has read the engine's state before all else.
    pub read: bool,
    /// Further agents that start for the same engine.
    pub agents: u32,
    /// Seconds that pass, other than in pauses.
    pub seconds: u32,
    /// Changes of the release that the fleet wants.
    pub retargets: u32,
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
            read: true,
            agents: 0,
            seconds: 3,
            retargets: 0,
            pauses: 0,
            requests: 0,
            crashes: 0,
            timeouts: 0,
            fault: None,
        }
    }
}

/// Time between what an agent hears and does; orders events without passing any timer.
const MOMENT: Duration = Duration::from_micros(1);
/// An agent that does not pause ticks every second, and one that wakes passes its pause at once, so
/// that only the order of past times matters.
const HORIZON: Duration = Duration::ZERO;

/// A world of this specification.
#[derive(Debug, Clone)]
pub struct World {
    now: Instant,
    settings: Settings,
    engine: Engine,
    agents: Vec<Agent>,
    /// Number of the release that the fleet wants.
    wanted: u32,
    broken: Option<&'static str>,
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
    leader: usize,
}

#[derive(Debug, Clone)]
struct Agent {
    core: Endpoint,
    paused: bool,
    /// Whether peers confirmed what it knows since it started or woke.
    confirmed: bool,
    refreshing: bool,
    /// Whether a later agent was confirmed by peers when this one asked them.
    rival: bool,
    in_flight: usize,
    /// When the engine was asked for its state.
    asked: Option<Instant>,
    /// What it stated, on its way back.
    stated: Option<EngineStatus>,
    orders: Vec<Sent>,
    /// The release that is being loaded, and the number of its load.
    loading: Option<(ReleaseId, u32)>,
    /// Loads so far.
    loads: u32,
    /// Word that the chunks of a load were staged, on its way back.
    staged: Option<(ReleaseId, u32)>,
}

/// An order on its way, or its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Sent {
    order: Order,
    state: OrderState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderState {
    Travelling,
    /// Nobody waits for the answer any more.
    Abandoned,
    Answered(bool),
}

/// The rules of this specification.
pub fn rules() -> Rules<World> {
    Rules {
        name: "orders",
        steps: World::steps,
        broken: |world| world.broken,
        now: |world| world.now,
        horizon: HORIZON,
    }
}

fn release(number: u32) -> ReleaseId {
    format!("model@v{number}").parse().expect("a well-formed id")
}

impl World {
    /// One agent beside an engine that serves nothing.
    pub fn new(settings: Settings) -> World {
        let now = Instant::now();
        let mut world = World {
            now,
            settings,
            engine: Engine::default(),
            agents: Vec::new(),
            wanted: 1,
            broken: None,
        };
        world.start_agent();
        if settings.read {
            world.first_read();
        }
        world
    }

    fn step(&self, label: impl Into<String>, change: impl FnOnce(&mut World)) -> Step<World> {
        let mut world = self.clone();
        change(&mut world);
        Step { label: label.into(), world }
    }

    fn steps(&self) -> Vec<Step<World>> {
        let mut steps = self.fleet_steps();
        for agent in 0..self.agents.len() {
            if !self.agents[agent].paused {
                steps.extend(self.agent_steps(agent));
            }
            steps.extend(self.engine_steps(agent));
        }
        steps
    }

    fn fleet_steps(&self) -> Vec<Step<World>> {
        let mut steps = Vec::new();
        if self.settings.seconds > 0 {
            steps.push(self.step("a second passes", |w| {
                w.settings.seconds -= 1;
                w.pass_second();
            }));
        }
        if self.settings.agents > 0 {
            steps.push(self.step("another agent starts", |w| {
                w.settings.agents -= 1;
                w.start_agent();
            }));
        }
        if self.settings.retargets > 0 {
            let label = format!("release {} is wanted", self.wanted + 1);
            steps.push(self.step(label, |w| {
                w.settings.retargets -= 1;
                w.wanted += 1;
            }));
        }
        if self.settings.crashes > 0 {
            steps.push(self.step("the engine crashes", World::crash));
        }
        steps
    }

    /// All agents that do not pause tick.
    fn pass_second(&mut self) {
        self.now += Duration::from_secs(1);
        for agent in 0..self.agents.len() {
            if !self.agents[agent].paused {
                self.tick(agent);
            }
        }
    }
}
