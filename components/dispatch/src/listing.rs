//! The list of endpoints: who is new, changed, leaving or gone.

use std::{collections::HashSet, time::Instant};

use catalog::{Endpoint, EndpointId, EndpointState, EndpointUpdate};

use crate::{
    EndpointKey,
    endpoint::TrackedEndpoint,
    state::{Dispatcher, EndpointChange},
};

/// Endpoints that vanish together, at least, when entries lapse.
const MIN_LAPSED: usize = 2;
/// Part of all endpoints that vanish together, at least, when entries lapse.
const MIN_LAPSED_FRACTION: f64 = 0.3;

impl Dispatcher {
    /// Takes in one change of the list.
    pub fn apply_listing(
        &mut self,
        listing: EndpointUpdate,
        now: Instant,
    ) -> Option<EndpointChange> {
        match listing {
            EndpointUpdate::Published(endpoint) => self.upsert(endpoint, now),
            EndpointUpdate::Removed(id) => self.remove_endpoint(&id),
        }
    }

    /// Takes in the whole list. Endpoints that are missing are gone, but for those that lapsed while
    /// the store was away; these have until `lapsing` to come back.
    pub fn replace_listing(
        &mut self,
        all: Vec<Endpoint>,
        lapsing: Option<Instant>,
        now: Instant,
    ) -> Vec<EndpointChange> {
        let ids: HashSet<EndpointId> = all.iter().map(|endpoint| endpoint.id.clone()).collect();
        let missing: Vec<EndpointId> =
            self.keys_by_id.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        let mut changes: Vec<EndpointChange> =
            all.into_iter().filter_map(|endpoint| self.upsert(endpoint, now)).collect();
        changes.extend(self.handle_missing(missing, lapsing));
        changes
    }

    /// Endpoints are no longer listed. Where that comes shortly after the store was away and concerns
    /// many, their entries lapsed, as nothing could be written; they have until `lapsing` to come back.
    /// Few are taken at their word: the store may have served all others meanwhile.
    pub fn handle_missing(
        &mut self,
        gone: Vec<EndpointId>,
        lapsing: Option<Instant>,
    ) -> Vec<EndpointChange> {
        let known: Vec<EndpointId> =
            gone.into_iter().filter(|id| self.keys_by_id.contains_key(id)).collect();
        let part = known.len() as f64 / self.keys_by_id.len().max(1) as f64;
        match lapsing {
            Some(until) if known.len() >= MIN_LAPSED && part >= MIN_LAPSED_FRACTION => {
                for id in known {
                    self.lapsed.entry(id).or_insert(until);
                }
                Vec::new()
            }
            _ => known.iter().filter_map(|id| self.remove_endpoint(id)).collect(),
        }
    }

    /// Drops endpoints that were missing when the store returned and did not come back.
    pub fn remove_lapsed(&mut self, now: Instant) -> Vec<EndpointChange> {
        let due = self.lapsed.iter().filter(|(_, at)| now >= **at);
        let due: Vec<EndpointId> = due.map(|(id, _)| id.clone()).collect();
        due.iter().filter_map(|id| self.remove_endpoint(id)).collect()
    }

    fn upsert(&mut self, endpoint: Endpoint, now: Instant) -> Option<EndpointChange> {
        self.lapsed.remove(&endpoint.id);
        let draining = endpoint.state == EndpointState::Draining;
        let Some(&key) = self.keys_by_id.get(&endpoint.id) else {
            return Some(self.add(endpoint, now));
        };
        let known = &mut self.endpoints[key];
        let moved = known.listed.addr != endpoint.addr || known.listed.service != endpoint.service;
        let restarted = known.listed.started_at_ms != endpoint.started_at_ms;
        if moved || restarted {
            self.remove_endpoint(&endpoint.id);
            return Some(self.add(endpoint, now));
        }
        let left = draining && known.leaving_since.is_none();
        known.leaving_since = if draining { known.leaving_since.or(Some(now)) } else { None };
        known.listed = endpoint;
        Some(if left { EndpointChange::Leaving(key) } else { EndpointChange::Updated(key) })
    }

    fn add(&mut self, endpoint: Endpoint, now: Instant) -> EndpointChange {
        let id = endpoint.id.clone();
        let draining = endpoint.state == EndpointState::Draining;
        let mut known = TrackedEndpoint::new(endpoint);
        known.leaving_since = draining.then_some(now);
        let key = self.endpoints.insert(known);
        self.keys_by_id.insert(id, key);
        EndpointChange::Added(key)
    }

    fn remove_endpoint(&mut self, id: &EndpointId) -> Option<EndpointChange> {
        self.lapsed.remove(id);
        let key = self.keys_by_id.remove(id)?;
        let known = self.endpoints.remove(key)?;
        Some(EndpointChange::Removed(key, known.listed.id))
    }

    /// The endpoints of which requests may be running, by key.
    pub fn endpoint_keys(&self) -> impl Iterator<Item = EndpointKey> {
        self.endpoints.keys()
    }
}
