//! Computes how many VMs each rollout gets.

use std::collections::{BTreeMap, HashMap};

use base::WorkspaceId;
use manifest::{Manifest, Rollout};

use crate::{Claim, max_min_allocation};

/// Returns how many of `units` VMs each rollout gets, in the order in which the rollouts choose
/// their zones.
pub(crate) fn quotas(manifest: &Manifest, units: usize) -> Vec<(&Rollout, usize)> {
    let mut rollouts: Vec<&Rollout> = manifest.rollouts.iter().collect();
    rollouts.sort_by(|a, b| a.order.cmp(&b.order).then_with(|| a.id.cmp(&b.id)));
    let mut demands: HashMap<&WorkspaceId, usize> = HashMap::new();
    for rollout in &rollouts {
        *demands.entry(&rollout.workspace).or_default() += rollout.replicas;
    }
    let demand = |id| demands.get(id).copied().unwrap_or(0);
    let claims: Vec<Claim> = manifest
        .workspaces
        .iter()
        .map(|w| Claim { weight: w.share.0, demand: demand(&w.id) })
        .collect();
    let mut left: BTreeMap<&WorkspaceId, usize> =
        manifest.workspaces.iter().map(|w| &w.id).zip(max_min_allocation(units, &claims)).collect();
    rollouts
        .into_iter()
        .map(|rollout| {
            let left = left.get_mut(&rollout.workspace);
            let quota = left.as_deref().copied().unwrap_or(0).min(rollout.replicas);
            if let Some(left) = left {
                *left -= quota;
            }
            (rollout, quota)
        })
        .collect()
}
