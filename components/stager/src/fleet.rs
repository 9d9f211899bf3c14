//! What the process knows of the fleet: from an entry, or from the store if there is none.

use std::{
    net::{IpAddr, Ipv4Addr},
    rc::Rc,
};

use bytes::Bytes;
use catalog::{Endpoint, EndpointUpdate};
use directory::Reader;
use http::{Method, StatusCode};
use peering::{Fleet, FleetWeights, Member, NamedVersion, PeerRequest, REQUEST_TIMEOUT};
use platform::store::Entry;
use slog::{info, warn};
use tokio::time::{Instant, sleep, timeout};
use transport::request;

use crate::shared::{Stager, now};

/// Most bytes of what an entry knows of the fleet.
const FLEET_BYTES: usize = 4 << 20;

impl Stager {
    /// Keeps what is known of the fleet up to date: from an entry, or from the store if none asks for
    /// reports.
    pub(crate) async fn fleet_loop(self: Rc<Stager>, reader: Reader) {
        tokio::select! {
            () = self.ask_seeds() => {}
            // An entry asked for reports meanwhile, and is asked instead.
            () = self.refresh.notified() => self.refresh.notify_one(),
        }
        loop {
            let woken = timeout(self.settings.store_after, self.refresh.notified()).await.is_ok();
            let entry = self.fleet_seen.get().map(|(entry, _)| entry);
            let read = match entry.filter(|_| woken) {
                Some(entry) => self.fleet_of_entry(entry).await,
                None if self.has_entry() => continue,
                None => self.fleet_of_store(&reader).await,
            };
            match read {
                Some(fleet) => self.learn(fleet),
                None => {
                    self.fleet_seen.set(None);
                    sleep(self.settings.retry).await;
                }
            }
        }
    }

    /// Asks the seeds for the fleet, so that a new process need not wait for entries to find it.
    async fn ask_seeds(&self) {
        let seeds = self.process.borrow().seed_nodes.clone();
        for seed in seeds {
            let std::net::IpAddr::V4(ip) = seed.ip() else { continue };
            if self.fleet_seen.get().is_some() {
                return;
            }
            if let Some(fleet) = self.fleet_of_entry(ip).await {
                self.learn(fleet);
                return;
            }
        }
    }

    fn has_entry(&self) -> bool {
        let life = self.settings.subscription;
        let subscribers = self.subscribers.borrow();
        subscribers.values().any(|s| now().saturating_duration_since(s.asked) < life)
    }

    fn learn(&self, fleet: Fleet) {
        let named = fleet.named;
        let changed = *self.fleet.borrow() != fleet;
        if changed {
            info!(self.log, "fleet"; "members" => fleet.members.len(),
                "pieces" => fleet.weights.as_ref().map_or(0, |w| w.pieces));
            *self.fleet.borrow_mut() = fleet;
        }
        if let Some(named) = named {
            self.heard_named(named);
        }
        self.update_members();
        self.fetch.notify_one();
        self.holding.notify_one();
    }

    async fn fleet_of_entry(&self, entry: Ipv4Addr) -> Option<Fleet> {
        let addr = self.process.borrow().peer_addr(entry.into());
        let path = PeerRequest::Fleet(self.own.service.clone()).path();
        let request = request(Method::GET, addr, &path, Bytes::new());
        let until = Instant::now() + REQUEST_TIMEOUT;
        let reply = self.pool.call(addr, request, FLEET_BYTES, until).await;
        let reply = match reply {
            Ok(reply) if reply.status == StatusCode::OK => reply,
            Ok(_) => return None,
            Err(err) => {
                warn!(self.log, "fleet not read"; "entry" => %entry, "error" => %err);
                return None;
            }
        };
        match Fleet::decode(&reply.body) {
            Ok(fleet) => Some(fleet),
            Err(err) => {
                warn!(self.log, "fleet not read"; "entry" => %entry, "error" => %err);
                None
            }
        }
    }

    /// Reads what an entry would tell from the store; old reads are good enough.
    async fn fleet_of_store(&self, reader: &Reader) -> Option<Fleet> {
        match reader.read(true).await {
            Ok(snapshot) => Some(self.fleet_from(snapshot.entries)),
            Err(err) => {
                warn!(self.log, "store not read"; "error" => %err);
                None
            }
        }
    }

    fn fleet_from(&self, entries: Vec<Entry>) -> Fleet {
        let mut fleet = Fleet::default();
        let mut versions = Vec::new();
        for entry in entries {
            match entry {
                Entry::Config(config) => {
                    fleet.weights = FleetWeights::from_config(&config, &self.own.service);
                    fleet.resumable = config.is_resumable(&self.own.service);
                }
                Entry::Named { model, version } => versions.push((model, version)),
                Entry::Listing(EndpointUpdate::Published(endpoint)) => {
                    fleet.members.extend(self.member(&endpoint));
                }
                _ => {}
            }
        }
        let model = fleet.weights.as_ref().map(|weights| weights.model.clone());
        let newest = versions.iter().filter(|(m, _)| Some(m.as_str()) == model.as_deref());
        // Nobody here knows since when; for all that is known, for long.
        let age_ms = self.process.borrow().bounds.version_switch.as_millis() as u32;
        fleet.named =
            newest.map(|(_, v)| v.0).max().map(|version| NamedVersion { version, age_ms });
        fleet
    }

    /// The VM beside an endpoint of the own service.
    fn member(&self, endpoint: &Endpoint) -> Option<Member> {
        let IpAddr::V4(ip) = endpoint.addr.ip() else { return None };
        let own = endpoint.service == self.own.service;
        own.then(|| Member { ip, zone: endpoint.zone.to_string() })
    }
}
