//! The endpoints of each service according to the manifest and the VM list, and the subset of them
//! that this entry uses.

use std::collections::{BTreeMap, HashMap, HashSet};

use base::{ReleaseId, ServiceId, VmId};
use manifest::{Manifest, Rollout, ServiceKind, Vm, VmList, VmState};
use placement::Placement;
use routing::{AllowedReleases, ZonedVm, subset};

use crate::quotas::is_live_entry;

/// Endpoints of one service.
#[derive(Debug, Default)]
struct Pool {
    /// Number of all endpoints that serve the service or are placed to serve it.
    all: usize,
    /// The endpoints that this entry uses.
    subset: Vec<ZonedVm>,
}

/// Pools by service.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    pools: BTreeMap<ServiceId, Pool>,
    entries: Vec<Vm>,
    /// VMs of all subsets.
    vms: HashMap<VmId, Vm>,
}

impl Pools {
    /// Computes the pools after a change of the manifest or the VM list. Live endpoints of `old`
    /// stay while `serves` holds for them, so that a change of placement leaves no gap in service.
    pub(crate) fn of(
        me: &VmId,
        size: usize,
        manifest: &Manifest,
        vms: &VmList,
        placement: &Placement,
        old: &Pools,
        serves: impl Fn(&VmId, &ServiceId) -> bool,
    ) -> Pools {
        let by_id: HashMap<&VmId, &Vm> = vms.vms.iter().map(|vm| (&vm.id, vm)).collect();
        let entries: Vec<Vm> = vms.vms.iter().filter(|vm| is_live_entry(vm)).cloned().collect();
        let zoned_entries: Vec<ZonedVm> = entries.iter().map(zoned_vm).collect();
        let mut pools = Pools { entries, ..Pools::default() };
        for service in &manifest.services {
            let endpoints: Vec<ZonedVm> = match service.kind {
                ServiceKind::Plain => vms.live_plain_vms(&service.id).map(zoned_vm).collect(),
                ServiceKind::Model => {
                    let ids = rollouts(manifest, &service.id).flat_map(|r| placement.vms_of(&r.id));
                    let vms = ids.filter_map(|id| by_id.get(id));
                    vms.map(|vm| zoned_vm(vm)).collect()
                }
            };
            let mut chosen = subset(me, &zoned_entries, &endpoints, size);
            let chosen_ids: HashSet<VmId> = chosen.iter().map(|p| p.vm.clone()).collect();
            let live = |p: &&ZonedVm| by_id.get(&p.vm).is_some_and(|vm| vm.state == VmState::Live);
            let stay = |p: &&ZonedVm| !chosen_ids.contains(&p.vm) && serves(&p.vm, &service.id);
            let kept = old.subset(&service.id).iter().filter(live).filter(stay).take(size);
            chosen.extend(kept.cloned());
            for endpoint in &chosen {
                let vm = by_id[&endpoint.vm].clone();
                pools.vms.insert(endpoint.vm.clone(), vm);
            }
            pools.pools.insert(service.id.clone(), Pool { all: endpoints.len(), subset: chosen });
        }
        pools
    }

    /// Live entries.
    pub(crate) fn entries(&self) -> &[Vm] {
        &self.entries
    }

    /// Looks up a VM of any subset.
    pub(crate) fn vm(&self, id: &VmId) -> Option<&Vm> {
        self.vms.get(id)
    }

    /// The endpoints of a service that this entry uses.
    pub(crate) fn subset(&self, service: &ServiceId) -> &[ZonedVm] {
        self.pools.get(service).map_or(&[], |pool| &pool.subset)
    }

    /// The endpoints of all services that this entry uses, without duplicates.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = &ZonedVm> {
        let mut seen = HashSet::new();
        let all = self.pools.values().flat_map(|pool| &pool.subset);
        all.filter(move |endpoint| seen.insert(&endpoint.vm))
    }

    /// Ratio of all endpoints of a service to those that this entry uses; at least 1.
    pub(crate) fn spread(&self, service: &ServiceId) -> f64 {
        let Some(pool) = self.pools.get(service) else { return 1.0 };
        (pool.all as f64 / pool.subset.len().max(1) as f64).max(1.0)
    }
}

fn zoned_vm(vm: &Vm) -> ZonedVm {
    ZonedVm { vm: vm.id.clone(), zone: vm.zone.clone() }
}

fn rollouts<'a>(
    manifest: &'a Manifest,
    service: &'a ServiceId,
) -> impl Iterator<Item = &'a Rollout> {
    manifest.rollouts.iter().filter(move |rollout| rollout.service == *service)
}

/// The releases that may serve requests of a service.
pub(crate) fn allowed_releases(manifest: &Manifest, service: &ServiceId) -> AllowedReleases {
    let releases = |rollout: &Rollout| manifest.release(rollout).map(|release| release.id);
    let current: HashSet<ReleaseId> = rollouts(manifest, service).filter_map(&releases).collect();
    let older = rollouts(manifest, service).flat_map(|r| variants(manifest, r));
    let older = older.filter_map(|r| releases(&r)).filter(|r| !current.contains(r)).collect();
    AllowedReleases { current, older }
}

/// The rollout in every combination of the model and adapter versions that the manifest lists.
fn variants(manifest: &Manifest, rollout: &Rollout) -> Vec<Rollout> {
    let model = manifest.models.iter().find(|m| m.id == rollout.model.id);
    let adapter = rollout.adapter.as_ref();
    let adapter = manifest.adapters.iter().find(|a| adapter.is_some_and(|r| r.id == a.id));
    let mut variants = Vec::new();
    for version in model.into_iter().flat_map(|m| &m.versions) {
        let mut variant = rollout.clone();
        variant.model.version = version.id.clone();
        let Some(adapter) = adapter else {
            variants.push(variant);
            continue;
        };
        for version in &adapter.versions {
            let mut variant = variant.clone();
            if let Some(reference) = &mut variant.adapter {
                reference.version = version.id.clone();
            }
            variants.push(variant);
        }
    }
    variants
}
