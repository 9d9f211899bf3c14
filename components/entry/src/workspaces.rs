//! Constant-time lookup of the manifest's workspaces and services.

use std::collections::{HashMap, HashSet};

use base::{Digest, Rate, ServiceId, WorkspaceId};
use manifest::Manifest;

/// The limits of a workspace.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct WorkspaceLimits {
    pub(crate) id: WorkspaceId,
    /// Share of the capacity, between 0 and 1.
    pub(crate) share: f64,
    /// Rate limit over all entries together.
    pub(crate) rate: Rate,
    /// Maximum number of requests queued at one entry.
    pub(crate) queue: usize,
}

/// Workspace limits by API key and by workspace ID, and the known services.
#[derive(Debug, Default)]
pub(crate) struct Workspaces {
    limits: HashMap<WorkspaceId, WorkspaceLimits>,
    keys: HashMap<Digest, WorkspaceId>,
    services: HashSet<ServiceId>,
}

impl Workspaces {
    /// Builds the index from a manifest.
    pub(crate) fn of(manifest: &Manifest) -> Workspaces {
        let mut workspaces = Workspaces::default();
        for workspace in &manifest.workspaces {
            let limits = WorkspaceLimits {
                id: workspace.id.clone(),
                share: workspace.share.fraction(),
                rate: workspace.requests,
                queue: workspace.queue,
            };
            workspaces.limits.insert(workspace.id.clone(), limits);
            for key in &workspace.keys {
                workspaces.keys.entry(*key).or_insert_with(|| workspace.id.clone());
            }
        }
        workspaces.services = manifest.services.iter().map(|s| s.id.clone()).collect();
        workspaces
    }

    pub(crate) fn by_key(&self, key: &Digest) -> Option<&WorkspaceLimits> {
        self.by_id(self.keys.get(key)?)
    }

    pub(crate) fn by_id(&self, id: &WorkspaceId) -> Option<&WorkspaceLimits> {
        self.limits.get(id)
    }

    pub(crate) fn has_service(&self, id: &ServiceId) -> bool {
        self.services.contains(id)
    }
}
