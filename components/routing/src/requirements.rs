//! Requirements of requests on endpoints, and the quota of an entry.

use std::collections::HashSet;

use base::{ReleaseId, ServiceId, VmId};

/// Releases that may answer for a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedReleases {
    /// Releases of the rollouts in force; empty for plain services.
    pub current: HashSet<ReleaseId>,
    /// Other releases of the same models, which may serve until a rollout has replaced them.
    pub older: HashSet<ReleaseId>,
}

impl AllowedReleases {
    pub(crate) fn allows(&self, release: Option<&ReleaseId>, allow_older: bool) -> bool {
        let Some(release) = release else { return self.current.is_empty() };
        self.current.contains(release) || (allow_older && self.older.contains(release))
    }
}

/// What a request requires of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointRequirements<'a> {
    /// The requested service.
    pub service: &'a ServiceId,
    /// The release that must answer, if the request needs a certain one.
    pub release: Option<&'a ReleaseId>,
    /// Endpoints that must not be picked.
    pub avoid: &'a [VmId],
    /// Endpoints that were already tried; they are picked only if there are no others.
    pub tried: &'a [VmId],
}

/// The fraction of a service's slots that this entry may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotQuota {
    /// Fraction of each endpoint's slots, between 0 and 1.
    pub fraction: f64,
    /// Whether slots that the other entries leave free may be used too.
    pub may_borrow: bool,
}

impl Default for SlotQuota {
    fn default() -> SlotQuota {
        SlotQuota { fraction: 1.0, may_borrow: true }
    }
}
