//! Decides when an endpoint may load new weights. An endpoint takes no requests while it loads, so
//! only a fraction of an availability zone's endpoints may load at a time. Each endpoint decides
//! for itself from the last messages of its neighbours.

use std::{net::Ipv4Addr, time::Duration};

/// Limits for when an endpoint may load new weights.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadSettings {
    /// Fraction of a zone's endpoints that may always load at the same time.
    pub max_loading_fraction: f64,
    /// Time for which an endpoint takes no requests: it finishes those in progress and loads.
    pub load_duration: Duration,
    /// Safety margin before the time limit by which all endpoints must serve the new weights.
    pub deadline_margin: Duration,
    /// Fraction of a zone's endpoints that may load at the same time if other endpoints resume the
    /// interrupted requests, so that a load takes well under a second.
    pub max_interrupting_fraction: f64,
    /// Delay after staging in which neighbours learn of it.
    pub settle_delay: Duration,
}

impl Default for LoadSettings {
    fn default() -> LoadSettings {
        LoadSettings {
            max_loading_fraction: 0.25,
            load_duration: Duration::from_millis(1500),
            deadline_margin: Duration::from_millis(500),
            max_interrupting_fraction: 0.2,
            settle_delay: Duration::from_millis(200),
        }
    }
}

/// The last reported state of another endpoint in the zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatus {
    /// IP address of its VM.
    pub ip: Ipv4Addr,
    /// Whether it is loading.
    pub loading: bool,
    /// Whether it serves the new weights.
    pub updated: bool,
    /// Whether it has staged all pieces of the new weights.
    pub staged: bool,
}

/// Whether the endpoint on `own_ip`, which has staged the new weights and serves older ones, may
/// load them. `peers` are the other endpoints of the zone, `age` is the time since the weights were
/// named, `time_limit` the time within which all endpoints must serve them, and `interrupts`
/// whether a load interrupts the requests in progress.
pub fn may_load(
    settings: &LoadSettings,
    own_ip: Ipv4Addr,
    peers: &[PeerStatus],
    age: Duration,
    time_limit: Duration,
    interrupts: bool,
) -> bool {
    let loading = peers.iter().filter(|peer| peer.loading).count();
    let is_waiting = |peer: &&PeerStatus| peer.staged && !peer.loading && !peer.updated;
    let ahead = peers.iter().filter(is_waiting).filter(|peer| peer.ip < own_ip).count();
    if is_urgent(settings, age, time_limit) {
        return true;
    }
    let remaining = remaining_time(settings, age, time_limit);
    let total = peers.len() + 1;
    if interrupts {
        let max_loading = (total as f64 * settings.max_interrupting_fraction).ceil() as usize;
        return loading + ahead < max_loading;
    }
    let outstanding = peers.iter().filter(|peer| !peer.updated).count() + 1;
    // Enough at a time that all endpoints finish before the time limit.
    let needed =
        outstanding as f64 * settings.load_duration.as_secs_f64() / remaining.as_secs_f64();
    let max_loading = (total as f64 * settings.max_loading_fraction).max(needed).ceil() as usize;
    loading + ahead < max_loading
}

/// Whether all endpoints load at once, as the time left is just enough for a load. None waits for
/// what its neighbours do then.
pub fn is_urgent(settings: &LoadSettings, age: Duration, time_limit: Duration) -> bool {
    remaining_time(settings, age, time_limit) <= settings.load_duration
}

fn remaining_time(settings: &LoadSettings, age: Duration, time_limit: Duration) -> Duration {
    time_limit.saturating_sub(settings.deadline_margin).saturating_sub(age)
}

#[cfg(test)]
mod tests;
