//! Events and data types of the entry's actor.

use std::{net::SocketAddr, time::Instant};

use base::{AttemptId, Digest, IdempotencyKey, ReleaseId, ServiceId, VmId, WorkspaceId};
use crossbeam_channel::Sender;
use net::PeerCall;
use node::NodeEvent;
use proto::{CrashRecord, EndpointState, Outcome, Reservation};
use routing::PickedEndpoint;

use crate::binding::PinnedRequest;

/// An event that the entry's actor handles.
pub(crate) enum Event {
    /// A JSON-RPC call from another process.
    Peer(PeerCall),
    /// An event of the node layer, which entries and agents share.
    Node(NodeEvent),
    /// A poll of an agent ended; `state` is `None` if it failed.
    Endpoint { vm: VmId, state: Option<EndpointState> },
    /// A request arrived from a caller.
    Arrived { context: RequestContext, reply: Sender<Decision> },
    /// An attempt ended without a response; its request may be retried.
    Retry { context: RequestContext, last: Failure, reply: Sender<Decision> },
    /// An attempt answered its request completely.
    Answered { vm: VmId, attempt: AttemptId, fingerprint: Digest },
    /// An attempt failed, and its request is not retried.
    Lost { last: Failure },
    /// The query for the state of the endpoint that owns a request's key ended.
    Pinned(Box<PinnedRequest>),
    /// An attempt and its request ended through no fault of the endpoint.
    Ended { vm: VmId, attempt: AttemptId },
    /// Crash records arrived from another entry.
    Crashes(Vec<CrashRecord>),
    /// A graceful shutdown begins.
    Drain,
}

/// A parsed request with what is needed to admit and route it.
#[derive(Debug, Clone)]
pub(crate) struct RequestContext {
    /// SHA-256 of the caller's API key.
    pub(crate) key: Digest,
    /// The requested service.
    pub(crate) service: ServiceId,
    /// HTTP method.
    pub(crate) method: String,
    /// Path below the service's prefix.
    pub(crate) path: String,
    /// Identifies the request for quarantine and for idempotency checks.
    pub(crate) fingerprint: Digest,
    /// What determines the endpoint that must run the request, if it has an idempotency key.
    pub(crate) binding: Option<Binding>,
    /// The release that must answer, if part of its response was already forwarded.
    pub(crate) release: Option<ReleaseId>,
    /// Endpoints of earlier attempts.
    pub(crate) tried: Vec<VmId>,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
}

/// How an idempotency key determines the endpoint of a request.
#[derive(Debug, Clone)]
pub(crate) enum Binding {
    /// A key reserved by the entry; bound to one incarnation of an agent.
    Reserved(Reservation),
    /// A key chosen by the caller; bound to the VM that owns it by rendezvous hashing.
    CallerKey(IdempotencyKey),
}

/// How an attempt failed.
#[derive(Debug, Clone)]
pub(crate) struct Failure {
    pub(crate) attempt: AttemptId,
    /// The VM of the endpoint.
    pub(crate) vm: VmId,
    /// Whether the attempt ran, as far as known.
    pub(crate) outcome: Outcome,
    /// The endpoint crash that ended the attempt, if there was one.
    pub(crate) crash: Option<CrashRecord>,
    /// Whether the failure counts against the endpoint. It does not if the agent refused the
    /// attempt because it has no free slot, is draining, serves another release or received the
    /// attempt too late.
    pub(crate) endpoint_fault: bool,
}

/// The actor's decision on a request.
#[derive(Debug, Clone)]
pub(crate) enum Decision {
    /// Run an attempt as assigned.
    Assign(Assignment),
    /// Respond to the caller with an error.
    Refuse(Refusal),
}

/// One attempt and the endpoint that it is assigned to.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    pub(crate) attempt: AttemptId,
    /// The last reported clock of the endpoint's agent, in milliseconds.
    pub(crate) stamp: u64,
    /// The selected endpoint.
    pub(crate) endpoint: PickedEndpoint,
    /// Data address of the endpoint's agent.
    pub(crate) data: SocketAddr,
    /// Control address of the endpoint's agent.
    pub(crate) control: SocketAddr,
    /// The caller's workspace.
    pub(crate) workspace: WorkspaceId,
    /// Priority at the engine; lower values run first.
    pub(crate) priority: u8,
    /// Whether the call may be retried when its outcome is unknown.
    pub(crate) repeatable: bool,
    /// Whether an idempotency key pins the call to this endpoint.
    pub(crate) pinned: bool,
}

/// An error response for a caller.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    /// HTTP status.
    pub(crate) status: u16,
    /// What is wrong and how to fix it.
    pub(crate) message: String,
    /// Whether the request ran, as far as known.
    pub(crate) outcome: Outcome,
    /// Value of the `Retry-After` header, in seconds.
    pub(crate) retry_after: Option<u64>,
}
