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
use proto::{AttemptRef, Fate, RefusalReason};
use rollout::Order;

use crate::{answer::Answer, engine::EngineReport, loading::LoadId};

/// Something that happened to the agent.
pub(crate) enum Event {
    /// A call from another process.
    Peer(PeerCall),
    /// An event of the common part.
    Node(NodeEvent),
    /// The endpoint stated its state, or could not be asked.
    Engine {
        /// Its statement.
        report: Option<EngineReport>,
        /// When it was asked.
        asked: Instant,
    },
    /// The answer to an order.
    Ordered { order: Order, accepted: bool },
    /// A chunk list was read, or could not be.
    List { digest: Digest, attempt: u32, list: Option<ChunkList> },
    /// A fetch ended.
    Fetched { list: Digest, chunk: u32, source: Source, result: Result<Bytes, FetchError> },
    /// The engine took a chunk, or did not.
    Staged { load: LoadId, digest: Digest, chunk: Bytes, ok: bool },
    /// An entry offers an attempt.
    Offer { offer: AttemptRequest, reply: Sender<Opened> },
    /// An entry asks for the rest of an answer.
    Resume { attempt: AttemptRef, reply: Sender<Opened> },
    /// An attempt that was started has ended.
    Finished { attempt: AttemptId, fate: Fate },
    /// The core stands still, as on a VM that is paused.
    Pause(Duration),
    /// The agent ends at once; for tests of failures.
    Kill,
    /// A planned stop begins.
    Drain,
}

/// The answer that an entry may read, or why there is none.
pub(crate) type Opened = Result<Arc<Answer>, Refused>;

/// Why an entry gets no answer.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Refused {
    pub(crate) reason: RefusalReason,
    /// Whether the attempt ran.
    pub(crate) fate: Fate,
}
