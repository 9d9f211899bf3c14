//! The workspaces and services of the manifest, found in constant time.

use std::collections::{HashMap, HashSet};

use base::{Digest, Rate, ServiceId, WorkspaceId};
use manifest::Manifest;

/// What a workspace may claim.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Claim {
    pub(crate) id: WorkspaceId,
    /// Between 0 and 1.
    pub(crate) share: f64,
    /// Over all entries.
    pub(crate) rate: Rate,
    /// Most requests that wait at one entry.
    pub(crate) queue: usize,
}

/// Claims by key and by workspace.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    claims: HashMap<WorkspaceId, Claim>,
    keys: HashMap<Digest, WorkspaceId>,
    services: HashSet<ServiceId>,
}

impl Claims {
    /// The claims of a manifest.
    pub(crate) fn of(manifest: &Manifest) -> Claims {
        let mut claims = Claims::default();
        for workspace in &manifest.workspaces {
            let claim = Claim {
                id: workspace.id.clone(),
                share: workspace.share.fraction(),
                rate: workspace.requests,
                queue: workspace.queue,
            };
            claims.claims.insert(workspace.id.clone(), claim);
            for key in &workspace.keys {
                claims.keys.entry(*key).or_insert_with(|| workspace.id.clone());
            }
        }
        claims.services = manifest.services.iter().map(|s| s.id.clone()).collect();
        claims
    }

    pub(crate) fn by_key(&self, key: &Digest) -> Option<&Claim> {
        self.by_id(self.keys.get(key)?)
    }

    pub(crate) fn by_id(&self, id: &WorkspaceId) -> Option<&Claim> {
        self.claims.get(id)
    }

    pub(crate) fn has_service(&self, id: &ServiceId) -> bool {
        self.services.contains(id)
    }
}
