//! Follows the platform's store: endpoints, the configuration and the weights that the operator names.

use std::{
    net::Ipv4Addr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use catalog::{Config, Endpoint, EndpointUpdate, ModelId, WeightsVersion};
use directory::{ReadError, StoreReader, WatchedChanges, known_by_watch};
use dispatch::{EndpointChange, ListingOrigin};
use platform::store::{StoreEntry, StoreRevision, decode_changes, endpoint_id_from_key};
use slog::{info, warn};
use tokio::time::sleep;

use crate::{
    change_source::{ChangeSource, SourceSelection},
    state::{Gateway, now},
    weights::NamingTime,
};

/// Applies the contents of the store to the gateway.
pub(crate) struct StoreFollower {
    gateway: Rc<Gateway>,
    reader: StoreReader,
    sources: SourceSelection,
    /// The source of the last changes, for the log.
    source: ChangeSource,
    /// Revision up to which changes were applied. `None` until the store was read completely.
    revision: Option<StoreRevision>,
    /// Whether a request for changes failed since changes were last learned.
    interrupted: bool,
    /// When the store became unreachable.
    lost_at: Option<Instant>,
    /// Until when a missing endpoint is assumed to have expired during an outage of the store.
    reregistration_deadline: Option<Instant>,
}

impl StoreFollower {
    pub(crate) fn new(gateway: Rc<Gateway>, reader: StoreReader) -> StoreFollower {
        let sources = {
            let process = gateway.process.borrow();
            SourceSelection::new(process.ip, process.zone.clone(), gateway.relay_times())
        };
        StoreFollower {
            gateway,
            reader,
            sources,
            source: ChangeSource::Store,
            revision: None,
            interrupted: false,
            lost_at: None,
            reregistration_deadline: None,
        }
    }

    /// Follows the store until the task is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            let pause = match self.step().await {
                Ok(changed) => {
                    if changed {
                        self.gateway.relay_times().store_pause
                    } else {
                        Duration::ZERO
                    }
                }
                Err(ReadError::HistoryGone) => {
                    self.revision = None;
                    Duration::ZERO
                }
                Err(err) => {
                    self.interrupted = true;
                    // The first failure may be one of the connection, so the store is asked again.
                    if self.lost_at.is_some() {
                        self.sources.record_store_failure(now());
                    }
                    self.handle_store_lost(&err);
                    self.gateway.settings.store_retry_delay
                }
            };
            sleep(pause).await;
        }
    }

    /// Reads the whole store, or waits for changes. Returns whether the store sent anything new.
    async fn step(&mut self) -> Result<bool, ReadError> {
        let Some(at) = self.revision else {
            self.read_all().await?;
            return Ok(true);
        };
        let gateways: Vec<_> = self.gateway.zone_gateways.borrow().keys().copied().collect();
        match self.sources.choose(gateways, now()) {
            ChangeSource::Store => self.watch_store(at).await,
            ChangeSource::Gateway(ip) => {
                self.follow_gateway(ip, at).await;
                Ok(false)
            }
        }
    }

    /// Reads the whole store. The first time a stale read is enough, as the watch after it returns
    /// what the read lacks before anything is served.
    async fn read_all(&mut self) -> Result<(), ReadError> {
        let is_first = !self.gateway.endpoints_listed.get();
        if is_first {
            match self.read_stale().await {
                Ok(()) => return Ok(()),
                Err(err) => info!(self.gateway.log, "stale read of the store failed";
                    "error" => %err),
            }
        }
        let sent_at = now();
        let snapshot = self.reader.read(false).await?;
        let sent_at = self.gateway.corrected_time(sent_at);
        self.handle_store_regained();
        let named = self.naming_time();
        self.start_from(snapshot.revision, sent_at);
        self.apply_snapshot(snapshot.entries, named);
        Ok(())
    }

    async fn read_stale(&mut self) -> Result<(), ReadError> {
        let snapshot = self.reader.read(true).await?;
        let wait = self.gateway.settings.catch_up_wait;
        let sent_at = now();
        let watched = self.reader.watch(snapshot.revision, wait).await?;
        let sent_at = self.gateway.corrected_time(sent_at);
        self.handle_store_regained();
        let named = self.naming_time();
        self.start_from(watched.changes.revision.max(snapshot.revision), sent_at);
        self.apply_snapshot(snapshot.entries, named);
        self.apply_changes(watched.changes.entries, named);
        Ok(())
    }

    /// When weights that a read of the whole store finds can have been named.
    fn naming_time(&self) -> NamingTime {
        match self.gateway.history.borrow().known_until() {
            Some(at) => NamingTime::NotBefore(at),
            None => NamingTime::BeforeFirstRead,
        }
    }

    /// When weights among the next changes can have been named. They are learned within the margin of
    /// the version bound, unless the process was paused or requests for changes failed.
    fn naming_time_of_changes(&self) -> NamingTime {
        self.gateway.observe_pauses();
        match self.naming_time() {
            NamingTime::NotBefore(known_until) if !self.interrupted => {
                let pauses = self.gateway.pauses.borrow();
                NamingTime::NotBefore(pauses.learned_since(known_until, now()))
            }
            named => named,
        }
    }

    /// Follows changes from the revision of a read that began at `sent_at`.
    fn start_from(&mut self, revision: StoreRevision, sent_at: Instant) {
        let before = self.gateway.history.borrow().revision().map_or(0, |before| before.0);
        info!(self.gateway.log, "store read"; "revision" => revision.0, "before" => before);
        self.revision = Some(revision);
        let mut history = self.gateway.history.borrow_mut();
        history.restart(revision, now());
        history.record_known(sent_at);
        self.interrupted = false;
    }

    async fn watch_store(&mut self, at: StoreRevision) -> Result<bool, ReadError> {
        let (sent_at, wait) = (now(), self.store_wait());
        let watched = self.reader.watch(at, wait).await?;
        let sent_at = self.gateway.corrected_time(sent_at);
        self.handle_store_regained();
        self.log_source(ChangeSource::Store, Duration::ZERO);
        let changed = !watched.changes.entries.is_empty();
        let known_until = known_by_watch(sent_at, wait, changed, now());
        self.handle_watched(at, watched, now(), Some(known_until));
        Ok(changed)
    }

    /// Maximum time that a watch waits: shorter if other gateways rely on this one.
    fn store_wait(&self) -> Duration {
        let settings = &self.gateway.settings;
        let is_recent = |at| now().saturating_duration_since(at) < settings.relay_memory;
        match self.gateway.relayed_at.get().is_some_and(is_recent) {
            true => self.gateway.relay_times().store_wait.min(settings.store_wait),
            false => settings.store_wait,
        }
    }

    /// Learns changes from another gateway; if that fails, it is not asked again for a while.
    async fn follow_gateway(&mut self, ip: Ipv4Addr, at: StoreRevision) {
        let result = self.gateway.request_changes(ip, at).await.and_then(|learned| {
            let body = learned.body.clone();
            let watched = match body.is_empty() {
                true => None,
                false => Some(WatchedChanges { changes: decode_changes(&body, at)?, body }),
            };
            Ok((watched, learned))
        });
        match result {
            Ok((watched, learned)) => {
                self.handle_store_regained();
                self.log_source(ChangeSource::Gateway(ip), learned.age);
                let confirmed_at = now().checked_sub(learned.age).unwrap_or_else(now);
                let watched = watched.unwrap_or_else(|| WatchedChanges::none(at));
                self.handle_watched(at, watched, confirmed_at, learned.known_until);
            }
            Err(err) => {
                info!(self.gateway.log, "changes not learned from a gateway";
                    "entry" => %ip, "error" => %err);
                self.interrupted = true;
                self.sources.record_failure(ip, now());
            }
        }
    }

    fn handle_watched(
        &mut self,
        at: StoreRevision,
        watched: WatchedChanges,
        confirmed_at: Instant,
        known_until: Option<Instant>,
    ) {
        let revision = watched.changes.revision.max(at);
        self.revision = Some(revision);
        let named = self.naming_time_of_changes();
        {
            let mut history = self.gateway.history.borrow_mut();
            history.push(revision, watched.body, confirmed_at);
            if let Some(until) = known_until {
                history.record_known(until);
                self.interrupted = false;
            }
        }
        self.gateway.store_changed.notify_waiters();
        self.apply_changes(watched.changes.entries, named);
    }

    fn log_source(&mut self, source: ChangeSource, age: Duration) {
        if self.source == source {
            return;
        }
        self.source = source;
        let from = match source {
            ChangeSource::Store => "store".to_owned(),
            ChangeSource::Gateway(ip) => ip.to_string(),
        };
        info!(self.gateway.log, "source of changes"; "from" => from,
            "age_ms" => age.as_millis() as u64);
    }

    fn handle_store_lost(&mut self, err: &ReadError) {
        if self.lost_at.is_none() {
            self.lost_at = Some(now());
            self.gateway.store_lost.set(true);
            self.gateway.store_changed.notify_waiters();
            warn!(self.gateway.log, "store lost"; "error" => %err);
        }
    }

    fn handle_store_regained(&mut self) {
        let Some(lost_at) = self.lost_at.take() else { return };
        self.gateway.store_lost.set(false);
        let now = now();
        let away = now.saturating_duration_since(lost_at);
        if away >= self.gateway.settings.store_outage_threshold {
            self.reregistration_deadline = Some(now + self.gateway.settings.dispatch.relist_grace);
        }
        info!(self.gateway.log, "store regained";
            "away_ms" => away.as_millis() as u64);
    }

    /// Returns until when expired endpoints may register again, if the store had an outage recently.
    fn active_reregistration_deadline(&self) -> Option<Instant> {
        self.reregistration_deadline.filter(|until| now() < *until)
    }

    /// Applies changes. `named` is when weights among them can have been named.
    fn apply_changes(&mut self, entries: Vec<StoreEntry>, named: NamingTime) {
        let mut removed = Vec::new();
        for entry in entries {
            match entry {
                StoreEntry::Endpoint(EndpointUpdate::Removed(id)) => removed.push(id),
                StoreEntry::Endpoint(EndpointUpdate::Published(endpoint)) => {
                    // The endpoint was removed and published again within one batch.
                    removed.retain(|id| *id != endpoint.id);
                    self.apply_endpoint_update(EndpointUpdate::Published(endpoint));
                }
                other => self.apply_entry(other, named),
            }
        }
        let changes = self.gateway.dispatcher.borrow_mut().handle_missing(
            removed,
            self.active_reregistration_deadline(),
            now(),
        );
        self.gateway.handle_endpoint_changes(changes);
    }

    fn apply_snapshot(&mut self, entries: Vec<StoreEntry>, named: NamingTime) {
        let mut all: Vec<Endpoint> = Vec::new();
        for entry in entries {
            match entry {
                StoreEntry::Endpoint(EndpointUpdate::Published(endpoint)) => all.push(endpoint),
                other => self.apply_entry(other, named),
            }
        }
        let reregistration_deadline = self.active_reregistration_deadline();
        let changes = self.gateway.dispatcher.borrow_mut().replace_listing(
            all,
            ListingOrigin::Current,
            reregistration_deadline,
            now(),
        );
        self.gateway.endpoints_listed.set(true);
        self.gateway.handle_endpoint_changes(changes);
    }

    fn apply_entry(&mut self, entry: StoreEntry, named: NamingTime) {
        match entry {
            StoreEntry::Endpoint(listing) => self.apply_endpoint_update(listing),
            StoreEntry::Config(config) => self.gateway.apply_config(*config),
            StoreEntry::NamedVersion { model, version } => {
                self.gateway.handle_named_weights(&model, version, named)
            }
            StoreEntry::Unreadable { key, error } => {
                warn!(self.gateway.log, "entry of the store is not readable";
                    "key" => &key, "error" => %error);
                if let Some(id) = endpoint_id_from_key(&key) {
                    self.apply_endpoint_update(EndpointUpdate::Removed(id));
                }
            }
            StoreEntry::Other => {}
        }
    }

    fn apply_endpoint_update(&mut self, listing: EndpointUpdate) {
        let change = self.gateway.dispatcher.borrow_mut().apply_listing(listing, now());
        self.gateway.handle_endpoint_changes(change.into_iter().collect());
    }
}

impl Gateway {
    /// Logs changes of endpoints, requests new reports if needed and checks queued requests.
    pub(crate) fn handle_endpoint_changes(&self, changes: Vec<EndpointChange>) {
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            self.log_endpoint_change(change);
        }
        let membership_changed =
            |change: &EndpointChange| !matches!(change, EndpointChange::Updated(_));
        if changes.iter().any(membership_changed) {
            self.fleet_revision.set(self.fleet_revision.get() + 1);
            self.subscribe_notify.notify_one();
        }
        self.poll_soon();
    }

    fn log_endpoint_change(&self, change: &EndpointChange) {
        let (kind, key) = match change {
            EndpointChange::Added(key) => ("added", key),
            EndpointChange::Leaving(key) => ("leaving", key),
            EndpointChange::Removed(_, id) => {
                info!(self.log, "endpoint"; "change" => "gone", "endpoint" => %id);
                return;
            }
            EndpointChange::SetAside(id) => {
                info!(self.log, "endpoint"; "change" => "set aside", "endpoint" => %id);
                return;
            }
            EndpointChange::Updated(_) => return,
        };
        if let Some(view) = self.dispatcher.borrow().endpoint(*key, now()) {
            info!(self.log, "endpoint"; "change" => kind, "endpoint" => %view.id,
                "addr" => %view.addr, "service" => %view.service, "zone" => %view.zone);
        }
    }

    /// Applies a configuration unless the same or a newer version is in force.
    pub(crate) fn apply_config(&self, config: Config) {
        let current = self.config.borrow().as_ref().map(|current| current.version);
        if current.is_some_and(|current| current >= config.version) {
            return;
        }
        info!(self.log, "configuration in force"; "version" => config.version.0,
            "routes" => config.route_count(), "replaces" => current.map_or(0, |v| v.0));
        {
            let mut dispatcher = self.dispatcher.borrow_mut();
            for service in config.services.values() {
                dispatcher.set_engine_profile(&service.name, service.engine.as_ref());
            }
        }
        *self.config.borrow_mut() = Some(Arc::new(config));
        self.require_weights();
        self.fleet_revision.set(self.fleet_revision.get() + 1);
        self.poll_soon();
    }

    /// Records weights that the operator named.
    fn handle_named_weights(&self, model: &ModelId, version: WeightsVersion, named: NamingTime) {
        if self.named_weights.borrow_mut().record(model, version, named) {
            info!(self.log, "weights named"; "model" => %model, "version" => version.0,
                "inherited" => named == NamingTime::BeforeFirstRead,
                "max_age_ms" => named.max_age(now()).map(|age| age.as_millis() as u64));
            self.require_weights();
            self.subscribe_notify.notify_one();
        }
    }

    /// Tells the dispatcher which weights are required from when on.
    pub(crate) fn require_weights(&self) {
        let Some(config) = self.config.borrow().clone() else { return };
        let named = self.named_weights.borrow();
        let mut dispatcher = self.dispatcher.borrow_mut();
        for service in config.services.values() {
            let weights = service.engine.as_ref().and_then(|engine| engine.weights.as_ref());
            let Some(weights) = weights else { continue };
            dispatcher.set_version_requirements(&service.name, named.required(&weights.model));
        }
        self.weights_changed.notify_waiters();
    }
}
