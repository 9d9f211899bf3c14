//! What requests need of endpoints, and what an entry may use of them.

use std::collections::HashSet;

use base::{ReleaseId, ServiceId, VmId};

/// Releases that may answer for a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedReleases {
    /// Releases of the rollouts in force; empty for plain services.
    pub current: HashSet<ReleaseId>,
    /// Other releases of the same models, which serve until a rollout has replaced them.
    pub older: HashSet<ReleaseId>,
}

impl AllowedReleases {
    pub(crate) fn allows(&self, release: Option<&ReleaseId>, older: bool) -> bool {
        let Some(release) = release else { return self.current.is_empty() };
        self.current.contains(release) || (older && self.older.contains(release))
    }
}

/// What a request needs of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointRequirements<'a> {
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
pub struct SlotQuota {
    /// The part of each endpoint's slots.
    pub fraction: f64,
    /// Whether slots that others leave may be used too.
    pub may_borrow: bool,
}

impl Default for SlotQuota {
    fn default() -> SlotQuota {
        SlotQuota { fraction: 1.0, may_borrow: true }
    }
}
