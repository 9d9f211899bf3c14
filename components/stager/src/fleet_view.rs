//! What a stager derives from the fleet of its service. It is computed once for each change.

use std::net::{Ipv4Addr, SocketAddr};

use catalog::ModelId;
use peering::Fleet;

/// Size and origin of the weights of this service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WeightsLayout {
    pub(crate) model: ModelId,
    pub(crate) pieces: u32,
    pub(crate) origin: Option<SocketAddr>,
}

/// The fleet as one availability zone sees it.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct FleetView {
    /// Size and origin of the weights; `None` until the fleet is known.
    pub(crate) layout: Option<WeightsLayout>,
    /// The VMs of the zone, in the order of their addresses.
    pub(crate) zone_members: Vec<Ipv4Addr>,
    /// The VMs of the zone that brings weights in from the origin, in the order of their addresses;
    /// empty if it is this zone.
    pub(crate) origin_zone_members: Vec<Ipv4Addr>,
    /// Number of all known VMs.
    pub(crate) member_count: usize,
    /// Whether another endpoint can resume any request that runs at one of them.
    pub(crate) resumable: bool,
    /// Identifies the fleet that the view was built from.
    pub(crate) digest: u64,
}

impl FleetView {
    /// The view of a zone.
    ///
    /// # Errors
    ///
    /// Fails if the fleet's digest cannot be computed.
    pub(crate) fn new(fleet: Fleet, zone: &str) -> Result<FleetView, postcard::Error> {
        let fleet = fleet.for_zone(zone);
        let members_of = |zone: &str| {
            let in_zone = fleet.members.iter().filter(|member| member.zone == zone);
            let mut ips: Vec<Ipv4Addr> = in_zone.map(|member| member.ip).collect();
            ips.sort_unstable();
            ips
        };
        let origin_zone = fleet.origin_zone().filter(|origin_zone| *origin_zone != zone);
        let layout = fleet.weights.as_ref().and_then(|weights| {
            Some(WeightsLayout {
                model: weights.model.parse().ok()?,
                pieces: weights.pieces,
                origin: weights.origin,
            })
        });
        Ok(FleetView {
            layout,
            zone_members: members_of(zone),
            origin_zone_members: origin_zone.map(members_of).unwrap_or_default(),
            member_count: fleet.members.len(),
            resumable: fleet.resumable,
            digest: fleet.digest()?,
        })
    }

    /// The other VMs of the zone in the order of their addresses, beginning after `own_ip` and
    /// starting over after the highest one.
    pub(crate) fn successors(&self, own_ip: Ipv4Addr) -> impl Iterator<Item = Ipv4Addr> {
        let start = self.zone_members.partition_point(|ip| *ip <= own_ip);
        let (before, after) = self.zone_members.split_at(start);
        after.iter().chain(before).copied().filter(move |ip| *ip != own_ip)
    }
}

#[cfg(test)]
mod tests;
