//! Subsetting: which engines a process follows and may send requests to. All of a small fleet; of a
//! large one a bounded number, most of them in the process's own availability zone.

use std::collections::{BTreeMap, HashSet};

use base::{Zone, rendezvous_order};

use crate::{EndpointKey, state::Dispatcher};

/// Limits of a subset.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SubsetSettings {
    /// Number of engines in the own zone up to which all of them are followed, and the number of
    /// engines that a subset has at least, if there are as many.
    pub size: usize,
    /// Number of engines that are followed in all other zones together, beyond those that fill the
    /// subset up to `size`.
    pub remote_size: usize,
    /// Number of engines that are followed at least in each region to which the configuration binds
    /// requests, if it has as many.
    pub home_size: usize,
    /// Mean number of processes of its zone that follow an engine, at least.
    pub coverage: usize,
}

impl Default for SubsetSettings {
    fn default() -> SubsetSettings {
        SubsetSettings { size: 64, remote_size: 24, home_size: 8, coverage: 8 }
    }
}

impl SubsetSettings {
    /// Number of the zone's `engines` that each of its `processes` follows.
    fn local_size(&self, engines: usize, processes: usize) -> usize {
        let covering = (engines * self.coverage).div_ceil(processes.max(1));
        engines.min(self.size.max(covering))
    }

    /// Number of engines of other zones that a process follows beside `local` ones of its own.
    fn remote_size(&self, local: usize) -> usize {
        self.remote_size.max(self.size.saturating_sub(local))
    }
}

impl Dispatcher {
    /// Chooses which engines the process `own_name` follows, one of `processes` in its zone. Each
    /// process chooses by rendezvous hashing, so that few engines move when the fleet changes.
    pub fn update_subset(&mut self, own_name: &str, processes: usize) {
        let mut zones: BTreeMap<&Zone, Vec<(EndpointKey, &str)>> = BTreeMap::new();
        for (key, tracked) in &self.endpoints {
            if self.engine_models.contains_key(&tracked.listed.service) {
                let engines = zones.entry(&tracked.listed.zone).or_default();
                engines.push((key, tracked.listed.id.as_str()));
            }
        }
        self.zone_gateways = processes.max(1);
        let settings = self.settings.subset;
        let own = zones.remove(&self.zone).unwrap_or_default();
        let local = settings.local_size(own.len(), processes);
        let per_zone = settings.remote_size(local).div_ceil(zones.len().max(1));
        let mut chosen = first(own_name, &own, local);
        for engines in zones.values() {
            chosen.extend(first(own_name, engines, per_zone));
        }
        let followed: HashSet<EndpointKey> = chosen.iter().copied().collect();
        chosen.extend(self.missing_home_engines(own_name, &followed));
        let is_engine = |service| self.engine_models.contains_key(service);
        for tracked in self.endpoints.values_mut() {
            tracked.is_followed = !is_engine(&tracked.listed.service);
        }
        for key in chosen {
            self.endpoints[key].is_followed = true;
        }
    }

    /// Engines to follow beside `followed` ones, so that requests that are bound to a region find some
    /// there.
    fn missing_home_engines(
        &self,
        own_name: &str,
        followed: &HashSet<EndpointKey>,
    ) -> Vec<EndpointKey> {
        let mut missing = Vec::new();
        for region in &self.home_regions {
            let in_region = self.endpoints.iter().filter(|(_, tracked)| {
                self.engine_models.contains_key(&tracked.listed.service)
                    && self.regions.get(&tracked.listed.zone) == Some(region)
            });
            let (chosen, others): (Vec<_>, Vec<_>) =
                in_region.partition(|(key, _)| followed.contains(key));
            let others: Vec<(EndpointKey, &str)> =
                others.into_iter().map(|(key, t)| (key, t.listed.id.as_str())).collect();
            let count = self.settings.subset.home_size.saturating_sub(chosen.len());
            missing.extend(first(own_name, &others, count));
        }
        missing
    }
}

/// The `count` engines that rank highest for the process `own_name`.
fn first(own_name: &str, engines: &[(EndpointKey, &str)], count: usize) -> Vec<EndpointKey> {
    let ranked = rendezvous_order(own_name.as_bytes(), engines, |(_, id)| id);
    ranked.into_iter().take(count).map(|(key, _)| *key).collect()
}
