//! The stager process: listeners, tasks and signals.

use std::{
    cell::{Cell, RefCell},
    path::PathBuf,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use base::ByteRate;
use catalog::ProcessSettings;
use chunks::LinkLimiter;
use directory::{StoreReader, StoreReaderSettings};
use http::Request;
use hyper::body::Incoming;
use lifecycle::{
    BootTime, FLUSH_INTERVAL, Pauses, SettingsFile, internal_accept_settings, listen,
    run_maintenance, serve_metrics, wait_for_stop_signal,
};
use peering::PeerSocket;
use slog::{Logger, info};
use telemetry::{LogBuffer, MetricsHandle};
use tokio::{
    sync::{Notify, watch},
    task::spawn_local,
    time::{sleep, timeout},
};
use transport::{ConnectionPool, OpenConnections, PoolSettings, StopPhase};

use crate::{
    settings::StagerSettings,
    shared::{MAX_FLUSH_GAP, Stager, now},
};

/// Interval between checks whether a process that stops is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time until the order that was sent is answered and peers have what they asked for, once the
/// process is told to stop.
const FINISH_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time until the last connections are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs the process until a signal stops it. `file` is the settings file that `process` was read
/// from.
///
/// # Errors
///
/// Fails if an address cannot be bound or the settings name no endpoint on this VM.
pub async fn run(
    file: PathBuf,
    process: ProcessSettings,
    log: Logger,
    lines: LogBuffer,
    metrics: MetricsHandle,
) -> anyhow::Result<()> {
    run_until(wait_for_stop_signal(), file, process, log, lines, metrics).await
}

/// Runs the process until `stopped` ends, and then shuts it down. Its tasks must end with this future.
///
/// # Errors
///
/// Fails like [`run`], or if `stopped` does.
pub async fn run_until(
    stopped: impl Future<Output = anyhow::Result<()>>,
    file: PathBuf,
    process: ProcessSettings,
    log: Logger,
    lines: LogBuffer,
    metrics: MetricsHandle,
) -> anyhow::Result<()> {
    let endpoint = process.endpoint.clone().context("the settings name no endpoint on this VM")?;
    let settings = StagerSettings::default();
    let peers = process.peer_addr(process.ip.into());
    let socket = PeerSocket::bind(peers).await.with_context(|| format!("bind {peers}"))?;
    info!(log, "start"; "version" => env!("CARGO_PKG_VERSION"), "zone" => %process.zone,
        "ip" => %process.ip, "endpoint" => %endpoint.addr, "service" => %endpoint.service);
    let reader = StoreReader::new(process.store_addr, StoreReaderSettings::default());
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let stager = Rc::new(Stager {
        settings,
        endpoint,
        ip: process.ip,
        run_id: started.as_millis() as u64,
        log,
        metrics,
        pool: ConnectionPool::new(PoolSettings::default()),
        link: RefCell::new(LinkLimiter::new(upload_rate(&process, &settings))),
        socket,
        fleet: RefCell::default(),
        announcing_gateway: Cell::default(),
        subscribers: RefCell::default(),
        neighbours: RefCell::default(),
        report: RefCell::default(),
        reported_at: Cell::default(),
        failed_polls: Cell::default(),
        backoffs: RefCell::default(),
        loading: Cell::default(),
        ordering: Cell::default(),
        stopping: Cell::default(),
        download: RefCell::default(),
        uploads: Cell::default(),
        open_orders: RefCell::default(),
        read_limit: Cell::default(),
        looked_back: Cell::default(),
        version_missing: Cell::default(),
        named: RefCell::default(),
        pauses: RefCell::new(Pauses::new(MAX_FLUSH_GAP, now(), BootTime::now())),
        fetch_wakeup: Notify::new(),
        piece_arrived: Notify::new(),
        load_wakeup: Notify::new(),
        report_wakeup: Notify::new(),
        inventory_wakeup: Notify::new(),
        fleet_wakeup: Notify::new(),
        report_number: Cell::default(),
        process: RefCell::new(process),
    });
    let (stop, phase) = watch::channel(StopPhase::Accepting);
    let peers = stager.clone().listen(&phase).await?;
    spawn_local(stager.clone().fleet_loop(reader));
    spawn_local(stager.clone().receive_loop());
    spawn_local(stager.clone().poll_loop());
    spawn_local(stager.clone().report_loop());
    spawn_local(stager.clone().inventory_loop());
    spawn_local(stager.clone().fetch_loop());
    spawn_local(stager.clone().load_loop());
    spawn_local(stager.clone().watch_settings(file));
    let (observer, pool, page) = (stager.clone(), stager.clone(), stager.metrics.clone());
    spawn_local(run_maintenance(
        lines.clone(),
        page,
        move || observer.observe_pauses(),
        move || pool.pool.close_expired(),
    ));
    stopped.await?;
    stager.stop(&stop, &peers).await;
    lines.flush();
    sleep(FLUSH_INTERVAL).await;
    Ok(())
}

/// Waits while a condition holds, for some time at the most. Returns whether it holds no longer.
async fn wait_while(condition: impl Fn() -> bool, limit: Duration) -> bool {
    let waiting = async {
        sleep(IDLE_POLL_INTERVAL).await;
        while condition() {
            sleep(IDLE_POLL_INTERVAL).await;
        }
    };
    timeout(limit, waiting).await.is_ok()
}

/// The rate limit for uploads to peers.
fn upload_rate(process: &ProcessSettings, settings: &StagerSettings) -> ByteRate {
    ByteRate((process.limits.link_bits_per_second / 8.0 * settings.upload_fraction) as u64)
}

impl Stager {
    /// Starts all listeners and returns the count of peers' connections.
    async fn listen(
        self: Rc<Stager>,
        phase: &watch::Receiver<StopPhase>,
    ) -> anyhow::Result<Rc<OpenConnections>> {
        let peers = self.process.borrow().peer_addr(self.ip.into());
        let stager = self.clone();
        let handler = move |request: Request<Incoming>| stager.clone().handle_peer_request(request);
        let idle = self.peer_idle_timeout();
        let settings = move || internal_accept_settings(idle);
        let connections = listen(peers, settings, phase, handler).await?;
        let page = self.metrics.clone();
        serve_metrics(self.ip.into(), self.peer_idle_timeout(), page, phase, &self.log).await;
        Ok(connections)
    }

    /// Begins no load any more, and waits a while until the order that was sent is answered and peers have
    /// what they asked for. Then closes all listeners and connections.
    async fn stop(&self, stop: &watch::Sender<StopPhase>, peers: &OpenConnections) {
        self.stopping.set(true);
        // Peers that wait for a piece ask another stager.
        self.piece_arrived.notify_waiters();
        stop.send_replace(StopPhase::Closing);
        info!(self.log, "stop"; "ordering" => self.ordering.get());
        let is_busy = || self.ordering.get() || peers.used_count() > 0;
        let grace_period = self.process.borrow().bounds.grace_period;
        let is_finished = wait_while(is_busy, FINISH_TIMEOUT.min(grace_period / 2)).await;
        stop.send_replace(StopPhase::Ending);
        let is_closed = wait_while(|| peers.count() > 0, CLOSE_TIMEOUT).await;
        info!(self.log, "stopped"; "finished" => is_finished, "closed" => is_closed);
    }

    async fn watch_settings(self: Rc<Stager>, file: PathBuf) {
        let process = self.process.borrow().clone();
        let on_change = |process: ProcessSettings| {
            self.link.borrow_mut().set_rate(upload_rate(&process, &self.settings));
            *self.process.borrow_mut() = process;
        };
        SettingsFile::new(file, process).watch(self.log.clone(), on_change).await;
    }
}
