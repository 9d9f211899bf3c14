//! Whose turn it is to load new weights. An endpoint takes no requests while it loads, so that only a
//! part of a zone's endpoints may load at a time. Each decides by what its neighbours last said.

use std::{net::Ipv4Addr, time::Duration};

/// When an endpoint may load new weights.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TurnSettings {
    /// Part of a zone's endpoints that may load at a time in any case.
    pub part: f64,
    /// Time for which an endpoint takes no requests, to end those that run and to load.
    pub load: Duration,
    /// Time before the bound at which all are to be through.
    pub margin: Duration,
    /// Part of a zone's endpoints that may load at a time if others go on with what runs there, so
    /// that a load takes well under a second.
    pub break_part: f64,
    /// Time after staging in which neighbours hear of it.
    pub settle: Duration,
}

impl Default for TurnSettings {
    fn default() -> TurnSettings {
        TurnSettings {
            part: 0.25,
            load: Duration::from_millis(1500),
            margin: Duration::from_millis(500),
            break_part: 0.2,
            settle: Duration::from_millis(200),
        }
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
/// them. `peers` are the others of the zone, `age` the time since the weights were named, `bound` the
/// time within which all must serve them, and `breaks` whether it breaks off what runs there.
pub fn may_load(
    settings: &TurnSettings,
    me: Ipv4Addr,
    peers: &[Peer],
    age: Duration,
    bound: Duration,
    breaks: bool,
) -> bool {
    let loading = peers.iter().filter(|peer| peer.loading).count();
    let waits = |peer: &&Peer| peer.staged && !peer.loading && !peer.through;
    let before = peers.iter().filter(waits).filter(|peer| peer.ip < me).count();
    let left = bound.saturating_sub(settings.margin).saturating_sub(age);
    if left <= settings.load {
        return true;
    }
    let all = peers.len() + 1;
    if breaks {
        let places = (all as f64 * settings.break_part).ceil() as usize;
        return loading + before < places;
    }
    let to_go = peers.iter().filter(|peer| !peer.through).count() + 1;
    // So many at a time that all are through before the bound.
    let needed = to_go as f64 * settings.load.as_secs_f64() / left.as_secs_f64();
    let places = (all as f64 * settings.part).max(needed).ceil() as usize;
    loading + before < places
}

#[cfg(test)]
mod tests;
