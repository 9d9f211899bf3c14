//! The gateway process: listeners, tasks, signals and graceful shutdown.

use std::{path::PathBuf, rc::Rc, time::Duration};

use anyhow::Context;
use catalog::{ProcessRole, ProcessSettings};
use directory::{StoreReader, StoreReaderSettings};
use dispatch::{ColdSettings, DispatchSettings, Dispatcher, RetrySettings};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use lifecycle::{
    SettingsFile, internal_accept_settings, listen, run_maintenance, serve_metrics,
    wait_for_stop_signal,
};
use peering::PeerSocket;
use platform::READY_PATH;
use slog::{Logger, info};
use telemetry::{LogBuffer, MetricsHandle};
use tokio::{
    sync::watch,
    task::spawn_local,
    time::{sleep, sleep_until, timeout},
};
use transport::{AcceptSettings, ConnectionPool, OpenConnections, PoolSettings, StopPhase};

use crate::{
    change_origin::ChangeOrigin,
    response::{ResponseBody, own_response},
    settings::GatewaySettings,
    shutdown::Shutdown,
    state::{Gateway, now},
};

/// File descriptors reserved for other purposes than callers' connections.
const RESERVED_DESCRIPTORS: u64 = 1000;
/// Idle timeout of connections from peers and from the platform.
const INTERNAL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks whether a process that shuts down is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time until the last refusals are written, once requests are no longer accepted.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time in which the last lines of the log are written.
const LOG_WRITE_TIME: Duration = Duration::from_millis(50);

/// Open connections of the process's listeners.
struct Listeners {
    callers: Rc<OpenConnections>,
    /// Connections of peers and of the platform.
    internal: Vec<Rc<OpenConnections>>,
}

impl Listeners {
    /// Returns the number of open connections.
    fn connection_count(&self) -> usize {
        let internal: usize = self.internal.iter().map(|connections| connections.count()).sum();
        self.callers.count() + internal
    }
}

/// Derives the dispatcher's settings from the process settings.
fn dispatch_settings(process: &ProcessSettings) -> DispatchSettings {
    let bounds = process.bounds;
    let retries = RetrySettings {
        ratio: bounds.retry_ratio,
        extra: bounds.retry_extra,
        window: bounds.retry_window,
        ..RetrySettings::default()
    };
    let cold = ColdSettings {
        overage: bounds.cold_overage,
        slack: bounds.cold_slack,
        ..ColdSettings::default()
    };
    let relist_grace = bounds.relist_time;
    let own_ip = process.ip;
    DispatchSettings { own_ip, retries, cold, relist_grace, ..DispatchSettings::default() }
}

/// Runs the gateway until a signal stops it. `file` is the settings file from which `process` was read.
///
/// # Errors
///
/// Fails if an address cannot be bound or the settings lack the listen address for callers.
pub async fn run(
    file: PathBuf,
    process: ProcessSettings,
    log: Logger,
    lines: LogBuffer,
    metrics: MetricsHandle,
) -> anyhow::Result<()> {
    run_until(wait_for_stop_signal(), file, process, log, lines, metrics).await
}

/// Runs the gateway until `stopped` ends, and then shuts it down. Its tasks must end with this future.
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
    let dispatch = dispatch_settings(&process);
    let settings = GatewaySettings { dispatch, ..GatewaySettings::default() };
    let peers = process.peer_addr(process.ip.into());
    let socket = PeerSocket::bind(peers).await.with_context(|| format!("bind {peers}"))?;
    let zones = process.zone_regions.clone();
    let dispatcher = Dispatcher::new(settings.dispatch, process.zone.clone(), zones);
    let pool = ConnectionPool::new(PoolSettings::default());
    info!(log, "start"; "version" => env!("CARGO_PKG_VERSION"), "zone" => %process.zone,
        "ip" => %process.ip, "store" => %process.store_addr);
    let gateway = Gateway::new(settings, process, dispatcher, pool, socket, log, metrics);
    let gateway = Rc::new(gateway);
    let (stop, phase) = watch::channel(StopPhase::Accepting);
    let listeners = gateway.clone().listen(&phase).await?;
    gateway.clone().start_tasks(lines.clone(), file);
    stopped.await?;
    gateway.stop(&stop, &listeners).await;
    lines.flush();
    sleep(LOG_WRITE_TIME).await;
    Ok(())
}

impl Gateway {
    /// Starts all listeners and returns the counts of their connections.
    async fn listen(
        self: Rc<Gateway>,
        phase: &watch::Receiver<StopPhase>,
    ) -> anyhow::Result<Listeners> {
        let mut connections = Rc::default();
        let mut internal = Vec::new();
        let process = self.process.borrow().clone();
        let inner = || internal_accept_settings(INTERNAL_IDLE_TIMEOUT);
        if process.roles.contains(&ProcessRole::Callers) {
            let callers = process.caller_addr.context("settings name no address for callers")?;
            let gateway = self.clone();
            let call = move |request| gateway.clone().serve(request);
            let gateway = self.clone();
            let limits = move || gateway.caller_settings();
            connections = listen(callers, limits, phase, call).await?;
        }
        for addr in [process.readiness_addr, process.control_addr].into_iter().flatten() {
            let gateway = self.clone();
            let call = move |request| gateway.clone().handle_readiness_call(request);
            internal.push(listen(addr, inner, phase, call).await?);
        }
        let gateway = self.clone();
        let peers = process.peer_addr(process.ip.into());
        let call = move |request| gateway.clone().handle_peer_call(request);
        internal.push(listen(peers, inner, phase, call).await?);
        let page = self.metrics.clone();
        serve_metrics(process.ip.into(), INTERNAL_IDLE_TIMEOUT, page, phase, &self.log).await;
        Ok(Listeners { callers: connections, internal })
    }

    /// Returns the limits of the configuration for callers' connections.
    fn caller_settings(&self) -> AcceptSettings {
        let config = self.config.borrow();
        let limits = config.as_ref().map(|config| config.limits).unwrap_or_default();
        let descriptors = self.process.borrow().limits.file_descriptors;
        let connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(descriptors / 2);
        AcceptSettings {
            max_header_bytes: limits.max_header_bytes,
            // A request may begin at the end of the idle time.
            idle_timeout: limits.idle_timeout + limits.header_timeout,
            max_connections: connections as usize,
            keepalive_time: Duration::from_secs(2),
        }
    }

    fn start_tasks(self: Rc<Gateway>, lines: LogBuffer, file: PathBuf) {
        let store = self.process.borrow().store_addr;
        let settings = StoreReaderSettings::default();
        let reader = StoreReader::with_progress(store, settings, self.receiving.clone());
        spawn_local(crate::store_follower::StoreFollower::new(self.clone(), reader).run());
        spawn_local(self.clone().subscribe_loop());
        spawn_local(self.clone().receive_loop());
        spawn_local(self.clone().news_loop());
        spawn_local(self.clone().poll_loop());
        spawn_local(self.clone().follow_settings(file));
        let (gateway, page) = (self.clone(), self.metrics.clone());
        spawn_local(run_maintenance(lines, page, move || gateway.check_listed_endpoints(), || ()));
    }

    fn check_listed_endpoints(&self) {
        let dropped = self.dispatcher.borrow_mut().remove_lapsed(now());
        self.handle_endpoint_changes(dropped, ChangeOrigin::Timer);
        let taken_back = self.dispatcher.borrow_mut().end_unlisted_evacuations(now());
        self.handle_evacuation_changes(taken_back, ChangeOrigin::Timer);
        let Some(known_until) = self.store_progress.borrow().known_until() else { return };
        let readmitted = self.dispatcher.borrow_mut().readmit_listed(known_until, now());
        self.handle_endpoint_changes(readmitted, ChangeOrigin::Timer);
    }

    async fn follow_settings(self: Rc<Gateway>, file: PathBuf) {
        let process = self.process.borrow().clone();
        let changed = |process: ProcessSettings| {
            let settings = dispatch_settings(&process);
            let mut dispatcher = self.dispatcher.borrow_mut();
            dispatcher.retry_budget.set_settings(settings.retries);
            dispatcher.set_cold_settings(settings.cold);
            drop(dispatcher);
            *self.process.borrow_mut() = process;
        };
        SettingsFile::new(file, process).watch(self.log.clone(), changed).await;
    }

    async fn handle_readiness_call(
        self: Rc<Gateway>,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let status = match request.uri().path() {
            READY_PATH if self.is_ready() => StatusCode::OK,
            READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        own_response(status, None, None)
    }

    /// Waits until requests in progress have ended and their responses are written, or the grace period is
    /// nearly over, and closes all listeners and connections.
    async fn stop(&self, stop: &watch::Sender<StopPhase>, listeners: &Listeners) {
        let bounds = self.process.borrow().bounds;
        let shutdown = Shutdown::new(now(), bounds.grace_period, self.settings.grace_margin);
        let close_at = shutdown.end().min(now() + self.settings.shutdown_accept_time);
        self.stopping.set(Some(shutdown));
        info!(self.log, "stop"; "busy" => self.in_flight.get());
        let finishing = async {
            sleep_until(close_at.into()).await;
            stop.send_replace(StopPhase::Closing);
            // Leaves connections a moment to read requests that are already on their way.
            sleep(IDLE_POLL_INTERVAL).await;
            let is_busy = || self.in_flight.get() > 0 || listeners.callers.used_count() > 0;
            while is_busy() && now() < shutdown.end() {
                sleep(IDLE_POLL_INTERVAL).await;
            }
        };
        tokio::select! {
            () = finishing => {}
            () = self.announce_stages(shutdown) => {}
        }
        // Nothing is awaited since the process was seen idle: no request can begin in between.
        self.stopping.set(Some(shutdown.refusing_all(now())));
        stop.send_replace(StopPhase::Ending);
        info!(self.log, "stopped"; "busy" => self.in_flight.get(),
            "connections" => listeners.callers.used_count());
        self.wait_until_closed(listeners).await;
    }

    /// Waits until all connections are closed, so that callers whose requests came too late get a refusal.
    async fn wait_until_closed(&self, listeners: &Listeners) {
        // Peers that wait for changes are answered that none will come from here.
        self.store_changed.notify_waiters();
        let closing = async {
            // The listeners still accept the connections that were established before.
            sleep(IDLE_POLL_INTERVAL).await;
            while listeners.connection_count() > 0 {
                sleep(IDLE_POLL_INTERVAL).await;
            }
        };
        if timeout(CLOSE_TIMEOUT, closing).await.is_err() {
            info!(self.log, "connections not closed in time"; "count" => listeners.connection_count());
        }
    }
}
