//! What an endpoint learns, and what it asks its process to do.

use std::time::{Duration, Instant};

use base::{Fence, ReleaseId, RolloutId};

use crate::Order;

/// What the engine says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineStatus {
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
    /// Time that the release must serve here without a failure.
    pub soak: Duration,
}

/// Where the endpoint is on its way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// The engine's state is not known, or what this process knows of the fleet may be old.
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
    /// A later process gives the orders; this one gives none any more.
    Superseded,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The placement names a target, or none.
    Target(Option<Target>),
    /// The engine stated its state.
    Engine {
        /// Its state.
        status: EngineStatus,
        /// When the question was sent.
        asked_at: Instant,
    },
    /// The engine could not be asked.
    EngineUnreachable,
    /// All chunks of a release are in the engine.
    Staged(ReleaseId),
    /// Whether it is this VM's turn to switch.
    MaySwitch(bool),
    /// Number of requests in progress.
    InFlight(usize),
    /// The answer to an order.
    OrderAnswered {
        /// The order.
        order: Order,
        /// Whether the engine accepted it.
        accepted: bool,
    },
    /// Peers confirmed what this process knows of documents and members.
    PeersConfirmed,
    /// The process did not run for a while.
    Resumed,
    /// A later run of this VM's agent is known.
    NewerProcess,
    /// Time passed.
    Tick,
}

/// What the process is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ask the engine for its state.
    ReadEngine,
    /// Ask peers whether documents and members are the newest; `Event::Fresh` ends it.
    ConfirmWithPeers,
    /// Give the engine an order.
    Order(Order),
    /// Fetch the chunks of a release and hand them to the engine.
    LoadChunks(ReleaseId),
    /// Stop fetching the chunks of a release.
    CancelLoad(ReleaseId),
    /// The endpoint serves its target.
    ReportReady(ReleaseId),
    /// Another process gives the engine orders with higher fencing numbers.
    StepDown(Fence),
}
