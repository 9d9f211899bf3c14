//! Decides from where a gateway learns of the store's changes. In each availability zone one
//! gateway reads the store; the others learn from it, and read the store themselves when it fails.
//! Each gateway decides from what it knows; none coordinates the others.

use std::{
    collections::HashMap,
    fmt,
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use base::{Readers, Zone, rendezvous_first};

/// Number of gateways per zone that read the store. Others take over when it fails.
const READERS_PER_ZONE: usize = 1;

/// Where changes of the store are learned from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChangeSource {
    /// The store itself.
    Store,
    /// A gateway that reads it.
    Gateway(Ipv4Addr),
}

impl fmt::Display for ChangeSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeSource::Store => f.write_str("store"),
            ChangeSource::Gateway(ip) => ip.fmt(f),
        }
    }
}

/// Timeouts of learning changes, all derived from the time within which changes must be known. One
/// answer may be lost at any moment: what then follows each other stays below the bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SourceTimes {
    /// Maximum time that a watch of the store waits.
    pub(crate) store_wait: Duration,
    /// Time beyond its waiting time after which a watch fails, if the store answers fast.
    pub(crate) store_grace: Duration,
    /// The same if the store answers slowly.
    pub(crate) max_grace: Duration,
    /// Time after which a watch fails in any case whose answer has not begun. A lost answer is missed
    /// only after `store_pause`, this and `retry_delay`; what they leave of the bound is for the next
    /// answer.
    pub(crate) store_limit: Duration,
    /// Time in which an answer of the store or of a gateway that has begun must make progress.
    pub(crate) stall: Duration,
    /// Delay before a failed read of the store is retried.
    pub(crate) retry_delay: Duration,
    /// Pause between two watches of the store, which lets changes accumulate.
    pub(crate) store_pause: Duration,
    /// Maximum time that a gateway waits for changes before it answers that there are none.
    pub(crate) relay_wait: Duration,
    /// Time after which a gateway counts as failed whose answer has not begun.
    pub(crate) relay_timeout: Duration,
    /// Age from which the knowledge of a gateway is too old to rely on.
    pub(crate) max_age: Duration,
    /// Time for which a gateway reads the store itself after another one failed.
    pub(crate) direct_time: Duration,
    /// Time for which a gateway that failed is not asked again. Longer than `direct_time`, so that
    /// one that is cut off is not asked again before others were.
    pub(crate) failure_backoff: Duration,
}

/// Maximum time that a watch of the store waits, whatever the bound.
const MAX_STORE_WAIT: Duration = Duration::from_millis(2500);
/// Maximum time beyond its waiting time after which a watch of a fast store fails.
const MAX_STORE_GRACE: Duration = Duration::from_millis(700);
/// Maximum delay before a failed read of the store is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(300);

impl SourceTimes {
    /// The times for a bound on the knowledge of changes.
    pub(crate) fn for_bound(bound: Duration) -> SourceTimes {
        SourceTimes {
            store_wait: (bound * 7 / 20).min(MAX_STORE_WAIT),
            store_grace: (bound * 5 / 20).min(MAX_STORE_GRACE),
            max_grace: bound / 2,
            store_limit: bound * 12 / 20,
            stall: bound / 4,
            retry_delay: (bound * 2 / 20).min(MAX_RETRY_DELAY),
            store_pause: bound / 8,
            relay_wait: bound / 8,
            relay_timeout: bound / 4,
            max_age: bound * 3 / 5,
            direct_time: bound,
            failure_backoff: bound * 8,
        }
    }
}

/// Chooses the source of changes for one gateway.
#[derive(Debug)]
pub(crate) struct SourceSelection {
    own_ip: Ipv4Addr,
    zone: Zone,
    times: SourceTimes,
    /// Gateways that failed, with the time until which they are not asked.
    failed: HashMap<Ipv4Addr, Instant>,
    /// Until when this gateway reads the store itself, because another one failed. Asking one silent
    /// gateway after the other would take longer than changes may.
    direct_until: Option<Instant>,
}

impl SourceSelection {
    pub(crate) fn new(own_ip: Ipv4Addr, zone: Zone, times: SourceTimes) -> SourceSelection {
        SourceSelection { own_ip, zone, times, failed: HashMap::new(), direct_until: None }
    }

    /// The source to use now, given the other gateways of the zone.
    pub(crate) fn choose(
        &mut self,
        gateways: impl IntoIterator<Item = Ipv4Addr>,
        now: Instant,
    ) -> ChangeSource {
        if self.direct_until.is_some_and(|until| now < until) {
            return ChangeSource::Store;
        }
        self.failed.retain(|_, until| now < *until);
        let members = gateways.into_iter().filter(|ip| *ip != self.own_ip).chain([self.own_ip]);
        let readers = Readers::new(&self.zone, members, READERS_PER_ZONE);
        let current: Vec<(String, Ipv4Addr)> = readers
            .current(|ip| self.failed.contains_key(ip))
            .map(|ip| (ip.to_string(), *ip))
            .collect();
        if current.iter().any(|(_, ip)| *ip == self.own_ip) {
            return ChangeSource::Store;
        }
        let key = self.own_ip.octets();
        match rendezvous_first(&key, &current, |(name, _)| name) {
            Some((_, ip)) => ChangeSource::Gateway(*ip),
            None => {
                // All have failed, the store included: they are tried again in order.
                self.failed.clear();
                ChangeSource::Store
            }
        }
    }

    /// Records that a gateway did not answer, or knows too little.
    pub(crate) fn record_failure(&mut self, ip: Ipv4Addr, now: Instant) {
        self.failed.insert(ip, now + self.times.failure_backoff);
        self.direct_until = Some(now + self.times.direct_time);
    }

    /// Records that this gateway cannot read the store, so that others are to read it.
    pub(crate) fn record_store_failure(&mut self, now: Instant) {
        self.failed.insert(self.own_ip, now + self.times.direct_time);
        self.direct_until = None;
    }
}

#[cfg(test)]
mod tests;
