//! Events of the common part of a process.

use std::time::Instant;

use base::{Revision, VmId};
use proto::{DocumentKind, Gossip};

/// Something that happened to the common part.
#[derive(Debug)]
pub enum NodeEvent {
    /// The platform or a peer gave a document.
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
    /// A gossip call ended.
    Gossiped {
        /// The VM that was called.
        to: VmId,
        /// Its reply, if it replied.
        reply: Option<Gossip>,
        /// When it was asked.
        at: Instant,
    },
}

/// Documents that came into force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Changes {
    /// The manifest.
    pub manifest: bool,
    /// The VM list.
    pub vms: bool,
}

impl Changes {
    /// Whether there are any.
    pub fn any(self) -> bool {
        self.manifest || self.vms
    }
}
