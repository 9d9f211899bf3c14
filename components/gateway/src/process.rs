//! The process: listeners, tasks, signals and the planned stop.

use std::{net::SocketAddr, path::PathBuf, rc::Rc, time::Duration};

use anyhow::Context;
use catalog::{Process, Serves};
use directory::{Reader, ReaderSettings};
use dispatch::{DispatchSettings, Dispatcher, RepeatSettings};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use peering::PeerSocket;
use platform::{READY_PATH, store::Part};
use slog::{Logger, info, warn};
use telemetry::{Lines, MetricsPage};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::spawn_local,
    time::sleep,
};
use transport::{AcceptSettings, Pool, PoolSettings, Server, Stop, serve};

use crate::{
    answer::{AnswerBody, own},
    settings::GatewaySettings,
    shared::Gateway,
    stopping::Stopping,
};

/// Descriptors that are left for other things than callers' connections.
const SPARE_DESCRIPTORS: u64 = 1000;
/// Most connections of peers and of the platform.
const INNER_CONNECTIONS: usize = 256;
/// Time between flushes of log lines.
const FLUSH_EVERY: Duration = Duration::from_millis(250);
/// Time between looks at the settings file.
const SETTINGS_EVERY: Duration = Duration::from_secs(2);
/// Path of the page of metrics.
const METRICS_PATH: &str = "/metrics";
/// Time between clean-ups of metrics.
const UPKEEP_EVERY: Duration = Duration::from_secs(5);
/// Time between looks at whether a process that stops is idle.
const IDLE_EVERY: Duration = Duration::from_millis(50);

/// Settings that follow from those of the process.
fn dispatch_settings(process: &Process) -> DispatchSettings {
    let bounds = process.bounds;
    let repeats = RepeatSettings {
        ratio: bounds.retry_ratio,
        extra: bounds.retry_extra,
        window: bounds.retry_window,
        ..RepeatSettings::default()
    };
    let relist = bounds.relist;
    DispatchSettings { repeats, relist, ..DispatchSettings::default() }
}

/// Runs the process until a signal stops it. `file` holds the settings that `process` was read from.
pub async fn run(
    file: PathBuf,
    process: Process,
    log: Logger,
    lines: Lines,
    metrics: MetricsPage,
) -> anyhow::Result<()> {
    let dispatch = dispatch_settings(&process);
    let settings = GatewaySettings { dispatch, ..GatewaySettings::default() };
    let peers = process.peer_addr(process.ip.into());
    let socket = PeerSocket::bind(peers).await.with_context(|| format!("bind {peers}"))?;
    let zones = process.zones.clone();
    let dispatcher = Dispatcher::new(settings.dispatch, process.zone.clone(), zones);
    let pool = Pool::new(PoolSettings::default());
    info!(log, "start"; "version" => env!("CARGO_PKG_VERSION"), "zone" => %process.zone,
        "ip" => %process.ip, "store" => %process.store);
    let gateway = Gateway::new(settings, process, dispatcher, pool, socket, log, metrics);
    let gateway = Rc::new(gateway);
    let (stop, stopped) = watch::channel(Stop::Accepting);
    gateway.clone().listen(&stopped).await?;
    gateway.clone().start_tasks(lines.clone(), file);
    gateway.stop(&stop).await?;
    lines.flush();
    sleep(IDLE_EVERY).await;
    Ok(())
}

impl Gateway {
    async fn listen(self: Rc<Gateway>, stopped: &watch::Receiver<Stop>) -> anyhow::Result<()> {
        let process = self.process.borrow().clone();
        if process.serves.contains(&Serves::Callers) {
            let callers = process.callers.context("settings name no address for callers")?;
            let gateway = self.clone();
            self.accept(callers, self.caller_settings(), stopped, move |request| {
                gateway.clone().serve(request)
            })
            .await?;
        }
        let ready = [process.ready, process.control].into_iter().flatten();
        for addr in ready {
            let gateway = self.clone();
            self.accept(addr, inner_settings(), stopped, move |request| {
                gateway.clone().ready_call(request)
            })
            .await?;
        }
        let gateway = self.clone();
        let peers = process.peer_addr(process.ip.into());
        self.accept(peers, inner_settings(), stopped, move |request| {
            gateway.clone().peer_call(request)
        })
        .await?;
        let gateway = self.clone();
        let metrics = SocketAddr::new(process.ip.into(), self.settings.metrics_port);
        let accepted = self.accept(metrics, inner_settings(), stopped, move |request| {
            gateway.clone().metrics_call(request)
        });
        if let Err(err) = accepted.await {
            // Requests are served without the page too.
            warn!(self.log, "no page of metrics"; "error" => format!("{err:#}"));
        }
        Ok(())
    }

    async fn accept<H, F>(
        &self,
        addr: SocketAddr,
        settings: AcceptSettings,
        stopped: &watch::Receiver<Stop>,
        handle: H,
    ) -> anyhow::Result<()>
    where
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Response<AnswerBody>> + 'static,
    {
        let listener = TcpListener::bind(addr).await.with_context(|| format!("bind {addr}"))?;
        let server = Rc::new(Server::default());
        let handle = move |request, _| handle(request);
        spawn_local(serve(listener, settings, stopped.clone(), server, handle));
        Ok(())
    }

    fn caller_settings(&self) -> AcceptSettings {
        let descriptors = self.process.borrow().limits.descriptors;
        let connections = descriptors.saturating_sub(SPARE_DESCRIPTORS).max(descriptors / 2);
        AcceptSettings {
            header_bytes: 32 << 10,
            // Callers use a connection that was idle for most of the operator's limit.
            idle: Duration::from_secs(75),
            connections: connections as usize,
            probe_after: Duration::from_secs(2),
        }
    }

    fn start_tasks(self: Rc<Gateway>, lines: Lines, file: PathBuf) {
        let reader = Reader::new(self.process.borrow().store, ReaderSettings::default());
        let reader = Rc::new(reader);
        for part in [Part::Operator, Part::Endpoints] {
            let follower = crate::follow::Follower::new(self.clone(), reader.clone(), part);
            spawn_local(follower.run());
        }
        spawn_local(self.clone().subscribe_loop());
        spawn_local(self.clone().receive_loop());
        spawn_local(self.clone().refusals_loop());
        spawn_local(self.clone().upkeep_loop(lines));
        spawn_local(self.reload_loop(file));
    }

    async fn upkeep_loop(self: Rc<Gateway>, lines: Lines) {
        let mut upkeep = tokio::time::Instant::now();
        loop {
            sleep(FLUSH_EVERY).await;
            lines.flush();
            let dropped = self.dispatcher.borrow_mut().drop_lapsed(crate::shared::now());
            self.endpoints_changed(dropped);
            if upkeep.elapsed() >= UPKEEP_EVERY {
                upkeep = tokio::time::Instant::now();
                self.metrics.upkeep();
            }
        }
    }

    /// Takes up changes of the settings file, with a signal or without.
    async fn reload_loop(self: Rc<Gateway>, file: PathBuf) {
        let Ok(mut hangup) = signal(SignalKind::hangup()) else {
            warn!(self.log, "SIGHUP cannot be received");
            return;
        };
        let mut last = String::new();
        loop {
            let asked = tokio::time::timeout(SETTINGS_EVERY, hangup.recv()).await.is_ok();
            let text = match std::fs::read_to_string(&file) {
                Ok(text) => text,
                Err(err) => {
                    warn!(self.log, "settings cannot be read"; "error" => %err);
                    continue;
                }
            };
            if text == last && !asked {
                continue;
            }
            self.reload(&text);
            last = text;
        }
    }

    fn reload(&self, text: &str) {
        match platform::decode_settings(text) {
            Ok(process) => {
                if *self.process.borrow() != process {
                    info!(self.log, "reload"; "outcome" => "changed");
                    let settings = dispatch_settings(&process).repeats;
                    self.dispatcher.borrow_mut().repeats.set(settings);
                    *self.process.borrow_mut() = process;
                }
            }
            Err(err) => {
                warn!(self.log, "reload"; "outcome" => "kept the old settings", "error" => %err);
            }
        }
    }

    async fn ready_call(self: Rc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
        let status = match request.uri().path() {
            READY_PATH if self.is_ready() => StatusCode::OK,
            READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        own(status, None, None)
    }

    async fn metrics_call(self: Rc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
        if request.uri().path() != METRICS_PATH {
            return own(StatusCode::NOT_FOUND, None, None);
        }
        Response::new(AnswerBody::Whole(Some(self.metrics.render().into())))
    }

    /// Waits for the signal to stop, and until requests in progress have ended.
    async fn stop(&self, stop: &watch::Sender<Stop>) -> anyhow::Result<()> {
        let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        let bounds = self.process.borrow().bounds;
        let started = tokio::time::Instant::now();
        self.stopping.set(Some(Stopping::new(started.into_std(), bounds.grace)));
        info!(self.log, "stop"; "busy" => self.busy.get());
        let end = bounds.grace.saturating_sub(self.settings.grace_margin);
        sleep(self.settings.leave_notice.min(end)).await;
        stop.send_replace(Stop::Closing);
        // Connections get a moment to read what is on its way.
        sleep(IDLE_EVERY).await;
        while self.busy.get() > 0 && started.elapsed() < end {
            sleep(IDLE_EVERY).await;
        }
        info!(self.log, "stopped"; "busy" => self.busy.get());
        Ok(())
    }
}

fn inner_settings() -> AcceptSettings {
    AcceptSettings {
        header_bytes: 16 << 10,
        idle: Duration::from_secs(30),
        connections: INNER_CONNECTIONS,
        probe_after: Duration::from_secs(2),
    }
}
