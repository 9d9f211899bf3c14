//! Input events and output actions of the endpoint state machine.

use std::time::{Duration, Instant};

use base::{Fence, ReleaseId, RolloutId};

use crate::Order;

/// The engine's answer to a status query.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineStatus {
    /// The release that it serves.
    pub serving: Option<ReleaseId>,
    /// The release that it has prepared.
    pub prepared: Option<ReleaseId>,
    /// The highest fencing number that it has seen.
    pub fence: Fence,
}

/// What the endpoint of this VM must serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The rollout that the release belongs to.
    pub rollout: RolloutId,
    /// The release to serve.
    pub release: ReleaseId,
    /// Time that the release must serve here without failure to pass.
    pub soak: Duration,
}

/// Phases of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// The engine's state is unknown, or this process's view of the fleet may be stale.
    Unknown,
    /// The engine serves the target, or nothing if there is no target.
    Settled,
    /// Chunks are fetched and loaded into the engine.
    Loading,
    /// All chunks are in the engine; it may not switch yet.
    Waiting,
    /// No new requests are accepted; those in progress finish.
    Draining,
    /// The order to switch was sent and not answered yet.
    Switching,
    /// A newer process controls the engine; this one gives no more orders.
    Superseded,
}

/// Events that the endpoint handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The placement assigned a target, or none.
    Target(Option<Target>),
    /// The engine reported its status.
    Engine {
        /// The reported status.
        status: EngineStatus,
        /// When the query was sent.
        asked_at: Instant,
    },
    /// The engine did not answer a query.
    EngineUnreachable,
    /// All chunks of a release are in the engine.
    Staged(ReleaseId),
    /// Whether this VM may switch now.
    MaySwitch(bool),
    /// Number of requests in progress.
    InFlight(usize),
    /// The engine answered an order.
    OrderAnswered {
        /// The answered order.
        order: Order,
        /// Whether the engine accepted it.
        accepted: bool,
    },
    /// Peers confirmed that this process's documents and members are current.
    PeersConfirmed,
    /// The process resumed after it was suspended.
    Resumed,
    /// Peers know a newer run of this VM's agent.
    NewerProcess,
    /// Periodic timer.
    Tick,
}

/// Actions that the process must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Query the engine's status.
    ReadEngine,
    /// Ask peers whether the documents and members are current; `Event::PeersConfirmed` follows.
    ConfirmWithPeers,
    /// Send an order to the engine.
    Order(Order),
    /// Fetch the chunks of a release and load them into the engine.
    LoadChunks(ReleaseId),
    /// Stop fetching the chunks of a release.
    CancelLoad(ReleaseId),
    /// The endpoint now serves its target.
    ReportReady(ReleaseId),
    /// Another process gives the engine orders with higher fencing numbers.
    StepDown(Fence),
}
