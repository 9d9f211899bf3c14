//! Events of the common part of a process.

use std::time::Instant;

use base::{Revision, VmId};
use proto::{DocumentKind, DocumentReply, Gossip};

/// Something that happened to the common part.
#[derive(Debug)]
pub enum NodeEvent {
    /// The platform gave a document.
    Document {
        /// Which document.
        kind: DocumentKind,
        /// Its text.
        text: Vec<u8>,
        /// Where from, for the audit trail.
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
    /// A peer that was asked for a document replied, or did not.
    DocumentReplied {
        /// The peer.
        from: VmId,
        /// Which document.
        kind: DocumentKind,
        /// Its reply.
        reply: Option<DocumentReply>,
    },
    /// A gossip call ended.
    GossipReplied {
        /// The VM that was called.
        to: VmId,
        /// Its reply, if it replied.
        reply: Option<Gossip>,
        /// When it was asked.
        at: Instant,
    },
    /// A peer tried to reach a VM that did not answer this process.
    Probed {
        /// The VM.
        vm: VmId,
        /// Whether the peer reached it; false too if the peer itself did not answer.
        alive: bool,
    },
}

/// What an event or a tick changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Changes {
    /// A manifest came into force.
    pub manifest: bool,
    /// A VM list came into force.
    pub vms: bool,
    /// Peers confirmed what this process knows, or the time for that is up.
    pub joined: bool,
}

impl Changes {
    /// Whether there are any.
    pub fn any(self) -> bool {
        self.manifest || self.vms || self.joined
    }
}
