//! Computes how many VMs each rollout gets in each availability zone.

use std::collections::BTreeMap;

use base::{Zone, rendezvous_weight};
use manifest::{Rollout, Vm};

/// The live VMs grouped by availability zone.
pub(crate) struct Zones<'a> {
    /// Sorted by the name of the zone; every zone has at least one VM.
    zones: Vec<(&'a Zone, Vec<&'a Vm>)>,
}

impl<'a> Zones<'a> {
    pub(crate) fn new(live: &[&'a Vm]) -> Zones<'a> {
        let mut zones: BTreeMap<&Zone, Vec<&Vm>> = BTreeMap::new();
        for vm in live {
            zones.entry(&vm.zone).or_default().push(vm);
        }
        Zones { zones: zones.into_iter().collect() }
    }

    /// Iterates over the VMs of each zone.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Vec<&'a Vm>> {
        self.zones.iter().map(|(_, members)| members)
    }

    /// Divides the quota of each rollout among the zones. Earlier rollouts choose first, so a
    /// change of one rollout affects later ones only where a zone is full.
    pub(crate) fn divide_quotas(&self, quotas: &[(&Rollout, usize)]) -> Vec<Vec<usize>> {
        let mut free: Vec<usize> = self.members().map(Vec::len).collect();
        let divide = |(rollout, quota): &(&Rollout, usize)| {
            let mut counts = vec![0; free.len()];
            let mut left = *quota;
            for tier in self.zone_tiers(rollout) {
                left = divide_evenly(left, &tier, &mut counts, &mut free);
            }
            counts
        };
        quotas.iter().map(divide).collect()
    }

    /// Returns the zones that the rollout may use, one tier per preferred region and a last one for
    /// all other regions. Rendezvous hashing orders the zones within a tier, so that the remainders
    /// of different rollouts go to different zones.
    fn zone_tiers(&self, rollout: &Rollout) -> Vec<Vec<usize>> {
        let mut tiers: BTreeMap<usize, Vec<(u64, usize)>> = BTreeMap::new();
        for (i, (zone, members)) in self.zones.iter().enumerate() {
            if rollout.avoid.contains(zone) {
                continue;
            }
            let region = &members[0].region;
            let position = rollout.regions.iter().position(|wanted| wanted == region);
            let tier = position.unwrap_or(rollout.regions.len());
            let weight = rendezvous_weight(rollout.id.as_str().as_bytes(), zone.as_str());
            tiers.entry(tier).or_default().push((weight, i));
        }
        let order = |mut tier: Vec<(u64, usize)>| {
            tier.sort_by(|a, b| b.cmp(a));
            tier.into_iter().map(|(_, i)| i).collect()
        };
        tiers.into_values().map(order).collect()
    }
}

/// Distributes `left` evenly over the zones of a tier, up to their free VMs; returns what remains.
fn divide_evenly(
    mut left: usize,
    tier: &[usize],
    counts: &mut [usize],
    free: &mut [usize],
) -> usize {
    while left > 0 {
        let available: Vec<usize> = tier.iter().copied().filter(|&i| free[i] > 0).collect();
        if available.is_empty() {
            return left;
        }
        let each = (left / available.len()).max(1);
        for i in available {
            let granted = each.min(free[i]).min(left);
            counts[i] += granted;
            free[i] -= granted;
            left -= granted;
        }
    }
    0
}
