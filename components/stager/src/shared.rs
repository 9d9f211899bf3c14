//! State shared by the tasks of the process.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use base::Digest;
use bytes::Bytes;
use catalog::{EngineReport, LocalEndpoint, ProcessSettings, WeightsVersion};
use chunks::LinkLimiter;
use http::{HeaderMap, StatusCode};
use lifecycle::{BootTime, FLUSH_INTERVAL, Pauses};
use peering::{Inventory, NamedVersion, PeerSocket, PieceSet};
use platform::requested_backoff;
use slog::{Logger, info, warn};
use telemetry::MetricsHandle;
use tokio::sync::{Notify, watch};
use transport::ConnectionPool;

use crate::{
    FetchScheduler, PeerStatus,
    backoffs::Backoffs,
    fleet_view::{FleetView, WeightsLayout},
    list_doubts::ListDoubts,
    named_versions::NamedVersions,
    open_order::{OpenOrders, Weights},
    settings::StagerSettings,
};

/// The newest weights version and the pieces of it that this VM holds.
pub(crate) struct Download {
    pub(crate) version: WeightsVersion,
    /// Time before which the version was not named; `None` if it was not named while
    /// this process ran.
    pub(crate) named_at: Option<Instant>,
    pub(crate) digests: Option<Rc<Vec<Digest>>>,
    /// How often the list of digests was corrected.
    pub(crate) list_revision: u32,
    /// Pieces that do not match the list.
    pub(crate) doubts: ListDoubts,
    /// A neighbour that has a list of a higher revision, and that revision.
    pub(crate) newer_list: Option<(Ipv4Addr, u32)>,
    pub(crate) pieces: Vec<Option<Bytes>>,
    /// Pieces that were uploaded to the endpoint.
    pub(crate) staged: PieceSet,
    pub(crate) scheduler: FetchScheduler,
    /// When all pieces were first staged.
    pub(crate) staged_at: Option<Instant>,
    /// Closed when the download of a newer version replaces this one, which ends its fetches.
    pub(crate) current: watch::Sender<()>,
}

impl Download {
    /// The weights, once all pieces are here.
    pub(crate) fn weights(&self) -> Option<Weights> {
        let pieces: Option<Vec<Bytes>> = self.pieces.iter().cloned().collect();
        let digests = self.digests.clone()?;
        Some(Weights { version: self.version, digests, pieces: pieces? })
    }

    /// Whether all pieces were uploaded to the endpoint.
    pub(crate) fn is_staged(&self) -> bool {
        self.staged.len() as usize == self.pieces.len()
    }
}

/// A gateway that subscribed to state reports.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Subscriber {
    pub(crate) same_zone: bool,
    /// Whether it is a gateway of another zone that has no endpoint of its own.
    pub(crate) displaced: bool,
    pub(crate) subscribed_at: Instant,
    pub(crate) last_report_at: Option<Instant>,
}

impl Subscriber {
    /// Whether it sends its requests to the endpoints of this zone first.
    pub(crate) fn is_near(&self) -> bool {
        self.same_zone || self.displaced
    }
}

/// The state of the process. All tasks run on one thread; no `RefCell` is borrowed across an await.
pub(crate) struct Stager {
    pub(crate) settings: StagerSettings,
    pub(crate) process: RefCell<ProcessSettings>,
    pub(crate) endpoint: LocalEndpoint,
    pub(crate) ip: Ipv4Addr,
    /// Start time of this process in Unix milliseconds; identifies this run.
    pub(crate) run_id: u64,
    pub(crate) log: Logger,
    pub(crate) metrics: MetricsHandle,
    pub(crate) pool: ConnectionPool,
    /// Limits the rate of uploads to peers, as the endpoint's responses use the same link.
    pub(crate) link: RefCell<LinkLimiter>,
    pub(crate) socket: PeerSocket,
    pub(crate) fleet: RefCell<Rc<FleetView>>,
    /// The gateway that last announced a fleet other than `fleet`; cleared once it is fetched.
    pub(crate) announcing_gateway: Cell<Option<Ipv4Addr>>,
    pub(crate) subscribers: RefCell<HashMap<Ipv4Addr, Subscriber>>,
    pub(crate) neighbours: RefCell<HashMap<Ipv4Addr, (Inventory, Instant)>>,
    pub(crate) report: RefCell<Option<EngineReport>>,
    /// When the endpoint's state was last reported.
    pub(crate) reported_at: Cell<Option<Instant>>,
    /// Consecutive failed queries of the endpoint's state.
    pub(crate) failed_polls: Cell<u32>,
    /// What the endpoint and the origin asked for.
    pub(crate) backoffs: RefCell<Backoffs>,
    /// Whether a load order is about to be sent or in progress.
    pub(crate) loading: Cell<bool>,
    /// Whether a load order was sent whose answer is awaited.
    pub(crate) ordering: Cell<bool>,
    /// Whether the process was told to stop. It begins no load then.
    pub(crate) stopping: Cell<bool>,
    pub(crate) download: RefCell<Option<Download>>,
    /// Number of uploads to the endpoint in progress.
    pub(crate) uploads: Cell<usize>,
    /// The load order that the endpoint may still accept.
    pub(crate) open_orders: RefCell<OpenOrders>,
    /// Number of staged pieces that the next check reads at the same time at first.
    pub(crate) read_limit: Cell<usize>,
    /// Whether this process has looked for an order of an earlier run.
    pub(crate) looked_back: Cell<bool>,
    /// Whether it was logged that the fleet is known and no version of its weights.
    pub(crate) version_missing: Cell<bool>,
    /// The versions that the operator named.
    pub(crate) named: RefCell<NamedVersions>,
    /// Observed with each flush of the log, and before what depends on it.
    pub(crate) pauses: RefCell<Pauses>,
    /// Wakes the fetch task.
    pub(crate) fetch_wakeup: Notify,
    /// Wakes the requests that wait for a piece or for the digests.
    pub(crate) piece_arrived: Notify,
    /// Wakes the load task.
    pub(crate) load_wakeup: Notify,
    /// Wakes the task that sends state reports to gateways.
    pub(crate) report_wakeup: Notify,
    /// Wakes the task that sends inventories to neighbours.
    pub(crate) inventory_wakeup: Notify,
    /// Wakes the task that updates the fleet.
    pub(crate) fleet_wakeup: Notify,
    pub(crate) report_number: Cell<u32>,
}

/// Reads Tokio's clock, which tests can pause.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Time between two flushes of the log from which the process counts as paused.
pub(crate) const MAX_FLUSH_GAP: Duration = FLUSH_INTERVAL.saturating_mul(3);
/// Time without a message after which a neighbour's last inventory is ignored.
const NEIGHBOUR_TIMEOUT: Duration = Duration::from_secs(3);

impl Stager {
    /// The fleet as last learned.
    pub(crate) fn fleet(&self) -> Rc<FleetView> {
        self.fleet.borrow().clone()
    }

    /// Size and origin of the weights, once the fleet is known.
    pub(crate) fn weights_layout(&self) -> Option<WeightsLayout> {
        self.fleet.borrow().layout.clone()
    }

    /// Returns for how long a host is still to be sent nothing, if it asked for that.
    pub(crate) fn remaining_backoff(&self, host: SocketAddr) -> Option<Duration> {
        self.backoffs.borrow().remaining(host, now())
    }

    /// Records for how long a host asks to be sent nothing, if its answer says so.
    pub(crate) fn record_backoff(&self, host: SocketAddr, status: StatusCode, headers: &HeaderMap) {
        match requested_backoff(status, headers) {
            Ok(None) => {}
            Ok(Some(time)) => {
                info!(self.log, "host asks for no requests"; "addr" => %host,
                    "status" => status.as_u16(), "for_ms" => time.as_millis() as u64);
                self.backoffs.borrow_mut().record(host, time, now());
            }
            Err(err) => {
                warn!(self.log, "retry-after of a host is not readable"; "addr" => %host,
                    "error" => %err);
            }
        }
    }

    /// The version that the endpoint serves.
    pub(crate) fn serving_version(&self) -> Option<WeightsVersion> {
        let fleet = self.fleet.borrow();
        let model = &fleet.layout.as_ref()?.model;
        let report = self.report.borrow();
        let held = report.as_ref()?.held.iter().find(|held| held.model == *model);
        held.map(|held| held.version)
    }

    /// Handles a weights version that the operator named, as learned from a gateway, a neighbour or
    /// the store.
    pub(crate) fn handle_named_version(&self, named: NamedVersion) {
        self.observe_pauses();
        let named_at = now().checked_sub(Duration::from_millis(named.age_ms.into()));
        let named_at = named_at.unwrap_or_else(now);
        let is_newest = self.named.borrow_mut().record(WeightsVersion(named.version), named_at);
        if is_newest {
            info!(self.log, "weights named"; "version" => named.version, "age_ms" => named.age_ms);
            self.start_newest_download();
            self.inventory_wakeup.notify_one();
        }
    }

    /// Records that the process runs. Logs a pause that has just ended, and corrects the times of named
    /// versions if the clock has not counted it.
    pub(crate) fn observe_pauses(&self) {
        let ended = self.pauses.borrow_mut().observe(now(), BootTime::now());
        let Some(pause) = ended else { return };
        info!(self.log, "process was paused"; "paused_ms" => pause.length.as_millis() as u64,
            "uncounted_ms" => pause.uncounted.as_millis() as u64);
        self.named.borrow_mut().correct_times(|at| pause.corrected(at));
        if let Some(download) = self.download.borrow_mut().as_mut() {
            download.named_at = download.named_at.map(|at| pause.corrected(at));
        }
    }

    /// The newest named version and its current age, for messages to others.
    pub(crate) fn newest_named(&self) -> Option<NamedVersion> {
        let (WeightsVersion(version), named_at) = self.named.borrow().newest()?;
        let age = now().saturating_duration_since(named_at).as_millis();
        Some(NamedVersion { version, age_ms: u32::try_from(age).unwrap_or(u32::MAX) })
    }

    /// Starts to download the newest known version, unless that download has already started.
    pub(crate) fn start_newest_download(&self) {
        let Some(layout) = self.weights_layout() else { return };
        let named = self.named.borrow().newest();
        let newest_at_neighbours = self.neighbours.borrow().values().map(|(h, _)| h.version).max();
        let versions = [
            named.map(|(version, _)| version.0),
            newest_at_neighbours,
            self.serving_version().map(|v| v.0),
        ];
        let Some(version) = versions.into_iter().flatten().max() else {
            if !self.version_missing.replace(true) {
                info!(self.log, "no version of the weights is known"; "model" => %layout.model);
            }
            return;
        };
        let version = WeightsVersion(version);
        if self.download.borrow().as_ref().is_some_and(|download| download.version >= version) {
            return;
        }
        info!(self.log, "downloading weights"; "version" => version.0,
            "serving" => self.serving_version().map_or(0, |v| v.0));
        let seed = u64::from(self.ip.to_bits()) ^ self.run_id;
        let mut scheduler =
            FetchScheduler::new(self.settings.fetch, self.ip, layout.pieces, seed, now());
        for (ip, (_, at)) in self.neighbours.borrow().iter() {
            scheduler.mark_alive(*ip, *at);
        }
        let named_at = named.filter(|(v, _)| *v == version).map(|(_, named_at)| named_at);
        *self.download.borrow_mut() = Some(Download {
            version,
            named_at,
            digests: None,
            list_revision: 0,
            doubts: ListDoubts::default(),
            newer_list: None,
            pieces: vec![None; layout.pieces as usize],
            staged: PieceSet::default(),
            scheduler,
            staged_at: None,
            current: watch::Sender::default(),
        });
        // Peers that wait for a piece of the version before get no more of it here.
        self.piece_arrived.notify_waiters();
        self.update_scheduler_members();
        self.fetch_wakeup.notify_one();
        self.inventory_wakeup.notify_one();
    }

    /// Passes the members of the relevant zones to the fetch scheduler.
    pub(crate) fn update_scheduler_members(&self) {
        let fleet = self.fleet();
        if let Some(download) = self.download.borrow_mut().as_mut() {
            let (zone, origin) = (fleet.zone_members.clone(), fleet.origin_zone_members.clone());
            download.scheduler.set_members(zone, origin);
        }
    }

    /// Whether the newest weights are on this VM but not yet served by the endpoint.
    pub(crate) fn has_pending_load(&self) -> bool {
        let open = self.open_orders.borrow().current().map(|order| order.weights.version);
        let download = self.download.borrow();
        let serving = self.serving_version();
        download.as_ref().is_some_and(|download| {
            open.is_some_and(|open| open < download.version)
                || download.scheduler.is_complete() && serving.is_none_or(|v| v < download.version)
        })
    }

    /// Whether pieces of the newest weights are still missing on this VM.
    pub(crate) fn is_downloading(&self) -> bool {
        self.download.borrow().as_ref().is_some_and(|d| !d.scheduler.is_complete())
    }

    /// The last reported states of the other endpoints of the zone.
    pub(crate) fn zone_peers(&self, version: WeightsVersion) -> Vec<PeerStatus> {
        let now = now();
        let neighbours = self.neighbours.borrow();
        let is_fresh = |at: &Instant| now.saturating_duration_since(*at) < NEIGHBOUR_TIMEOUT;
        let fresh = neighbours.iter().filter(|(_, (_, at))| is_fresh(at));
        let peer = |(ip, (inventory, _)): (&Ipv4Addr, &(Inventory, Instant))| PeerStatus {
            ip: *ip,
            loading: inventory.loading,
            updated: inventory.serving.is_some_and(|serving| serving >= version.0),
            staged: inventory.staged && inventory.version == version.0,
        };
        fresh.map(peer).collect()
    }

    /// The VMs of this zone that get inventory messages.
    pub(crate) fn inventory_recipients(&self) -> Vec<Ipv4Addr> {
        self.fleet.borrow().successors(self.ip).take(self.settings.max_neighbours).collect()
    }
}
