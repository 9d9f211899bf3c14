//! The list of endpoints: who is new, changed, leaving or gone.

use std::{collections::HashSet, time::Instant};

use catalog::{Endpoint, EndpointId, EndpointState, EndpointUpdate};

use crate::{
    EndpointKey,
    endpoint::Known,
    state::{Change, Dispatcher},
};

/// Endpoints that vanish together, at least, when entries lapse.
const LEAST_LAPSED: usize = 2;
/// Part of all endpoints that vanish together, at least, when entries lapse.
const LAPSED_PART: f64 = 0.3;

impl Dispatcher {
    /// Takes in one change of the list.
    pub fn list(&mut self, listing: EndpointUpdate, now: Instant) -> Option<Change> {
        match listing {
            EndpointUpdate::Published(endpoint) => self.upsert(endpoint, now),
            EndpointUpdate::Removed(id) => self.gone(&id),
        }
    }

    /// Takes in the whole list. Endpoints that are missing are gone, but for those that lapsed while
    /// the store was away; these have until `lapsing` to come back.
    pub fn list_all(
        &mut self,
        all: Vec<Endpoint>,
        lapsing: Option<Instant>,
        now: Instant,
    ) -> Vec<Change> {
        let ids: HashSet<EndpointId> = all.iter().map(|endpoint| endpoint.id.clone()).collect();
        let missing: Vec<EndpointId> =
            self.ids.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        let mut changes: Vec<Change> =
            all.into_iter().filter_map(|endpoint| self.upsert(endpoint, now)).collect();
        changes.extend(self.vanished(missing, lapsing));
        changes
    }

    /// Endpoints are no longer listed. Where that comes shortly after the store was away and concerns
    /// many, their entries lapsed, as nothing could be written; they have until `lapsing` to come back.
    /// Few are taken at their word: the store may have served all others meanwhile.
    pub fn vanished(&mut self, gone: Vec<EndpointId>, lapsing: Option<Instant>) -> Vec<Change> {
        let known: Vec<EndpointId> =
            gone.into_iter().filter(|id| self.ids.contains_key(id)).collect();
        let part = known.len() as f64 / self.ids.len().max(1) as f64;
        match lapsing {
            Some(until) if known.len() >= LEAST_LAPSED && part >= LAPSED_PART => {
                for id in known {
                    self.lapsed.entry(id).or_insert(until);
                }
                Vec::new()
            }
            _ => known.iter().filter_map(|id| self.gone(id)).collect(),
        }
    }

    /// Drops endpoints that were missing when the store returned and did not come back.
    pub fn drop_lapsed(&mut self, now: Instant) -> Vec<Change> {
        let due = self.lapsed.iter().filter(|(_, at)| now >= **at);
        let due: Vec<EndpointId> = due.map(|(id, _)| id.clone()).collect();
        due.iter().filter_map(|id| self.gone(id)).collect()
    }

    fn upsert(&mut self, endpoint: Endpoint, now: Instant) -> Option<Change> {
        self.lapsed.remove(&endpoint.id);
        let draining = endpoint.state == EndpointState::Draining;
        let Some(&key) = self.ids.get(&endpoint.id) else {
            return Some(self.add(endpoint, now));
        };
        let known = &mut self.endpoints[key];
        let moved = known.listed.addr != endpoint.addr || known.listed.service != endpoint.service;
        let restarted = known.listed.started_at_ms != endpoint.started_at_ms;
        if moved || restarted {
            self.gone(&endpoint.id);
            return Some(self.add(endpoint, now));
        }
        let left = draining && known.leaving.is_none();
        known.leaving = if draining { known.leaving.or(Some(now)) } else { None };
        known.listed = endpoint;
        Some(if left { Change::Leaving(key) } else { Change::Updated(key) })
    }

    fn add(&mut self, endpoint: Endpoint, now: Instant) -> Change {
        let id = endpoint.id.clone();
        let draining = endpoint.state == EndpointState::Draining;
        let mut known = Known::new(endpoint);
        known.leaving = draining.then_some(now);
        let key = self.endpoints.insert(known);
        self.ids.insert(id, key);
        Change::Added(key)
    }

    fn gone(&mut self, id: &EndpointId) -> Option<Change> {
        self.lapsed.remove(id);
        let key = self.ids.remove(id)?;
        let known = self.endpoints.remove(key)?;
        Some(Change::Gone(key, known.listed.id))
    }

    /// The endpoints of which requests may be running, by key.
    pub fn keys(&self) -> impl Iterator<Item = EndpointKey> {
        self.endpoints.keys()
    }
}
