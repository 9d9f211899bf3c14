//! Follows the store: endpoints, the configuration and the weights that the operator names.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use catalog::{Config, Endpoint, Listing, ModelId, WeightsVersion};
use directory::{ReadError, Reader, Snapshot};
use dispatch::Change;
use platform::store::{Entry, StoreRevision, endpoint_of};
use slog::{info, warn};
use tokio::time::sleep;

use crate::shared::{Gateway, now};

/// The store as this process follows it.
pub(crate) struct Follower {
    gateway: Rc<Gateway>,
    reader: Reader,
    /// The revision up to which changes were taken in.
    at: Option<StoreRevision>,
    /// When the store stopped answering.
    lost: Option<Instant>,
    /// Until when endpoints that vanish count as lapsed while the store was away.
    lapsing: Option<Instant>,
}

impl Follower {
    pub(crate) fn new(gateway: Rc<Gateway>, reader: Reader) -> Follower {
        Follower { gateway, reader, at: None, lost: None, lapsing: None }
    }

    /// Follows the store until the task is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            let pause = match self.step().await {
                Ok(changed) => {
                    self.regained();
                    if changed { self.gateway.settings.store_pause } else { Duration::ZERO }
                }
                Err(ReadError::HistoryGone) => {
                    self.at = None;
                    Duration::ZERO
                }
                Err(err) => {
                    self.note_lost(&err);
                    self.gateway.settings.store_retry
                }
            };
            sleep(pause).await;
        }
    }

    /// Reads the whole or waits for changes; returns whether there were any.
    async fn step(&mut self) -> Result<bool, ReadError> {
        match self.at {
            None => {
                let snapshot = self.reader.read(false).await?;
                self.at = Some(snapshot.at);
                self.take_all(snapshot);
                Ok(true)
            }
            Some(at) => {
                let changes = self.reader.watch(at).await?;
                self.at = Some(changes.at.max(at));
                let changed = !changes.entries.is_empty();
                self.regained();
                self.take_changes(changes.entries);
                Ok(changed)
            }
        }
    }

    fn note_lost(&mut self, err: &ReadError) {
        if self.lost.is_none() {
            self.lost = Some(now());
            warn!(self.gateway.log, "store lost"; "error" => %err);
        }
    }

    fn regained(&mut self) {
        let Some(lost) = self.lost.take() else { return };
        let now = now();
        let away = now.saturating_duration_since(lost);
        if away >= self.gateway.settings.store_away {
            self.lapsing = Some(now + self.gateway.settings.dispatch.relist);
        }
        info!(self.gateway.log, "store regained";
            "away_ms" => away.as_millis() as u64);
    }

    /// Until when entries that lapsed may come back, if the store was away until just now.
    fn lapsing(&self) -> Option<Instant> {
        self.lapsing.filter(|until| now() < *until)
    }

    fn take_changes(&mut self, entries: Vec<Entry>) {
        let mut gone = Vec::new();
        for entry in entries {
            match entry {
                Entry::Listing(Listing::Gone(id)) => gone.push(id),
                Entry::Listing(Listing::Listed(endpoint)) => {
                    // It may have been gone for a moment only.
                    gone.retain(|id| *id != endpoint.id);
                    self.take_listing(Listing::Listed(endpoint));
                }
                other => self.take(other, false),
            }
        }
        let changes = self.gateway.dispatcher.borrow_mut().vanished(gone, self.lapsing());
        self.gateway.endpoints_changed(changes);
    }

    fn take_all(&mut self, snapshot: Snapshot) {
        self.regained();
        let mut all: Vec<Endpoint> = Vec::new();
        for entry in snapshot.entries {
            match entry {
                Entry::Listing(Listing::Listed(endpoint)) => all.push(endpoint),
                other => self.take(other, true),
            }
        }
        let lapsing = self.lapsing();
        let changes = self.gateway.dispatcher.borrow_mut().list_all(all, lapsing, now());
        self.gateway.listed.set(true);
        self.gateway.endpoints_changed(changes);
    }

    fn take(&mut self, entry: Entry, inherited: bool) {
        match entry {
            Entry::Listing(listing) => self.take_listing(listing),
            Entry::Config(config) => self.gateway.configure(*config),
            Entry::Named { model, version } => self.gateway.named(&model, version, inherited),
            Entry::Unreadable { key, error } => {
                warn!(self.gateway.log, "entry of the store is not readable";
                    "key" => &key, "error" => %error);
                if let Some(id) = endpoint_of(&key) {
                    self.take_listing(Listing::Gone(id));
                }
            }
            Entry::Other => {}
        }
    }

    fn take_listing(&mut self, listing: Listing) {
        let change = self.gateway.dispatcher.borrow_mut().list(listing, now());
        self.gateway.endpoints_changed(change.into_iter().collect());
    }
}

impl Gateway {
    /// Acts on changes of the endpoints.
    pub(crate) fn endpoints_changed(&self, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            self.note_change(change);
        }
        let moved = |change: &Change| !matches!(change, Change::Updated(_));
        if changes.iter().any(moved) {
            self.fleet.set(self.fleet.get() + 1);
            self.subscribe.notify_one();
        }
        self.poll();
    }

    fn note_change(&self, change: &Change) {
        let (what, key) = match change {
            Change::Added(key) => ("added", key),
            Change::Leaving(key) => ("leaving", key),
            Change::Gone(_, id) => {
                info!(self.log, "endpoint"; "change" => "gone", "endpoint" => %id);
                return;
            }
            Change::Updated(_) => return,
        };
        if let Some(view) = self.dispatcher.borrow().endpoint(*key, now()) {
            info!(self.log, "endpoint"; "change" => what, "endpoint" => %view.id,
                "addr" => %view.addr, "service" => %view.service, "zone" => %view.zone);
        }
    }

    /// Puts a configuration in force, unless a newer one is.
    pub(crate) fn configure(&self, config: Config) {
        let current = self.config.borrow().as_ref().map(|current| current.version);
        if current.is_some_and(|current| current >= config.version) {
            return;
        }
        info!(self.log, "configuration in force"; "version" => config.version.0,
            "routes" => config.route_count(), "replaces" => current.map_or(0, |v| v.0));
        {
            let mut dispatcher = self.dispatcher.borrow_mut();
            for service in config.services.values() {
                dispatcher.set_engine(&service.name, service.engine.as_ref());
            }
        }
        *self.config.borrow_mut() = Some(Arc::new(config));
        self.require_weights();
        self.fleet.set(self.fleet.get() + 1);
        self.poll();
    }

    /// The operator named new weights.
    fn named(&self, model: &ModelId, version: WeightsVersion, inherited: bool) {
        if self.named.borrow_mut().named(model, version, inherited, now()) {
            info!(self.log, "weights named"; "model" => %model, "version" => version.0,
                "inherited" => inherited);
            self.require_weights();
            self.subscribe.notify_one();
        }
    }

    /// Tells the dispatcher which weights alone may answer, and from when on.
    pub(crate) fn require_weights(&self) {
        let Some(config) = self.config.borrow().clone() else { return };
        let named = self.named.borrow();
        let mut dispatcher = self.dispatcher.borrow_mut();
        for service in config.services.values() {
            let weights = service.engine.as_ref().and_then(|engine| engine.weights.as_ref());
            let Some(weights) = weights else { continue };
            dispatcher.require(&service.name, named.required(&weights.model));
        }
    }
}
