//! Applies what the store contains to the gateway: changes of endpoints, the configuration and the weights
//! that the operator names.

use std::sync::Arc;

use catalog::{Config, ModelId, WeightsVersion};
use dispatch::{EndpointChange, EvacuationChange};
use metrics::gauge;
use slog::{info, warn};
use telemetry::names;

use crate::{
    change_origin::ChangeOrigin,
    state::{Gateway, now},
    weights::NamingTime,
};

impl Gateway {
    /// Logs which zones were evacuated or taken back, and checks queued requests.
    pub(crate) fn handle_evacuation_changes(
        &self,
        changes: impl IntoIterator<Item = EvacuationChange>,
        origin: ChangeOrigin,
    ) {
        let mut changes = changes.into_iter().peekable();
        if changes.peek().is_none() {
            return;
        }
        for EvacuationChange { zone, is_evacuated } in changes {
            match is_evacuated {
                true => warn!(self.log, "zone evacuated"; "zone" => %zone, "from" => %origin),
                false => info!(self.log, "zone taken back"; "zone" => %zone, "from" => %origin),
            }
        }
        let count = self.dispatcher.borrow().evacuated_zones().count();
        gauge!(names::EVACUATED_ZONES).set(count as f64);
        // Stagers of other zones learn whether this gateway depends on their endpoints.
        self.subscribe_notify.notify_one();
        self.poll_soon();
    }

    /// Logs changes of endpoints, requests new reports if needed and checks queued requests.
    pub(crate) fn handle_endpoint_changes(
        &self,
        changes: Vec<EndpointChange>,
        origin: ChangeOrigin,
    ) {
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            self.log_endpoint_change(change, origin);
        }
        self.log_newly_cold();
        let membership_changed =
            |change: &EndpointChange| !matches!(change, EndpointChange::Updated(_));
        if changes.iter().any(membership_changed) {
            self.fleet_revision.set(self.fleet_revision.get() + 1);
            self.subscribe_notify.notify_one();
        }
        self.poll_soon();
    }

    fn log_newly_cold(&self) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        for key in dispatcher.take_newly_cold() {
            let Some(time) = dispatcher.cold_time(key, now()) else { continue };
            let id = dispatcher.endpoint(key, now()).map(|view| view.id.to_string());
            info!(self.log, "endpoint is cold"; "endpoint" => id,
                "cold_ms" => time.as_millis() as u64);
        }
    }

    fn log_endpoint_change(&self, change: &EndpointChange, origin: ChangeOrigin) {
        let (kind, key) = match change {
            EndpointChange::Added(key) => ("added", key),
            EndpointChange::Leaving(key) => ("leaving", key),
            EndpointChange::Removed(_, id) => {
                info!(self.log, "endpoint"; "change" => "gone", "endpoint" => %id,
                    "from" => %origin);
                return;
            }
            EndpointChange::SetAside(id) => {
                info!(self.log, "endpoint"; "change" => "set aside", "endpoint" => %id,
                    "from" => %origin);
                return;
            }
            EndpointChange::Updated(_) => return,
        };
        if let Some(view) = self.dispatcher.borrow().endpoint(*key, now()) {
            info!(self.log, "endpoint"; "change" => kind, "endpoint" => %view.id,
                "from" => %origin, "leaving" => view.is_leaving, "addr" => %view.addr,
                "service" => %view.service, "zone" => %view.zone);
        }
    }

    /// Applies a configuration unless the same or a newer version is in force.
    pub(crate) fn apply_config(&self, config: Config, origin: ChangeOrigin) {
        let current = self.config.borrow().as_ref().map(|current| current.version);
        if current.is_some_and(|current| current >= config.version) {
            return;
        }
        info!(self.log, "configuration in force"; "version" => config.version.0,
            "routes" => config.route_count(), "replaces" => current.map_or(0, |v| v.0),
            "from" => %origin);
        gauge!(names::CONFIG_VERSION).set(config.version.0 as f64);
        {
            let mut dispatcher = self.dispatcher.borrow_mut();
            for service in config.services.values() {
                dispatcher.set_engine_profile(&service.name, service.engine.as_ref());
                dispatcher.set_cold_start(&service.name, service.cold_start);
            }
            dispatcher.set_home_regions(config.home_regions());
        }
        *self.config.borrow_mut() = Some(Arc::new(config));
        self.rebind_waiting();
        self.require_weights();
        self.fleet_revision.set(self.fleet_revision.get() + 1);
        self.poll_soon();
    }

    /// Records weights that the operator named.
    pub(crate) fn handle_named_weights(
        &self,
        model: &ModelId,
        version: WeightsVersion,
        named: NamingTime,
    ) {
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
