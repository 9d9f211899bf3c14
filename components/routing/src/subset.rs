//! Subsetting: which endpoints of a service each entry uses.
//!
//! Every entry computes the same assignment from the VM list. Endpoints are assigned to entries by
//! consistent hashing with bounded loads: half of an endpoint's entries come from its own zone, the
//! others from the other zones. So each endpoint has the same number of entries, no entry has many
//! more endpoints than another, and adding or removing a VM moves few pairs.

use std::collections::{BTreeMap, HashMap};

use base::{VmId, Zone, rendezvous_weight};

/// Number of points of each entry on a hash ring.
const POINTS_PER_ENTRY: usize = 24;
/// Maximum load of an entry relative to the mean.
const MAX_LOAD_FACTOR: f64 = 1.2;

/// A VM with its availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZonedVm {
    /// The VM's id.
    pub vm: VmId,
    /// The VM's availability zone.
    pub zone: Zone,
}

/// The endpoints that the entry `own_vm` uses: all of them if there are at most `size`, else about
/// `size`.
pub fn subset(
    own_vm: &VmId,
    entries: &[ZonedVm],
    endpoints: &[ZonedVm],
    size: usize,
) -> Vec<ZonedVm> {
    if endpoints.len() <= size {
        return endpoints.to_vec();
    }
    let per_endpoint = (entries.len() * size / endpoints.len()).max(1).min(entries.len());
    let mut rings = Rings::new(entries);
    let mean = (per_endpoint * endpoints.len()) as f64 / entries.len().max(1) as f64;
    let max_load = (mean * MAX_LOAD_FACTOR).ceil() as usize;
    let mut order: Vec<&ZonedVm> = endpoints.iter().collect();
    order.sort_by_cached_key(|e| (rendezvous_weight(b"endpoint", e.vm.as_str()), e.vm.clone()));
    let chosen =
        order.into_iter().filter(|e| rings.choose(e, per_endpoint, max_load).contains(&own_vm));
    chosen.cloned().collect()
}

/// Hash rings of the entries: one for each zone, and one of all entries.
struct Rings<'a> {
    zones: BTreeMap<&'a Zone, Ring<'a>>,
    all: Ring<'a>,
    loads: HashMap<&'a VmId, usize>,
}

type Ring<'a> = Vec<(u64, &'a ZonedVm)>;

impl<'a> Rings<'a> {
    fn new(entries: &'a [ZonedVm]) -> Rings<'a> {
        let mut zones: BTreeMap<&Zone, Ring<'_>> = BTreeMap::new();
        let mut all = Ring::new();
        for entry in entries {
            for point in 0..POINTS_PER_ENTRY {
                let at = rendezvous_weight(&point.to_be_bytes(), entry.vm.as_str());
                zones.entry(&entry.zone).or_default().push((at, entry));
                all.push((at, entry));
            }
        }
        let sort = |ring: &mut Ring<'_>| ring.sort_by_key(|(at, entry)| (*at, entry.vm.clone()));
        zones.values_mut().for_each(sort);
        sort(&mut all);
        Rings { zones, all, loads: HashMap::new() }
    }

    /// Assigns entries to one endpoint and adds it to their loads.
    fn choose(
        &mut self,
        endpoint: &ZonedVm,
        per_endpoint: usize,
        max_load: usize,
    ) -> Vec<&'a VmId> {
        let mut chosen = Vec::new();
        let local = per_endpoint.div_ceil(2);
        if let Some(ring) = self.zones.get(&endpoint.zone) {
            walk(ring, endpoint, &self.loads, max_load, |_| true, local, &mut chosen);
        }
        let remote = |entry: &ZonedVm| entry.zone != endpoint.zone;
        walk(&self.all, endpoint, &self.loads, max_load, remote, per_endpoint, &mut chosen);
        // If zones have no entries, or only full ones, entries of any zone fill in; as a last
        // resort even entries at their maximum load.
        walk(&self.all, endpoint, &self.loads, max_load, |_| true, per_endpoint, &mut chosen);
        walk(&self.all, endpoint, &self.loads, usize::MAX, |_| true, per_endpoint, &mut chosen);
        for vm in &chosen {
            *self.loads.entry(vm).or_default() += 1;
        }
        chosen
    }
}

/// Walks a ring clockwise from the endpoint's point and adds entries below the maximum load until
/// there are `target`.
fn walk<'a>(
    ring: &Ring<'a>,
    endpoint: &ZonedVm,
    loads: &HashMap<&'a VmId, usize>,
    max_load: usize,
    fits: impl Fn(&ZonedVm) -> bool,
    target: usize,
    chosen: &mut Vec<&'a VmId>,
) {
    let start = rendezvous_weight(b"place", endpoint.vm.as_str());
    let from = ring.partition_point(|(at, _)| *at < start);
    for (_, entry) in ring[from..].iter().chain(&ring[..from]) {
        if chosen.len() >= target {
            return;
        }
        let has_room = loads.get(&entry.vm).is_none_or(|load| *load < max_load);
        if has_room && fits(entry) && !chosen.contains(&&entry.vm) {
            chosen.push(&entry.vm);
        }
    }
}
