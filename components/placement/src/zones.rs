//! How many VMs each rollout gets in each zone.

use std::collections::BTreeMap;

use base::{Zone, rendezvous_weight};
use manifest::{Rollout, Vm};

/// The live VMs by zone.
pub(crate) struct Zones<'a> {
    /// By name of the zone; never empty lists.
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

    /// The VMs of each zone.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Vec<&'a Vm>> {
        self.zones.iter().map(|(_, members)| members)
    }

    /// Divides the quota of each rollout among the zones. Earlier rollouts choose first, so a change
    /// of one reaches later ones only where a zone is full.
    pub(crate) fn divide(&self, quotas: &[(&Rollout, usize)]) -> Vec<Vec<usize>> {
        let mut free: Vec<usize> = self.members().map(Vec::len).collect();
        let divide = |(rollout, quota): &(&Rollout, usize)| {
            let mut counts = vec![0; free.len()];
            let mut left = *quota;
            for tier in self.tiers(rollout) {
                left = spread(left, &tier, &mut counts, &mut free);
            }
            counts
        };
        quotas.iter().map(divide).collect()
    }

    /// The zones that the rollout may use, by order of its regions; within one by rendezvous, so that
    /// remainders of different rollouts go to different zones.
    fn tiers(&self, rollout: &Rollout) -> Vec<Vec<usize>> {
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

/// Spreads `left` evenly over the zones of a tier as far as they are free; returns what remains.
fn spread(mut left: usize, tier: &[usize], counts: &mut [usize], free: &mut [usize]) -> usize {
    while left > 0 {
        let open: Vec<usize> = tier.iter().copied().filter(|&i| free[i] > 0).collect();
        if open.is_empty() {
            return left;
        }
        let each = (left / open.len()).max(1);
        for i in open {
            let take = each.min(free[i]).min(left);
            counts[i] += take;
            free[i] -= take;
            left -= take;
        }
    }
    0
}
