//! Events of the agent's actor.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use attempts::AttemptRequest;
use base::{AttemptId, Digest};
use bytes::Bytes;
use chunks::{FetchError, Source};
use crossbeam_channel::Sender;
use manifest::ChunkList;
use net::PeerCall;
use node::NodeEvent;
use proto::{AttemptRef, ExecutionStatus, RefusalReason};
use rollout::Order;

use crate::{engine::EngineReport, loading::LoadId, response::ResponseBuffer};

/// Input of the agent's actor.
pub(crate) enum Event {
    /// An RPC from another process.
    Peer(PeerCall),
    /// An event of the part that all processes share.
    Node(NodeEvent),
    /// The endpoint reported its state or could not be reached.
    Engine {
        /// The report; `None` if the endpoint could not be reached.
        report: Option<EngineReport>,
        /// When it was asked.
        asked_at: Instant,
    },
    /// The result of an order.
    OrderAnswered { order: Order, accepted: bool },
    /// A read of a chunk list ended; `list` is `None` if it failed.
    List { digest: Digest, attempt: u32, list: Option<ChunkList> },
    /// A fetch of a chunk ended.
    Fetched { list: Digest, chunk: u32, source: Source, result: Result<Bytes, FetchError> },
    /// The engine accepted a chunk, or did not.
    Staged { load: LoadId, digest: Digest, chunk: Bytes, ok: bool },
    /// An entry requests the start of an attempt.
    Start { request: AttemptRequest, reply: Sender<OpenResult> },
    /// An entry requests the rest of a response.
    Resume { attempt: AttemptRef, reply: Sender<OpenResult> },
    /// An attempt that was started has ended.
    Finished { attempt: AttemptId, fate: ExecutionStatus },
    /// Blocks the core, as on a paused VM; for tests of failures.
    Pause(Duration),
    /// Stops the agent at once; for tests of failures.
    Kill,
    /// A planned stop begins.
    Drain,
}

/// The response that an entry may read, or why there is none.
pub(crate) type OpenResult = Result<Arc<ResponseBuffer>, Refusal>;

/// Why an entry gets no response.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Refusal {
    pub(crate) reason: RefusalReason,
    /// Whether the attempt has run.
    pub(crate) fate: ExecutionStatus,
}
