//! The process: listeners, tasks and signals.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use base::ByteRate;
use catalog::Process;
use chunks::Link;
use directory::{Reader, ReaderSettings};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use peering::PeerSocket;
use slog::{Logger, info, warn};
use telemetry::{Lines, MetricsPage};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::{Notify, watch},
    task::spawn_local,
    time::sleep,
};
use transport::{AcceptSettings, Pool, PoolSettings, Server, Stop, serve};

use crate::{
    peers::{PeerBody, answer},
    settings::StagerSettings,
    shared::Stager,
};

/// Most connections of peers.
const CONNECTIONS: usize = 256;
/// Time between flushes of log lines.
const FLUSH_EVERY: Duration = Duration::from_millis(250);
/// Time between clean-ups.
const UPKEEP_EVERY: Duration = Duration::from_secs(5);
/// Time between looks at the settings file.
const SETTINGS_EVERY: Duration = Duration::from_secs(3);
/// Path of the page of metrics.
const METRICS_PATH: &str = "/metrics";

/// Runs the process until a signal stops it. `file` holds the settings that `process` was read from.
pub async fn run(
    file: PathBuf,
    process: Process,
    log: Logger,
    lines: Lines,
    metrics: MetricsPage,
) -> anyhow::Result<()> {
    let own = process.endpoint.clone().context("settings name no endpoint beside the process")?;
    let settings = StagerSettings::default();
    let peers = process.peer_addr(process.ip.into());
    let socket = PeerSocket::bind(peers).await.with_context(|| format!("bind {peers}"))?;
    info!(log, "start"; "version" => env!("CARGO_PKG_VERSION"), "zone" => %process.zone,
        "ip" => %process.ip, "endpoint" => %own.addr, "service" => %own.service);
    let reader = Reader::new(process.store, ReaderSettings::default());
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let stager = Rc::new(Stager {
        settings,
        own,
        ip: process.ip,
        run: since.as_millis() as u64,
        log,
        metrics,
        pool: Pool::new(PoolSettings::default()),
        link: RefCell::new(Link::new(upload_rate(&process, &settings))),
        socket,
        fleet: RefCell::default(),
        fleet_seen: Cell::default(),
        subscribers: RefCell::default(),
        neighbours: RefCell::default(),
        report: RefCell::default(),
        silent: Cell::default(),
        loading: Cell::default(),
        wanted: RefCell::default(),
        named: Cell::default(),
        fetch: Notify::new(),
        arrived: Notify::new(),
        load: Notify::new(),
        tell: Notify::new(),
        holding: Notify::new(),
        refresh: Notify::new(),
        number: Cell::default(),
        process: RefCell::new(process),
    });
    let (stop, stopped) = watch::channel(Stop::Accepting);
    stager.clone().listen(&stopped).await?;
    spawn_local(stager.clone().fleet_loop(reader));
    spawn_local(stager.clone().receive_loop());
    spawn_local(stager.clone().report_loop());
    spawn_local(stager.clone().tell_loop());
    spawn_local(stager.clone().holding_loop());
    spawn_local(stager.clone().fetch_loop());
    spawn_local(stager.clone().load_loop());
    spawn_local(stager.clone().reload_loop(file));
    spawn_local(stager.clone().upkeep_loop(lines.clone()));
    wait_for_stop().await?;
    stop.send_replace(Stop::Closing);
    info!(stager.log, "stopped");
    lines.flush();
    sleep(FLUSH_EVERY).await;
    Ok(())
}

/// The rate of what peers get.
fn upload_rate(process: &Process, settings: &StagerSettings) -> ByteRate {
    ByteRate((process.limits.link_bits / 8.0 * settings.upload_part) as u64)
}

async fn wait_for_stop() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

impl Stager {
    async fn listen(self: Rc<Stager>, stopped: &watch::Receiver<Stop>) -> anyhow::Result<()> {
        let peers = self.process.borrow().peer_addr(self.ip.into());
        let stager = self.clone();
        let call = move |request: Request<Incoming>, _| stager.clone().peer_call(request);
        self.accept(peers, stopped, call).await?;
        let metrics = SocketAddr::new(self.ip.into(), self.settings.metrics_port);
        let stager = self.clone();
        let call = move |request: Request<Incoming>, _| stager.clone().metrics_call(request);
        if let Err(err) = self.accept(metrics, stopped, call).await {
            // Weights are staged without the page too.
            warn!(self.log, "no page of metrics"; "error" => format!("{err:#}"));
        }
        Ok(())
    }

    async fn accept<H, F>(
        &self,
        addr: SocketAddr,
        stopped: &watch::Receiver<Stop>,
        handle: H,
    ) -> anyhow::Result<()>
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + 'static,
        F: Future<Output = Response<PeerBody>> + 'static,
    {
        let settings = AcceptSettings {
            header_bytes: 16 << 10,
            idle: self.peer_idle(),
            connections: CONNECTIONS,
            probe_after: Duration::from_secs(2),
        };
        let listener = TcpListener::bind(addr).await.with_context(|| format!("bind {addr}"))?;
        spawn_local(serve(listener, settings, stopped.clone(), Rc::new(Server::default()), handle));
        Ok(())
    }

    async fn metrics_call(self: Rc<Stager>, request: Request<Incoming>) -> Response<PeerBody> {
        match request.uri().path() {
            METRICS_PATH => answer(StatusCode::OK, self.metrics.render().into()),
            _ => answer(StatusCode::NOT_FOUND, bytes::Bytes::new()),
        }
    }

    async fn upkeep_loop(self: Rc<Stager>, lines: Lines) {
        let mut upkeep = tokio::time::Instant::now();
        loop {
            sleep(FLUSH_EVERY).await;
            lines.flush();
            if upkeep.elapsed() >= UPKEEP_EVERY {
                upkeep = tokio::time::Instant::now();
                self.metrics.upkeep();
                self.pool.sweep();
            }
        }
    }

    /// Takes up changes of the settings file, with a signal or without.
    async fn reload_loop(self: Rc<Stager>, file: PathBuf) {
        let Ok(mut hangup) = signal(SignalKind::hangup()) else {
            warn!(self.log, "SIGHUP cannot be received");
            return;
        };
        loop {
            // With the signal or without, the file is looked at.
            let _ = tokio::time::timeout(SETTINGS_EVERY, hangup.recv()).await;
            let read = std::fs::read_to_string(&file).map_err(anyhow::Error::from);
            match read.and_then(|text| Ok(platform::decode_settings(&text)?)) {
                Ok(process) if *self.process.borrow() != process => {
                    info!(self.log, "reload"; "outcome" => "changed");
                    *self.process.borrow_mut() = process;
                }
                Ok(_) => {}
                Err(err) => {
                    warn!(self.log, "reload"; "outcome" => "kept the old settings",
                        "error" => %err);
                }
            }
        }
    }
}
