//! Whose turn it is to load new weights. An endpoint takes no requests while it loads, so that only a
//! part of a zone's endpoints may load at a time. Each decides by what its neighbours last said.

use std::{net::Ipv4Addr, time::Duration};

/// When an endpoint may load new weights.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TurnSettings {
    /// Part of a zone's endpoints that may load at a time.
    pub part: f64,
    /// Part of the bound after which an endpoint loads in any case.
    pub force_part: f64,
}

impl Default for TurnSettings {
    fn default() -> TurnSettings {
        TurnSettings { part: 0.34, force_part: 0.7 }
    }
}

/// What an endpoint of the zone last said of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Its VM.
    pub ip: Ipv4Addr,
    /// Whether it loads.
    pub loading: bool,
    /// Whether it serves the new weights.
    pub through: bool,
    /// Whether it has staged all of the new weights.
    pub staged: bool,
}

/// Whether the endpoint on `me`, which has staged the new weights and serves older ones, may load
/// them. `peers` are the others of the zone, `age` the time since the weights were named, and `bound`
/// the time within which all must serve them.
pub fn may_load(
    settings: &TurnSettings,
    me: Ipv4Addr,
    peers: &[Peer],
    age: Duration,
    bound: Duration,
) -> bool {
    if age >= bound.mul_f64(settings.force_part) {
        return true;
    }
    let all = peers.len() + 1;
    let places = ((all as f64 * settings.part).ceil() as usize).max(1);
    let loading = peers.iter().filter(|peer| peer.loading).count();
    let waits = |peer: &&Peer| peer.staged && !peer.loading && !peer.through;
    let before = peers.iter().filter(waits).filter(|peer| peer.ip < me).count();
    loading + before < places
}

#[cfg(test)]
mod tests;
