//! The distribution plan of a chunk list: which VM reads which chunk from upstream, and which VMs
//! forward it to which others.
//!
//! All VMs are placed on a ring so that the VMs of each zone are spread evenly. Each chunk has a
//! start position on the ring. The VM at that position owns the chunk: it reads it from upstream,
//! i.e. from the store or the origin. The first VM of each region from that position on is the
//! leader of its region and fetches the chunk into it; the first VM of each zone does the same for
//! its zone. Regions, zones and the VMs of a zone form binomial trees, so the number of neighbours
//! of a VM, over all chunks, grows with the logarithm of the fleet size.

use std::collections::{BTreeMap, HashMap};

use base::{Digest, Region, VmId, Zone, rendezvous_order};

/// A VM and where it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmLocation {
    /// The VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: Zone,
    /// The zone's region.
    pub region: Region,
}

/// How near another VM is; a greater value is farther away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Locality {
    /// In the same availability zone.
    Zone,
    /// In the same region.
    Region,
    /// In another region.
    Remote,
}

/// Ring positions of the VMs of a zone or region, in ascending order.
type Group = Vec<usize>;

/// The distribution plan of one chunk list over a set of VMs, from the viewpoint of one of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The VMs in ring order; identical in every process that knows the same set of VMs.
    ring: Vec<VmLocation>,
    index: HashMap<VmId, usize>,
    /// Distance between the start positions of successive chunks. It is coprime to the ring size,
    /// so each VM owns exactly one of every `size` successive chunks.
    stride: usize,
    /// Ring position of this VM; `None` if it is not a member.
    own_index: Option<usize>,
    zones: BTreeMap<Zone, Group>,
    regions: BTreeMap<Region, Group>,
    /// Zones of this VM's region.
    region_zones: Vec<Zone>,
}

impl Plan {
    /// Creates the plan for `list` over `members` from the viewpoint of `me`.
    pub fn new(list: &Digest, members: &[VmLocation], me: &VmId) -> Plan {
        let ring = build_ring(list, members);
        let index: HashMap<VmId, usize> =
            ring.iter().enumerate().map(|(i, location)| (location.vm.clone(), i)).collect();
        let mut zones: BTreeMap<Zone, Group> = BTreeMap::new();
        let mut regions: BTreeMap<Region, Group> = BTreeMap::new();
        for (i, location) in ring.iter().enumerate() {
            zones.entry(location.zone.clone()).or_default().push(i);
            regions.entry(location.region.clone()).or_default().push(i);
        }
        let me = index.get(me).copied();
        let region = me.map(|me| ring[me].region.clone());
        let near = ring.iter().filter(|location| Some(&location.region) == region.as_ref());
        let mut region_zones: Vec<Zone> = near.map(|location| location.zone.clone()).collect();
        region_zones.sort();
        region_zones.dedup();
        let stride = stride(ring.len());
        Plan { ring, index, stride, own_index: me, zones, regions, region_zones }
    }

    /// Number of VMs.
    pub fn size(&self) -> usize {
        self.ring.len()
    }

    /// Ring position of this VM; `None` if it is not a member.
    pub fn position(&self) -> Option<usize> {
        self.own_index
    }

    /// How near `vm` is; `None` if it or this VM is not a member.
    pub fn locality(&self, vm: &VmId) -> Option<Locality> {
        let me = &self.ring[self.own_index?];
        let other = &self.ring[*self.index.get(vm)?];
        Some(if me.zone == other.zone {
            Locality::Zone
        } else if me.region == other.region {
            Locality::Region
        } else {
            Locality::Remote
        })
    }

    /// The VM that reads a chunk from upstream.
    pub fn owner(&self, chunk: u32) -> Option<&VmId> {
        self.ring.get(self.start(chunk)).map(|location| &location.vm)
    }

    /// Ring distance of this VM from the start position of a chunk; 0 for the owner.
    pub fn rank(&self, chunk: u32) -> Option<usize> {
        self.own_index.map(|me| self.distance(chunk, me))
    }

    /// Number of VMs that must fail before this one reads a chunk from upstream; 0 for the owner.
    /// The chunks of one owner are taken over by different VMs.
    pub fn takeover_rank(&self, chunk: u32) -> Option<usize> {
        let rank = self.rank(chunk)?;
        let others = self.ring.len() - 1;
        let shift = chunk as usize / self.ring.len();
        Some(if rank == 0 { 0 } else { 1 + (rank - 1 + shift) % others })
    }

    /// The farthest locality from which this VM fetches a chunk without waiting for a nearer
    /// source.
    pub fn fetch_scope(&self, chunk: u32) -> Locality {
        let Some(me) = self.own_index else { return Locality::Zone };
        if self.group_leader(chunk, &self.regions[&self.ring[me].region]) == me {
            Locality::Remote
        } else if self.group_leader(chunk, &self.zones[&self.ring[me].zone]) == me {
            Locality::Region
        } else {
            Locality::Zone
        }
    }

    /// The VMs that this one forwards a chunk to, farthest first.
    pub fn children(&self, chunk: u32) -> Vec<&VmId> {
        let Some(me) = self.own_index else { return Vec::new() };
        let scope = self.fetch_scope(chunk);
        let mut children = Vec::new();
        if scope >= Locality::Remote {
            children.extend(tree_children(&self.group_leaders(chunk, self.regions.values()), me));
        }
        if scope >= Locality::Region {
            let near = self.region_zones.iter().map(|zone| &self.zones[zone]);
            children.extend(tree_children(&self.group_leaders(chunk, near), me));
        }
        children.extend(tree_children(&self.zone_order(chunk), me));
        children.into_iter().map(|at| &self.ring[at].vm).collect()
    }

    /// The VM that forwards a chunk to this one; `None` for the owner.
    pub fn parent(&self, chunk: u32) -> Option<&VmId> {
        let me = self.own_index?;
        let order = match self.fetch_scope(chunk) {
            Locality::Remote => self.group_leaders(chunk, self.regions.values()),
            Locality::Region => {
                self.group_leaders(chunk, self.region_zones.iter().map(|zone| &self.zones[zone]))
            }
            Locality::Zone => self.zone_order(chunk),
        };
        let at = order.iter().position(|&other| other == me)?;
        let parent = (at > 0).then(|| order[at - highest_bit(at)])?;
        Some(&self.ring[parent].vm)
    }

    /// The VMs to which all chunks that this one holds are announced: those of the zone at
    /// power-of-two distances, and the adjacent ones on the ring, which are in other zones if there
    /// are several.
    pub fn neighbours(&self) -> Vec<VmId> {
        let Some(me) = self.own_index else { return Vec::new() };
        let zone = &self.zones[&self.ring[me].zone];
        let mut all = power_of_two_neighbours(zone, me, zone.len() / 2);
        let ring: Group = (0..self.ring.len()).collect();
        for other in power_of_two_neighbours(&ring, me, 1) {
            if !all.contains(&other) {
                all.push(other);
            }
        }
        all.into_iter().map(|at| self.ring[at].vm.clone()).collect()
    }

    /// The VMs of this VM's zone in the order of the chunk's tree.
    fn zone_order(&self, chunk: u32) -> Group {
        let Some(me) = self.own_index else { return Group::new() };
        let zone = &self.zones[&self.ring[me].zone];
        let start = zone.partition_point(|&at| at < self.start(chunk));
        zone[start..].iter().chain(&zone[..start]).copied().collect()
    }

    /// The leaders of some groups in the order of the chunk's tree.
    fn group_leaders<'a>(&self, chunk: u32, groups: impl Iterator<Item = &'a Group>) -> Group {
        let mut leaders: Group = groups.map(|group| self.group_leader(chunk, group)).collect();
        leaders.sort_by_key(|&at| self.distance(chunk, at));
        leaders
    }

    /// The first VM of a group from the start position of a chunk on.
    fn group_leader(&self, chunk: u32, group: &Group) -> usize {
        let after = group.partition_point(|&at| at < self.start(chunk));
        group.get(after).copied().unwrap_or(group[0])
    }

    /// The start position of a chunk on the ring.
    fn start(&self, chunk: u32) -> usize {
        chunk as usize % self.ring.len().max(1) * self.stride % self.ring.len().max(1)
    }

    fn distance(&self, chunk: u32, at: usize) -> usize {
        (at + self.ring.len() - self.start(chunk)) % self.ring.len()
    }
}

/// A stride near the golden ratio of the ring size, which spreads the start positions of any number
/// of chunks evenly.
fn stride(size: usize) -> usize {
    let golden = (size as f64 * 0.618) as usize;
    (golden.max(1)..).find(|&stride| gcd(stride, size) == 1).unwrap_or(1)
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}

/// Orders the VMs so that the VMs of each zone are spread evenly over the ring.
fn build_ring(list: &Digest, members: &[VmLocation]) -> Vec<VmLocation> {
    let mut zones: BTreeMap<&Zone, Vec<&VmLocation>> = BTreeMap::new();
    for location in rendezvous_order(&list.0, members, |location| location.vm.as_str()) {
        zones.entry(&location.zone).or_default().push(location);
    }
    let mut positioned: Vec<(u64, &VmLocation)> = Vec::with_capacity(members.len());
    for zone in zones.into_values() {
        let count = zone.len() as u64;
        let ring_offset = |i: usize| ((2 * i as u64 + 1) << 32) / count;
        positioned
            .extend(zone.into_iter().enumerate().map(|(i, location)| (ring_offset(i), location)));
    }
    positioned.sort_by(|a, b| (a.0, &a.1.zone).cmp(&(b.0, &b.1.zone)));
    positioned.into_iter().map(|(_, location)| location.clone()).collect()
}

/// The children of `me` in the binomial tree over `order`.
fn tree_children(order: &[usize], me: usize) -> Vec<usize> {
    let Some(at) = order.iter().position(|&other| other == me) else { return Vec::new() };
    let mut children = Vec::new();
    let mut step = if at == 0 { 1 } else { 2 * highest_bit(at) };
    while at + step < order.len() {
        children.push(order[at + step]);
        step *= 2;
    }
    children
}

fn highest_bit(n: usize) -> usize {
    1 << n.ilog2()
}

/// The members of a sorted group whose distance from `me` is a power of two and at most `limit`.
fn power_of_two_neighbours(group: &[usize], me: usize, limit: usize) -> Vec<usize> {
    let Ok(at) = group.binary_search(&me) else { return Vec::new() };
    let count = group.len();
    let mut all = Vec::new();
    let mut step = 1;
    while step <= limit {
        for other in [group[(at + step) % count], group[(at + count - step) % count]] {
            if other != me && !all.contains(&other) {
                all.push(other);
            }
        }
        step *= 2;
    }
    all
}

#[cfg(test)]
mod tests;
