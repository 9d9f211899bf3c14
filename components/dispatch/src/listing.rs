//! Updates of the endpoint list: endpoints that are added, changed, draining or removed.

use std::{collections::HashSet, net::Ipv4Addr, time::Instant};

use catalog::{Endpoint, EndpointId, EndpointState, EndpointUpdate};

use crate::{
    EndpointKey, ListingOrigin,
    departures::is_later_run,
    endpoint::TrackedEndpoint,
    state::{Dispatcher, EndpointChange},
};

/// Minimum number of endpoints that must be missing at once for their registrations to count as
/// lapsed.
const MIN_LAPSED: usize = 2;
/// Minimum fraction of all endpoints that must be missing at once for their registrations to count
/// as lapsed.
const MIN_LAPSED_FRACTION: f64 = 0.3;

/// Why endpoints may be missing from the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Absence {
    /// They left.
    Left,
    /// They left, or their registrations lapsed while the store was unreachable and no process could
    /// renew them.
    Outage {
        /// Until when lapsed registrations may come back.
        until: Instant,
    },
    /// They left, or the store came back from a copy that is older than their registrations.
    Restoration {
        /// Until when lost registrations may come back.
        until: Instant,
    },
}

impl Absence {
    /// Until when missing endpoints are kept, given how many of `all` are missing. After an outage a
    /// few missing ones are not kept: the store may have been unreachable only from this process, and
    /// these endpoints really left meanwhile. After a restoration any number is kept, as an older copy
    /// may lack just one.
    fn kept_until(self, missing: usize, all: usize) -> Option<Instant> {
        let fraction = missing as f64 / all.max(1) as f64;
        match self {
            Absence::Left => None,
            Absence::Outage { until } => {
                let have_lapsed = missing >= MIN_LAPSED && fraction >= MIN_LAPSED_FRACTION;
                have_lapsed.then_some(until)
            }
            Absence::Restoration { until } => Some(until),
        }
    }
}

impl Dispatcher {
    /// Applies one update of the endpoint list.
    pub fn apply_listing(
        &mut self,
        listing: EndpointUpdate,
        now: Instant,
    ) -> Option<EndpointChange> {
        match listing {
            EndpointUpdate::Published(endpoint) => self.upsert(endpoint, now),
            EndpointUpdate::Removed(id) => self.remove_departed(&id, now),
        }
    }

    /// Replaces the whole endpoint list, which was read from `origin`. Missing endpoints are removed,
    /// unless their `absence` has another explanation; then they are kept for a while and may come
    /// back. An older copy does not bring back endpoints that this process saw leave.
    pub fn replace_listing(
        &mut self,
        all: Vec<Endpoint>,
        origin: ListingOrigin,
        absence: Absence,
        now: Instant,
    ) -> Vec<EndpointChange> {
        let ids: HashSet<EndpointId> = all.iter().map(|endpoint| endpoint.id.clone()).collect();
        let missing: Vec<EndpointId> =
            self.keys_by_id.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        self.departures.retain_listed(&ids);
        let listed =
            all.into_iter().filter_map(|endpoint| self.apply_listed(endpoint, origin, now));
        let mut changes: Vec<EndpointChange> = listed.collect();
        changes.extend(self.handle_missing(missing, absence, now));
        changes
    }

    /// Applies an entry of a complete list, unless only an older copy says that it is in use.
    fn apply_listed(
        &mut self,
        endpoint: Endpoint,
        origin: ListingOrigin,
        now: Instant,
    ) -> Option<EndpointChange> {
        match origin {
            ListingOrigin::Current if self.departures.is_doubtful(&endpoint) => None,
            ListingOrigin::OlderCopy if self.has_left(&endpoint, now) => {
                let id = endpoint.id.clone();
                self.lapsed.remove(&id);
                self.departures.doubt(endpoint, now);
                Some(EndpointChange::SetAside(id))
            }
            ListingOrigin::Current | ListingOrigin::OlderCopy => self.upsert(endpoint, now),
        }
    }

    /// Whether the run of an endpoint that an older copy lists is known to be leaving, gone or replaced.
    fn has_left(&self, listed: &Endpoint, now: Instant) -> bool {
        let Some(tracked) = self.keys_by_id.get(&listed.id).map(|key| &self.endpoints[*key]) else {
            return self.departures.has_left(listed, now);
        };
        let is_leaving = tracked.leaving_since.is_some() && listed.state == EndpointState::Ready;
        is_later_run(&tracked.listed, listed)
            || (is_leaving && !is_later_run(listed, &tracked.listed))
    }

    /// Handles endpoints that are no longer listed: removes them, or keeps them for a while if their
    /// `absence` has another explanation.
    pub fn handle_missing(
        &mut self,
        missing: Vec<EndpointId>,
        absence: Absence,
        now: Instant,
    ) -> Vec<EndpointChange> {
        missing.iter().for_each(|id| self.departures.drop_entry(id));
        let known: Vec<EndpointId> =
            missing.into_iter().filter(|id| self.keys_by_id.contains_key(id)).collect();
        let Some(until) = absence.kept_until(known.len(), self.keys_by_id.len()) else {
            return known.iter().filter_map(|id| self.remove_departed(id, now)).collect();
        };
        for id in known {
            self.lapsed.entry(id).or_insert(until);
        }
        Vec::new()
    }

    /// Removes endpoints that were missing when the store came back and have not returned in time.
    pub fn remove_lapsed(&mut self, now: Instant) -> Vec<EndpointChange> {
        let due = self.lapsed.iter().filter(|(_, at)| now >= **at);
        let due: Vec<EndpointId> = due.map(|(id, _)| id.clone()).collect();
        due.iter().filter_map(|id| self.remove_endpoint(id)).collect()
    }

    /// Adds endpoints that an older copy brought back and that were listed since for so long that they
    /// are alive. All changes before `known_until` are known: while the store does not answer, an entry
    /// that it has not removed proves nothing.
    pub fn readmit_listed(&mut self, known_until: Instant, now: Instant) -> Vec<EndpointChange> {
        let proved = self.departures.take_proved(known_until);
        proved.into_iter().filter_map(|endpoint| self.upsert(endpoint, now)).collect()
    }

    fn upsert(&mut self, endpoint: Endpoint, now: Instant) -> Option<EndpointChange> {
        self.lapsed.remove(&endpoint.id);
        self.departures.forget(&endpoint.id);
        let draining = endpoint.state == EndpointState::Draining;
        let Some(&key) = self.keys_by_id.get(&endpoint.id) else {
            return Some(self.add(endpoint, now));
        };
        let tracked = &mut self.endpoints[key];
        let moved =
            tracked.listed.addr != endpoint.addr || tracked.listed.service != endpoint.service;
        let restarted = tracked.listed.started_at_ms != endpoint.started_at_ms;
        if moved || restarted {
            self.remove_endpoint(&endpoint.id);
            return Some(self.add(endpoint, now));
        }
        let started_draining = draining && tracked.leaving_since.is_none();
        tracked.leaving_since = if draining { tracked.leaving_since.or(Some(now)) } else { None };
        tracked.listed = endpoint;
        self.learn_cold_time(key, now);
        Some(if started_draining {
            EndpointChange::Leaving(key)
        } else {
            EndpointChange::Updated(key)
        })
    }

    fn add(&mut self, endpoint: Endpoint, now: Instant) -> EndpointChange {
        let id = endpoint.id.clone();
        let draining = endpoint.state == EndpointState::Draining;
        let mut tracked = TrackedEndpoint::new(endpoint);
        tracked.backoff_until = self.unlisted_backoffs.take(&tracked.listed, now);
        tracked.leaving_since = draining.then_some(now);
        let ip = tracked.ip();
        let key = self.endpoints.insert(tracked);
        self.keys_by_id.insert(id, key);
        self.learn_cold_time(key, now);
        if let Some(ip) = ip {
            self.keys_by_ip.entry(ip).or_default().push(key);
        }
        EndpointChange::Added(key)
    }

    /// Removes an endpoint that was seen to leave.
    fn remove_departed(&mut self, id: &EndpointId, now: Instant) -> Option<EndpointChange> {
        self.departures.drop_entry(id);
        if let Some(key) = self.keys_by_id.get(id) {
            self.departures.record(&self.endpoints[*key].listed, now);
        }
        self.remove_endpoint(id)
    }

    fn remove_endpoint(&mut self, id: &EndpointId) -> Option<EndpointChange> {
        self.lapsed.remove(id);
        let key = self.keys_by_id.remove(id)?;
        let tracked = self.endpoints.remove(key)?;
        self.unlisted_backoffs.keep(&tracked);
        self.remove_from_vm(key, tracked.ip());
        Some(EndpointChange::Removed(key, tracked.listed.id))
    }

    fn remove_from_vm(&mut self, key: EndpointKey, ip: Option<Ipv4Addr>) {
        let Some(ip) = ip else { return };
        if let Some(keys) = self.keys_by_ip.get_mut(&ip) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.keys_by_ip.remove(&ip);
            }
        }
    }

    /// The keys of all endpoints; requests may still be running at them.
    pub fn endpoint_keys(&self) -> impl Iterator<Item = EndpointKey> {
        self.endpoints.keys()
    }
}
