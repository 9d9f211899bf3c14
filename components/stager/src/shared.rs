//! What the tasks of the process share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use base::Digest;
use bytes::Bytes;
use catalog::{EngineReport, LocalEndpoint, ModelId, ProcessSettings, WeightsVersion};
use chunks::LinkLimiter;
use peering::{Fleet, Inventory, NamedVersion, PeerSocket, PieceSet};
use slog::{Logger, info};
use telemetry::MetricsPage;
use tokio::sync::Notify;
use transport::Pool;

use crate::{Peer, Spread, settings::StagerSettings};

/// The wanted weights and what is held of them.
pub(crate) struct Wanted {
    pub(crate) version: WeightsVersion,
    /// When they were named, at the latest; `None` if they were not named since the process runs.
    pub(crate) named: Option<Instant>,
    pub(crate) digests: Option<Rc<Vec<Digest>>>,
    pub(crate) pieces: Vec<Option<Bytes>>,
    /// Pieces that were handed to the endpoint.
    pub(crate) staged: PieceSet,
    pub(crate) spread: Spread,
    /// When all pieces were first staged.
    pub(crate) staged_at: Option<Instant>,
}

impl Wanted {
    /// Whether all pieces were handed to the endpoint.
    pub(crate) fn is_staged(&self) -> bool {
        self.staged.len() as usize == self.pieces.len()
    }
}

/// An entry that asked for reports.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Subscriber {
    pub(crate) near: bool,
    pub(crate) asked: Instant,
    pub(crate) reported: Option<Instant>,
}

/// The shape of the weights of the own service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Shape {
    pub(crate) model: ModelId,
    pub(crate) pieces: u32,
    pub(crate) origin: Option<SocketAddr>,
    pub(crate) origin_zone: Option<String>,
}

/// The state of the process. All tasks run on one thread; nothing is borrowed across an await.
pub(crate) struct Stager {
    pub(crate) settings: StagerSettings,
    pub(crate) process: RefCell<ProcessSettings>,
    pub(crate) own: LocalEndpoint,
    pub(crate) ip: Ipv4Addr,
    /// When this process started, in Unix milliseconds; tells its runs apart.
    pub(crate) run: u64,
    pub(crate) log: Logger,
    pub(crate) metrics: MetricsPage,
    pub(crate) pool: Pool,
    /// Paces what peers get, as the endpoint's answers pass the same link.
    pub(crate) link: RefCell<LinkLimiter>,
    pub(crate) socket: PeerSocket,
    pub(crate) fleet: RefCell<Fleet>,
    /// The revision of the fleet that each entry stated last, and the one that was fetched.
    pub(crate) fleet_seen: Cell<Option<(Ipv4Addr, u64)>>,
    pub(crate) subscribers: RefCell<HashMap<Ipv4Addr, Subscriber>>,
    pub(crate) neighbours: RefCell<HashMap<Ipv4Addr, (Inventory, Instant)>>,
    pub(crate) report: RefCell<Option<EngineReport>>,
    /// Failed questions to the endpoint in a row.
    pub(crate) silent: Cell<u32>,
    /// Whether an order to load is about to be given or under way.
    pub(crate) loading: Cell<bool>,
    pub(crate) wanted: RefCell<Option<Wanted>>,
    /// The newest weights that were named, and when, at the latest.
    pub(crate) named: Cell<Option<(u64, Instant)>>,
    /// Wakes the task that fetches.
    pub(crate) fetch: Notify,
    /// Wakes those that wait for pieces.
    pub(crate) arrived: Notify,
    /// Wakes the task that loads.
    pub(crate) load: Notify,
    /// Wakes the task that reports.
    pub(crate) tell: Notify,
    /// Wakes the task that tells neighbours.
    pub(crate) holding: Notify,
    /// Wakes the task that asks an entry for the fleet.
    pub(crate) refresh: Notify,
    pub(crate) number: Cell<u32>,
}

/// The runtime's clock, which tests pause.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Age from which a neighbour counts as silent.
const NEIGHBOUR_LIFE: Duration = Duration::from_secs(3);

impl Stager {
    /// The shape of the weights, once it is known.
    pub(crate) fn shape(&self) -> Option<Shape> {
        let fleet = self.fleet.borrow();
        let weights = fleet.weights.as_ref()?;
        Some(Shape {
            model: weights.model.parse().ok()?,
            pieces: weights.pieces,
            origin: weights.origin,
            origin_zone: weights.origin_zone.clone(),
        })
    }

    /// The version that the endpoint serves.
    pub(crate) fn serving(&self) -> Option<WeightsVersion> {
        let model = self.shape()?.model;
        let report = self.report.borrow();
        let held = report.as_ref()?.held.iter().find(|held| held.model == model);
        held.map(|held| held.version)
    }

    /// Weights were named, here or elsewhere.
    pub(crate) fn heard_named(&self, named: NamedVersion) {
        let since = now().checked_sub(Duration::from_millis(named.age_ms.into()));
        let since = since.unwrap_or_else(now);
        let known = self.named.get();
        if known.is_none_or(|(version, _)| version < named.version) {
            info!(self.log, "weights named"; "version" => named.version, "age_ms" => named.age_ms);
            self.named.set(Some((named.version, since)));
            self.want_newest();
            self.holding.notify_one();
        }
    }

    /// The newest weights that were named, as others are told.
    pub(crate) fn named_now(&self) -> Option<NamedVersion> {
        let (version, since) = self.named.get()?;
        let age = now().saturating_duration_since(since).as_millis();
        Some(NamedVersion { version, age_ms: u32::try_from(age).unwrap_or(u32::MAX) })
    }

    /// Begins to fetch the newest weights that are known, unless that is under way.
    pub(crate) fn want_newest(&self) {
        let Some(shape) = self.shape() else { return };
        let named = self.named.get();
        let around = self.neighbours.borrow().values().map(|(h, _)| h.version).max();
        let versions = [named.map(|(version, _)| version), around, self.serving().map(|v| v.0)];
        let Some(version) = versions.into_iter().flatten().max() else { return };
        let version = WeightsVersion(version);
        if self.wanted.borrow().as_ref().is_some_and(|wanted| wanted.version >= version) {
            return;
        }
        info!(self.log, "weights wanted"; "version" => version.0,
            "serving" => self.serving().map_or(0, |v| v.0));
        let seed = u64::from(self.ip.to_bits()) ^ self.run;
        let mut spread = Spread::new(self.settings.spread, self.ip, shape.pieces, seed, now());
        for (ip, (_, at)) in self.neighbours.borrow().iter() {
            spread.lives(*ip, *at);
        }
        let named = named.filter(|(v, _)| *v == version.0).map(|(_, since)| since);
        *self.wanted.borrow_mut() = Some(Wanted {
            version,
            named,
            digests: None,
            pieces: vec![None; shape.pieces as usize],
            staged: PieceSet::default(),
            spread,
            staged_at: None,
        });
        self.update_members();
        self.fetch.notify_one();
        self.holding.notify_one();
    }

    /// Tells the spread who else there is.
    pub(crate) fn update_members(&self) {
        let zone = self.process.borrow().zone.to_string();
        let (near, root) = self.members(&zone);
        if let Some(wanted) = self.wanted.borrow_mut().as_mut() {
            wanted.spread.set_members(near, root);
        }
    }

    /// VMs of the own zone and, if the origin is in another, of the zone of the origin.
    pub(crate) fn members(&self, zone: &str) -> (Vec<Ipv4Addr>, Vec<Ipv4Addr>) {
        let fleet = self.fleet.borrow();
        let of = |zone: &str| {
            let there = fleet.members.iter().filter(|member| member.zone == zone);
            let mut ips: Vec<Ipv4Addr> = there.map(|member| member.ip).collect();
            ips.sort_unstable();
            ips.dedup();
            ips
        };
        let stated = fleet.weights.as_ref().and_then(|weights| weights.origin_zone.clone());
        let stated = stated.filter(|zone| !of(zone).is_empty());
        // Without members beside the origin all zones agree on one of theirs.
        let least = || fleet.members.iter().map(|member| member.zone.clone()).min();
        let root = stated.or_else(least).filter(|root| root != zone);
        (of(zone), root.map(|root| of(&root)).unwrap_or_default())
    }

    /// What the other endpoints of the zone last said of themselves.
    pub(crate) fn zone_peers(&self, version: WeightsVersion) -> Vec<Peer> {
        let now = now();
        let neighbours = self.neighbours.borrow();
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < NEIGHBOUR_LIFE;
        let fresh = neighbours.iter().filter(|(_, (_, at))| fresh(at));
        let peer = |(ip, (holding, _)): (&Ipv4Addr, &(Inventory, Instant))| Peer {
            ip: *ip,
            loading: holding.loading,
            through: holding.serving.is_some_and(|serving| serving >= version.0),
            staged: holding.staged && holding.version == version.0,
        };
        fresh.map(peer).collect()
    }

    /// VMs of the own zone that are told what is held, the next ones after this one in the order of
    /// their addresses.
    pub(crate) fn told_neighbours(&self) -> Vec<Ipv4Addr> {
        let zone = self.process.borrow().zone.to_string();
        let (near, _) = self.members(&zone);
        let others = near.iter().filter(|ip| **ip != self.ip);
        let (after, before): (Vec<Ipv4Addr>, Vec<Ipv4Addr>) = others.partition(|ip| **ip > self.ip);
        let all = after.into_iter().chain(before);
        all.take(self.settings.neighbours).collect()
    }
}
