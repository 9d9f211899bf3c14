//! Applies entries of the store, in their order.

use std::collections::{BTreeSet, HashSet};

use base::Zone;
use catalog::{Endpoint, EndpointUpdate};
use dispatch::ListingOrigin;
use platform::{
    DecodeError,
    store::{StoreEntry, endpoint_id_from_key, names_weights},
};
use slog::warn;

use crate::{
    change_origin::ChangeOrigin, state::now, store_follower::StoreFollower, weights::NamingTime,
};

impl StoreFollower {
    /// Applies changes. `named` is when weights among them can have been named.
    pub(crate) fn apply_changes(
        &mut self,
        entries: Vec<StoreEntry>,
        named: NamingTime,
        origin: ChangeOrigin,
    ) {
        let mut removed = Vec::new();
        for entry in entries {
            match entry {
                StoreEntry::Endpoint(EndpointUpdate::Removed(id)) => removed.push(id),
                StoreEntry::Endpoint(EndpointUpdate::Published(endpoint)) => {
                    // The endpoint was removed and published again within one batch.
                    removed.retain(|id| *id != endpoint.id);
                    self.apply_endpoint_update(EndpointUpdate::Published(endpoint), origin);
                }
                other => self.apply_entry(other, named, origin),
            }
        }
        let now = now();
        let absence = self.reregistration.explain_removed(now);
        let changes = self.gateway.dispatcher.borrow_mut().handle_missing(removed, absence, now);
        self.gateway.handle_endpoint_changes(changes, origin);
    }

    /// Applies a read of the whole store. `named` is when weights in it can have been named.
    pub(crate) fn apply_snapshot(
        &mut self,
        entries: Vec<StoreEntry>,
        listing: ListingOrigin,
        named: NamingTime,
        origin: ChangeOrigin,
    ) {
        let logged = std::mem::take(&mut self.unreadable);
        let mut all: Vec<Endpoint> = Vec::new();
        let mut evacuated: BTreeSet<Zone> = BTreeSet::new();
        for entry in entries {
            match entry {
                StoreEntry::Endpoint(EndpointUpdate::Published(endpoint)) => all.push(endpoint),
                StoreEntry::Evacuation { zone, is_evacuated: true } => {
                    evacuated.insert(zone);
                }
                StoreEntry::Unreadable { key, error } => {
                    self.apply_unreadable(key, &error, &logged, origin);
                }
                other => self.apply_entry(other, named, origin),
            }
        }
        let now = now();
        let absence = self.reregistration.explain_unlisted(now);
        let changes = self.gateway.dispatcher.borrow_mut().replace_evacuated(evacuated, absence);
        self.gateway.handle_evacuation_changes(changes, origin);
        let changes =
            self.gateway.dispatcher.borrow_mut().replace_listing(all, listing, absence, now);
        self.gateway.endpoints_listed.set(true);
        self.gateway.presumed_weights.borrow_mut().record_read(now);
        self.gateway.handle_endpoint_changes(changes, origin);
    }

    fn apply_entry(&mut self, entry: StoreEntry, named: NamingTime, origin: ChangeOrigin) {
        match entry {
            StoreEntry::Endpoint(listing) => self.apply_endpoint_update(listing, origin),
            StoreEntry::Evacuation { zone, is_evacuated } => {
                let mut dispatcher = self.gateway.dispatcher.borrow_mut();
                let change = dispatcher.set_evacuated(zone, is_evacuated);
                drop(dispatcher);
                self.gateway.handle_evacuation_changes(change, origin);
            }
            StoreEntry::Config(config) => self.gateway.apply_config(*config, origin),
            StoreEntry::NamedVersion { model, version } => {
                self.gateway.handle_named_weights(&model, version, named)
            }
            StoreEntry::Unreadable { key, error } => {
                self.apply_unreadable(key, &error, &HashSet::new(), origin);
            }
            StoreEntry::Other => {}
        }
    }

    /// Applies an entry that cannot be read: it names no endpoint, and what was in force stays so. Logs it
    /// unless it was `logged` before, as each read of the whole store brings it again.
    fn apply_unreadable(
        &mut self,
        key: String,
        error: &DecodeError,
        logged: &HashSet<(String, String)>,
        origin: ChangeOrigin,
    ) {
        if names_weights(&key) {
            self.gateway.presumed_weights.borrow_mut().record_unreadable();
        }
        if let Some(id) = endpoint_id_from_key(&key) {
            self.apply_endpoint_update(EndpointUpdate::Removed(id), origin);
        }
        let entry = (key, error.to_string());
        if !logged.contains(&entry) {
            warn!(self.gateway.log, "entry of the store is not readable";
                "key" => &entry.0, "error" => &entry.1);
        }
        self.unreadable.retain(|(key, _)| *key != entry.0);
        self.unreadable.insert(entry);
    }

    fn apply_endpoint_update(&mut self, listing: EndpointUpdate, origin: ChangeOrigin) {
        let change = self.gateway.dispatcher.borrow_mut().apply_listing(listing, now());
        self.gateway.handle_endpoint_changes(change.into_iter().collect(), origin);
    }
}
