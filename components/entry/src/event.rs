//! Events of the entry's actor.

use std::{net::SocketAddr, time::Instant};

use base::{AttemptId, Digest, IdempotencyKey, ReleaseId, ServiceId, VmId, WorkspaceId};
use crossbeam_channel::Sender;
use net::PeerCall;
use node::NodeEvent;
use proto::{CrashRecord, EndpointState, Outcome, Reservation};
use routing::PickedEndpoint;

use crate::binding::Bound;

/// Something that happened to the entry.
pub(crate) enum Event {
    /// A call from another process.
    Peer(PeerCall),
    /// An event of the common part.
    Node(NodeEvent),
    /// An agent stated its endpoint's state, or did not.
    Endpoint { vm: VmId, state: Option<EndpointState> },
    /// A caller's request arrived.
    Arrived { ask: Ask, reply: Sender<Decision> },
    /// An attempt of a request ended without an answer; it may be tried again.
    Again { ask: Ask, last: Failure, reply: Sender<Decision> },
    /// An attempt answered its request, whole.
    Answered { vm: VmId, attempt: AttemptId, fingerprint: Digest },
    /// An attempt was lost, and its request with it.
    Lost { last: Failure },
    /// The endpoint that knows a request's key stated its state, or did not.
    Bound(Box<Bound>),
    /// An attempt ended without fault, and its request with it.
    Ended { vm: VmId, attempt: AttemptId },
    /// Another entry told its newest crash records.
    Crashes(Vec<CrashRecord>),
    /// A planned stop begins.
    Drain,
}

/// What a request needs.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    /// SHA-256 of the caller's key.
    pub(crate) key: Digest,
    /// The service.
    pub(crate) service: ServiceId,
    /// HTTP method of the call.
    pub(crate) method: String,
    /// Path of the call, below the service's prefix.
    pub(crate) path: String,
    /// Names the request in the quarantine.
    pub(crate) fingerprint: Digest,
    /// The endpoint that must run it, if it carries a key.
    pub(crate) binding: Option<Binding>,
    /// The release that must answer, once part of an answer was passed on.
    pub(crate) release: Option<ReleaseId>,
    /// Endpoints that were tried.
    pub(crate) tried: Vec<VmId>,
    /// The caller stops waiting.
    pub(crate) deadline: Instant,
}

/// What an idempotency key binds a request to.
#[derive(Debug, Clone)]
pub(crate) enum Binding {
    /// The run of an agent that the key was reserved for.
    Reserved(Reservation),
    /// The home of the caller's own key.
    Own(IdempotencyKey),
}

/// How an attempt failed.
#[derive(Debug, Clone)]
pub(crate) struct Failure {
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// The endpoint's VM.
    pub(crate) vm: VmId,
    /// Whether the attempt ran.
    pub(crate) outcome: Outcome,
    /// The crash of the endpoint that ended it, if one did.
    pub(crate) crash: Option<CrashRecord>,
    /// Whether the endpoint is at fault, and not only full.
    pub(crate) fault: bool,
}

/// The core's answer to a request.
#[derive(Debug, Clone)]
pub(crate) enum Decision {
    /// Try this endpoint.
    Go(Grant),
    /// Answer the caller with an error.
    Refuse(Refusal),
}

/// Leave to make one attempt.
#[derive(Debug, Clone)]
pub(crate) struct Grant {
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// The clock of the endpoint's agent, in milliseconds, as it stated it.
    pub(crate) stamp: u64,
    /// The endpoint.
    pub(crate) choice: PickedEndpoint,
    /// Its agent's data address.
    pub(crate) data: SocketAddr,
    /// Its agent's control address.
    pub(crate) control: SocketAddr,
    /// The caller's workspace.
    pub(crate) workspace: WorkspaceId,
    /// Its priority at the engine; the lowest goes first.
    pub(crate) priority: u8,
    /// Whether the call may be run again when its outcome is unknown.
    pub(crate) repeatable: bool,
    /// Whether a key binds the call to this endpoint.
    pub(crate) bound: bool,
}

/// An error for a caller.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    /// HTTP status.
    pub(crate) status: u16,
    /// What is wrong and how to mend it.
    pub(crate) message: String,
    /// Whether the request ran.
    pub(crate) outcome: Outcome,
    /// Seconds after which to come back.
    pub(crate) retry_after: Option<u64>,
}
