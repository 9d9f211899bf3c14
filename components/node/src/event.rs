//! Events that a node handles.

use std::time::Instant;

use base::{Revision, VmId};
use proto::{DocumentKind, DocumentReply, Gossip};

/// An event for the part that all processes share.
#[derive(Debug)]
pub enum NodeEvent {
    /// The platform returned a document.
    Document {
        /// Which document.
        kind: DocumentKind,
        /// Its text.
        text: Vec<u8>,
        /// Its source, for the audit trail.
        cause: &'static str,
    },
    /// The platform had no newer document than this revision.
    Confirmed {
        /// Which document.
        kind: DocumentKind,
        /// The revision.
        revision: Revision,
        /// When the platform was asked.
        at: Instant,
    },
    /// A request for a document to a peer completed or failed.
    DocumentReplied {
        /// The peer.
        from: VmId,
        /// Which document.
        kind: DocumentKind,
        /// The reply; `None` if the request failed.
        reply: Option<DocumentReply>,
    },
    /// A gossip call completed or failed.
    GossipReplied {
        /// The VM that was called.
        to: VmId,
        /// The reply; `None` if the call failed.
        reply: Option<Gossip>,
        /// When the call was made.
        at: Instant,
    },
    /// The result of a probe by a peer of a VM that did not answer this process.
    Probed {
        /// The VM.
        vm: VmId,
        /// Whether the peer reached the VM; also false if the peer itself did not answer.
        alive: bool,
    },
}

/// The changes that an event or a tick caused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Changes {
    /// A manifest came into force.
    pub manifest: bool,
    /// A VM list came into force.
    pub vms: bool,
    /// The join phase ended: peers confirmed the documents of this process, or the timeout passed.
    pub joined: bool,
}

impl Changes {
    /// Whether anything changed.
    pub fn any(self) -> bool {
        self.manifest || self.vms || self.joined
    }
}
