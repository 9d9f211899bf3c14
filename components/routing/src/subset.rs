//! Which endpoints of a service each entry uses.
//!
//! Every entry computes the same assignment from the VM list. Endpoints choose entries on hash rings
//! with bounded loads: half of an endpoint's entries come from its own zone, the others from the other
//! zones. So each endpoint has the same number of entries, no entry has many more endpoints than
//! another, and a VM that comes or goes moves few pairs.

use std::collections::{BTreeMap, HashMap};

use base::{VmId, Zone, rank};

/// Points of each entry on a ring.
const POINTS_PER_ENTRY: usize = 24;
/// Room of an entry above the mean.
const MAX_LOAD_FACTOR: f64 = 1.2;

/// A VM with its zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZonedVm {
    /// The VM.
    pub vm: VmId,
    /// Its zone.
    pub zone: Zone,
}

/// The endpoints that entry `me` uses: all of them if there are at most `size`, else about `size`.
pub fn subset(me: &VmId, entries: &[ZonedVm], endpoints: &[ZonedVm], size: usize) -> Vec<ZonedVm> {
    if endpoints.len() <= size {
        return endpoints.to_vec();
    }
    let each = (entries.len() * size / endpoints.len()).max(1).min(entries.len());
    let mut rings = Rings::new(entries);
    let mean = (each * endpoints.len()) as f64 / entries.len().max(1) as f64;
    let room = (mean * MAX_LOAD_FACTOR).ceil() as usize;
    let mut order: Vec<&ZonedVm> = endpoints.iter().collect();
    order.sort_by_cached_key(|e| (rank(b"endpoint", e.vm.as_str()), e.vm.clone()));
    let chosen = order.into_iter().filter(|e| rings.choose(e, each, room).contains(&me));
    chosen.cloned().collect()
}

/// Rings of entries: one for each zone, and one of all.
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
                let at = rank(&point.to_be_bytes(), entry.vm.as_str());
                zones.entry(&entry.zone).or_default().push((at, entry));
                all.push((at, entry));
            }
        }
        let sort = |ring: &mut Ring<'_>| ring.sort_by_key(|(at, entry)| (*at, entry.vm.clone()));
        zones.values_mut().for_each(sort);
        sort(&mut all);
        Rings { zones, all, loads: HashMap::new() }
    }

    /// The entries of one endpoint; takes room from them.
    fn choose(&mut self, endpoint: &ZonedVm, each: usize, room: usize) -> Vec<&'a VmId> {
        let mut chosen = Vec::new();
        let local = each.div_ceil(2);
        if let Some(ring) = self.zones.get(&endpoint.zone) {
            walk(ring, endpoint, &self.loads, room, |_| true, local, &mut chosen);
        }
        let remote = |entry: &ZonedVm| entry.zone != endpoint.zone;
        walk(&self.all, endpoint, &self.loads, room, remote, each, &mut chosen);
        // Zones without entries, or with full ones, leave the others to take their place.
        walk(&self.all, endpoint, &self.loads, room, |_| true, each, &mut chosen);
        walk(&self.all, endpoint, &self.loads, usize::MAX, |_| true, each, &mut chosen);
        for vm in &chosen {
            *self.loads.entry(vm).or_default() += 1;
        }
        chosen
    }
}

/// Walks a ring from the endpoint's point and adds entries with room until there are `wanted`.
fn walk<'a>(
    ring: &Ring<'a>,
    endpoint: &ZonedVm,
    loads: &HashMap<&'a VmId, usize>,
    room: usize,
    fits: impl Fn(&ZonedVm) -> bool,
    wanted: usize,
    chosen: &mut Vec<&'a VmId>,
) {
    let start = rank(b"place", endpoint.vm.as_str());
    let from = ring.partition_point(|(at, _)| *at < start);
    for (_, entry) in ring[from..].iter().chain(&ring[..from]) {
        if chosen.len() >= wanted {
            return;
        }
        let free = loads.get(&entry.vm).is_none_or(|load| *load < room);
        if free && fits(entry) && !chosen.contains(&&entry.vm) {
            chosen.push(&entry.vm);
        }
    }
}
