//! The plan of a chunk list: who reads which chunk from outside, and who passes it on to whom.
//!
//! All VMs stand on a ring, on which the VMs of each zone are spread evenly. Each chunk starts at its
//! own place of the ring. The VM there owns the chunk: it reads it from the store or the origin. The
//! first VM of each region after that place takes the chunk into its region, the first VM of each zone
//! into its zone. Regions, zones and the VMs of a zone form binomial trees, so that a VM has a number
//! of neighbours that grows with the logarithm of the fleet, for all chunks together.

use std::collections::{BTreeMap, HashMap};

use base::{Digest, Region, VmId, Zone, ranked};

/// A VM with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmLocation {
    /// The VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: Zone,
    /// The zone's region.
    pub region: Region,
}

/// How far away a VM is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Locality {
    /// In the same availability zone.
    Zone,
    /// In the same region.
    Region,
    /// In another region.
    Remote,
}

/// Ring positions of the VMs of a zone or region, ascending.
type Group = Vec<usize>;

/// The plan of one chunk list over a set of VMs, as one of them sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The same in every process that knows the same set of VMs.
    ring: Vec<VmLocation>,
    index: HashMap<VmId, usize>,
    /// Distance between the starts of successive chunks; has no divisor in common with the ring's size,
    /// so that each VM owns one chunk in each round.
    stride: usize,
    /// Position of this VM on the ring; `None` if it is not a member.
    me: Option<usize>,
    zones: BTreeMap<Zone, Group>,
    regions: BTreeMap<Region, Group>,
    /// Zones of this VM's region.
    near_zones: Vec<Zone>,
}

impl Plan {
    /// The plan for `list` over `members` as `me` sees it.
    pub fn new(list: &Digest, members: &[VmLocation], me: &VmId) -> Plan {
        let ring = ring(list, members);
        let index: HashMap<VmId, usize> =
            ring.iter().enumerate().map(|(i, place)| (place.vm.clone(), i)).collect();
        let mut zones: BTreeMap<Zone, Group> = BTreeMap::new();
        let mut regions: BTreeMap<Region, Group> = BTreeMap::new();
        for (i, place) in ring.iter().enumerate() {
            zones.entry(place.zone.clone()).or_default().push(i);
            regions.entry(place.region.clone()).or_default().push(i);
        }
        let me = index.get(me).copied();
        let region = me.map(|me| ring[me].region.clone());
        let near = ring.iter().filter(|place| Some(&place.region) == region.as_ref());
        let mut near_zones: Vec<Zone> = near.map(|place| place.zone.clone()).collect();
        near_zones.sort();
        near_zones.dedup();
        let stride = stride(ring.len());
        Plan { ring, index, stride, me, zones, regions, near_zones }
    }

    /// Number of VMs.
    pub fn size(&self) -> usize {
        self.ring.len()
    }

    /// Position of this VM on the ring.
    pub fn position(&self) -> Option<usize> {
        self.me
    }

    /// How far away `vm` is; `None` if it is not a member.
    pub fn locality(&self, vm: &VmId) -> Option<Locality> {
        let me = &self.ring[self.me?];
        let other = &self.ring[*self.index.get(vm)?];
        Some(if me.zone == other.zone {
            Locality::Zone
        } else if me.region == other.region {
            Locality::Region
        } else {
            Locality::Remote
        })
    }

    /// The VM that reads a chunk from outside.
    pub fn owner(&self, chunk: u32) -> Option<&VmId> {
        self.ring.get(self.start(chunk)).map(|place| &place.vm)
    }

    /// Distance of this VM from the start of a chunk; the owner has 0.
    pub fn rank(&self, chunk: u32) -> Option<usize> {
        self.me.map(|me| self.distance(chunk, me))
    }

    /// VMs that read a chunk from outside before this one if all that come before fail; the owner has
    /// 0. The chunks of one owner go to different VMs.
    pub fn takeover_rank(&self, chunk: u32) -> Option<usize> {
        let rank = self.rank(chunk)?;
        let others = self.ring.len() - 1;
        let shift = chunk as usize / self.ring.len();
        Some(if rank == 0 { 0 } else { 1 + (rank - 1 + shift) % others })
    }

    /// From how far away this VM takes a chunk without waiting for a nearer source.
    pub fn fetch_scope(&self, chunk: u32) -> Locality {
        let Some(me) = self.me else { return Locality::Zone };
        if self.first(chunk, &self.regions[&self.ring[me].region]) == me {
            Locality::Remote
        } else if self.first(chunk, &self.zones[&self.ring[me].zone]) == me {
            Locality::Region
        } else {
            Locality::Zone
        }
    }

    /// The VMs that get a chunk from this one, the farthest first.
    pub fn children(&self, chunk: u32) -> Vec<&VmId> {
        let Some(me) = self.me else { return Vec::new() };
        let duty = self.fetch_scope(chunk);
        let mut children = Vec::new();
        if duty >= Locality::Remote {
            children.extend(below(&self.firsts(chunk, self.regions.values()), me));
        }
        if duty >= Locality::Region {
            let near = self.near_zones.iter().map(|zone| &self.zones[zone]);
            children.extend(below(&self.firsts(chunk, near), me));
        }
        children.extend(below(&self.members(chunk), me));
        children.into_iter().map(|at| &self.ring[at].vm).collect()
    }

    /// The VM that gives a chunk to this one; `None` for the owner.
    pub fn parent(&self, chunk: u32) -> Option<&VmId> {
        let me = self.me?;
        let order = match self.fetch_scope(chunk) {
            Locality::Remote => self.firsts(chunk, self.regions.values()),
            Locality::Region => {
                self.firsts(chunk, self.near_zones.iter().map(|zone| &self.zones[zone]))
            }
            Locality::Zone => self.members(chunk),
        };
        let at = order.iter().position(|&other| other == me)?;
        let parent = (at > 0).then(|| order[at - highest_bit(at)])?;
        Some(&self.ring[parent].vm)
    }

    /// The VMs that learn of all chunks that this one holds: those of the zone at distances that are
    /// powers of two, and the next on the ring, which are elsewhere if there are several zones.
    pub fn neighbours(&self) -> Vec<VmId> {
        let Some(me) = self.me else { return Vec::new() };
        let zone = &self.zones[&self.ring[me].zone];
        let mut all = around(zone, me, zone.len() / 2);
        let ring: Group = (0..self.ring.len()).collect();
        for other in around(&ring, me, 1) {
            if !all.contains(&other) {
                all.push(other);
            }
        }
        all.into_iter().map(|at| self.ring[at].vm.clone()).collect()
    }

    /// The members of this VM's zone in the order of the chunk's tree.
    fn members(&self, chunk: u32) -> Group {
        let Some(me) = self.me else { return Group::new() };
        let zone = &self.zones[&self.ring[me].zone];
        let start = zone.partition_point(|&at| at < self.start(chunk));
        zone[start..].iter().chain(&zone[..start]).copied().collect()
    }

    /// The first VMs of some groups in the order of the chunk's tree.
    fn firsts<'a>(&self, chunk: u32, groups: impl Iterator<Item = &'a Group>) -> Group {
        let mut firsts: Group = groups.map(|group| self.first(chunk, group)).collect();
        firsts.sort_by_key(|&at| self.distance(chunk, at));
        firsts
    }

    fn first(&self, chunk: u32, group: &Group) -> usize {
        let after = group.partition_point(|&at| at < self.start(chunk));
        group.get(after).copied().unwrap_or(group[0])
    }

    fn start(&self, chunk: u32) -> usize {
        chunk as usize % self.ring.len().max(1) * self.stride % self.ring.len().max(1)
    }

    fn distance(&self, chunk: u32, at: usize) -> usize {
        (at + self.ring.len() - self.start(chunk)) % self.ring.len()
    }
}

/// A stride near the golden section of the ring, by which the starts of any number of chunks are spread
/// evenly.
fn stride(size: usize) -> usize {
    let golden = (size as f64 * 0.618) as usize;
    (golden.max(1)..).find(|&stride| gcd(stride, size) == 1).unwrap_or(1)
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}

/// Orders the VMs so that those of each zone are spread evenly over the ring.
fn ring(list: &Digest, members: &[VmLocation]) -> Vec<VmLocation> {
    let mut zones: BTreeMap<&Zone, Vec<&VmLocation>> = BTreeMap::new();
    for place in ranked(&list.0, members, |place| place.vm.as_str()) {
        zones.entry(&place.zone).or_default().push(place);
    }
    let mut spread: Vec<(u64, &VmLocation)> = Vec::with_capacity(members.len());
    for zone in zones.into_values() {
        let count = zone.len() as u64;
        let share = |i: usize| ((2 * i as u64 + 1) << 32) / count;
        spread.extend(zone.into_iter().enumerate().map(|(i, place)| (share(i), place)));
    }
    spread.sort_by(|a, b| (a.0, &a.1.zone).cmp(&(b.0, &b.1.zone)));
    spread.into_iter().map(|(_, place)| place.clone()).collect()
}

/// The children of `me` in the binomial tree over `order`.
fn below(order: &[usize], me: usize) -> Vec<usize> {
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

/// Those of a sorted group whose distance from `me` is a power of two of at most `limit`.
fn around(group: &[usize], me: usize, limit: usize) -> Vec<usize> {
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
