//! Listeners of a process.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use slog::{Logger, warn};
use telemetry::MetricsPage;
use tokio::{net::TcpListener, sync::watch, task::spawn_local};
use transport::{AcceptSettings, Gone, Server, Stop, serve};

/// Port of the page of metrics, as the deploy file states it.
const METRICS_PORT: u16 = 9464;
/// Path of the page of metrics.
const METRICS_PATH: &str = "/metrics";
/// Most connections of peers or of the platform to one listener.
const INNER_CONNECTIONS: usize = 256;

/// Settings of listeners for peers and the platform.
pub fn internal_accept_settings(idle: Duration) -> AcceptSettings {
    AcceptSettings {
        header_bytes: 16 << 10,
        idle,
        connections: INNER_CONNECTIONS,
        probe_after: Duration::from_secs(2),
    }
}

/// Serves connections to `addr` by `handle`, in a task of its own, until the process stops. Fails if
/// the address cannot be bound.
pub async fn listen<H, F, B>(
    addr: SocketAddr,
    settings: AcceptSettings,
    stopped: &watch::Receiver<Stop>,
    handle: H,
) -> anyhow::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes, Error = Gone> + 'static,
{
    let listener = TcpListener::bind(addr).await.with_context(|| format!("bind {addr}"))?;
    let handle = move |request, _| handle(request);
    spawn_local(serve(listener, settings, stopped.clone(), Rc::new(Server::default()), handle));
    Ok(())
}

/// Serves the page of metrics. A process goes on without it.
pub async fn serve_metrics(
    ip: IpAddr,
    idle: Duration,
    page: MetricsPage,
    stopped: &watch::Receiver<Stop>,
    log: &Logger,
) {
    let addr = SocketAddr::new(ip, METRICS_PORT);
    let call = move |request: Request<Incoming>| {
        let page = page.clone();
        async move { metrics(request.uri().path(), &page) }
    };
    if let Err(err) = listen(addr, internal_accept_settings(idle), stopped, call).await {
        warn!(log, "no page of metrics"; "error" => format!("{err:#}"));
    }
}

fn metrics(
    path: &str,
    page: &MetricsPage,
) -> Response<impl Body<Data = Bytes, Error = Gone> + use<>> {
    let (status, text) = match path {
        METRICS_PATH => (StatusCode::OK, page.render()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
