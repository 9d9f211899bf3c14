//! What requests need of endpoints, and what an entry may use of them.

use std::collections::HashSet;

use base::{ReleaseId, ServiceId, VmId};

/// Releases that may answer for a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Wanted {
    /// Releases of the rollouts in force; empty for plain services.
    pub current: HashSet<ReleaseId>,
    /// Other releases of the same models, which serve until a rollout has replaced them.
    pub older: HashSet<ReleaseId>,
}

impl Wanted {
    pub(crate) fn allows(&self, release: Option<&ReleaseId>, older: bool) -> bool {
        let Some(release) = release else { return self.current.is_empty() };
        self.current.contains(release) || (older && self.older.contains(release))
    }
}

/// What a request needs of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The release that must answer, if it matters.
    pub release: Option<&'a ReleaseId>,
    /// Endpoints that may not be picked.
    pub avoid: &'a [VmId],
    /// Endpoints that were tried; avoided if there are others.
    pub tried: &'a [VmId],
}

/// The part of a service's slots that this entry may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotPart {
    /// The part of each endpoint's slots.
    pub part: f64,
    /// Whether slots that others leave may be used too.
    pub lent: bool,
}

impl Default for SlotPart {
    fn default() -> SlotPart {
        SlotPart { part: 1.0, lent: true }
    }
}
