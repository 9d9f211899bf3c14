//! Detects whether a new manifest or VM list can change the placement; most changes cannot.

use std::hash::{Hash, Hasher};

use manifest::{Manifest, VmList};
use twox_hash::XxHash64;

/// A hash of every field that the placement depends on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InputsFingerprint(u64);

impl InputsFingerprint {
    /// Computes the fingerprint of a manifest and a VM list.
    pub fn of(manifest: &Manifest, vms: &VmList) -> InputsFingerprint {
        let mut hasher = XxHash64::with_seed(0);
        for workspace in &manifest.workspaces {
            (&workspace.id, workspace.share.0).hash(&mut hasher);
        }
        for rollout in &manifest.rollouts {
            (&rollout.id, &rollout.workspace, rollout.replicas).hash(&mut hasher);
            (rollout.order, &rollout.regions, &rollout.avoid).hash(&mut hasher);
        }
        for vm in vms.live_model_vms() {
            (&vm.id, &vm.zone, &vm.region).hash(&mut hasher);
        }
        InputsFingerprint(hasher.finish())
    }
}
