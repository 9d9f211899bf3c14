//! Keeps the list of the service's endpoints up to date, from a gateway or, without one, from the
//! store.

use std::{
    net::{IpAddr, Ipv4Addr},
    rc::Rc,
};

use bytes::Bytes;
use catalog::{Endpoint, EndpointUpdate};
use directory::{AnswerLimits, ReadError, StoreReader};
use http::{Method, StatusCode};
use peering::{Fleet, FleetWeights, Member, NamedVersion, PeerRequest, REQUEST_TIMEOUT};
use platform::store::{StoreEntry, StoreEra};
use slog::{info, warn};
use tokio::time::{sleep, timeout};
use transport::{CallLimits, ReceiveProgress, request};

use crate::{
    fleet_view::FleetView,
    shared::{Stager, now},
};

/// Maximum size of a gateway's fleet response in bytes.
const MAX_FLEET_BYTES: usize = 4 << 20;
/// Time limits of a page of the store.
const READ_LIMITS: AnswerLimits = AnswerLimits { begin: REQUEST_TIMEOUT, stall: REQUEST_TIMEOUT };

impl Stager {
    /// Keeps the fleet up to date: from a gateway, or from the store if no gateway is subscribed.
    pub(crate) async fn fleet_loop(self: Rc<Stager>, reader: StoreReader) {
        tokio::select! {
            () = self.fetch_fleet_from_seeds() => {}
            // A gateway subscribed in the meantime; it is asked instead of the seeds.
            () = self.fleet_wakeup.notified() => self.fleet_wakeup.notify_one(),
        }
        let mut store_era = StoreEra::default();
        loop {
            let notified =
                timeout(self.settings.store_fallback_delay, self.fleet_wakeup.notified())
                    .await
                    .is_ok();
            let gateway = self.announcing_gateway.take().filter(|_| notified);
            let fleet = match gateway {
                Some(gateway) => self.fetch_fleet_from_gateway(gateway).await,
                None if self.has_gateway() => continue,
                None => self.read_fleet_from_store(&reader, &mut store_era).await,
            };
            match fleet {
                Some(fleet) => {
                    self.update_fleet(fleet);
                    // Gateways that learn of a change at different times announce different fleets.
                    sleep(self.settings.fleet_interval).await;
                }
                None => sleep(self.settings.retry_delay).await,
            }
        }
    }

    /// Asks the seed nodes for the fleet, so that a new process need not wait until a gateway
    /// discovers it.
    async fn fetch_fleet_from_seeds(&self) {
        let seeds = self.process.borrow().seed_nodes.clone();
        for seed in seeds {
            let std::net::IpAddr::V4(ip) = seed.ip() else { continue };
            if self.announcing_gateway.get().is_some() {
                return;
            }
            if let Some(fleet) = self.fetch_fleet_from_gateway(ip).await {
                self.update_fleet(fleet);
                return;
            }
        }
    }

    fn has_gateway(&self) -> bool {
        let max_age = self.settings.subscription_timeout;
        let subscribers = self.subscribers.borrow();
        subscribers.values().any(|s| now().saturating_duration_since(s.subscribed_at) < max_age)
    }

    fn update_fleet(&self, fleet: Fleet) {
        let named = fleet.named;
        let zone = self.process.borrow().zone.clone();
        match FleetView::new(fleet, zone.as_str()) {
            Ok(view) if view.digest != self.fleet().digest => {
                info!(self.log, "fleet"; "members" => view.member_count,
                    "zone_members" => view.zone_members.len(),
                    "pieces" => view.layout.as_ref().map_or(0, |layout| layout.pieces));
                *self.fleet.borrow_mut() = Rc::new(view);
            }
            Ok(_) => {}
            Err(err) => warn!(self.log, "fleet cannot be encoded"; "error" => %err),
        }
        if let Some(named) = named {
            self.handle_named_version(named);
        }
        self.update_scheduler_members();
        self.fetch_wakeup.notify_one();
        self.inventory_wakeup.notify_one();
    }

    async fn fetch_fleet_from_gateway(&self, gateway: Ipv4Addr) -> Option<Fleet> {
        let addr = self.process.borrow().peer_addr(gateway.into());
        let zone = self.process.borrow().zone.clone();
        let path = PeerRequest::Fleet(self.endpoint.service.clone(), Some(zone)).path();
        let request = request(Method::GET, addr, &path, Bytes::new());
        // A list of thousands of endpoints may take longer to arrive than any answer to begin.
        let progress = ReceiveProgress::default();
        let limits = CallLimits::stalled(REQUEST_TIMEOUT, REQUEST_TIMEOUT, progress);
        let reply = self.pool.call(addr, request, MAX_FLEET_BYTES, limits).await;
        let reply = match reply {
            Ok(reply) if reply.status == StatusCode::OK => reply,
            Ok(_) => return None,
            Err(err) => {
                warn!(self.log, "cannot fetch the fleet from a gateway";
                    "entry" => %gateway, "error" => %err);
                return None;
            }
        };
        match Fleet::decode(&reply.body) {
            Ok(fleet) => Some(fleet),
            Err(err) => {
                warn!(self.log, "cannot fetch the fleet from a gateway";
                    "entry" => %gateway, "error" => %err);
                None
            }
        }
    }

    /// Builds the fleet from the store, as a gateway would; a stale read is acceptable. `era` is the
    /// newest era that was seen.
    async fn read_fleet_from_store(
        &self,
        reader: &StoreReader,
        era: &mut StoreEra,
    ) -> Option<Fleet> {
        let mut result = reader.read(*era, true, READ_LIMITS).await;
        if let Err(ReadError::Restored(newer)) = result {
            info!(self.log, "store in a newer era"; "era" => newer.0, "before" => era.0);
            *era = newer;
            result = reader.read(newer, true, READ_LIMITS).await;
        }
        match result {
            Ok(snapshot) => Some(self.build_fleet(snapshot.entries)),
            Err(err) => {
                warn!(self.log, "cannot read the store"; "error" => %err);
                None
            }
        }
    }

    fn build_fleet(&self, entries: Vec<StoreEntry>) -> Fleet {
        let mut fleet = Fleet::default();
        let mut versions = Vec::new();
        for entry in entries {
            match entry {
                StoreEntry::Config(config) => {
                    fleet.weights = FleetWeights::from_config(&config, &self.endpoint.service);
                    fleet.resumable = config.is_resumable(&self.endpoint.service);
                }
                StoreEntry::NamedVersion { model, version } => versions.push((model, version)),
                StoreEntry::Endpoint(EndpointUpdate::Published(endpoint)) => {
                    fleet.members.extend(self.member(&endpoint));
                }
                _ => {}
            }
        }
        let model = fleet.weights.as_ref().map(|weights| weights.model.clone());
        let newest = versions.iter().filter(|(m, _)| Some(m.as_str()) == model.as_deref());
        // The store does not say when the version was named; assume that it was long ago.
        let age_ms = self.process.borrow().bounds.version_switch.as_millis() as u32;
        fleet.named =
            newest.map(|(_, v)| v.0).max().map(|version| NamedVersion { version, age_ms });
        fleet
    }

    /// The VM of an endpoint, if the endpoint belongs to this service.
    fn member(&self, endpoint: &Endpoint) -> Option<Member> {
        let IpAddr::V4(ip) = endpoint.addr.ip() else { return None };
        let same_service = endpoint.service == self.endpoint.service;
        same_service.then(|| Member { ip, zone: endpoint.zone.to_string() })
    }
}
