//! Listeners of a process and the metrics page.

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
use telemetry::MetricsHandle;
use tokio::{net::TcpListener, sync::watch, task::spawn_local};
use transport::{AcceptSettings, OpenConnections, ResponseAborted, StopPhase, serve};

/// Port of the metrics page, as stated in the deployment file.
const METRICS_PORT: u16 = 9464;
/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";
/// Maximum number of connections from peers or the platform per listener.
const MAX_INTERNAL_CONNECTIONS: usize = 256;

/// Settings of the listeners for peers and the platform.
pub fn internal_accept_settings(idle: Duration) -> AcceptSettings {
    AcceptSettings {
        max_header_bytes: 16 << 10,
        idle_timeout: idle,
        max_connections: MAX_INTERNAL_CONNECTIONS,
        keepalive_time: Duration::from_secs(2),
    }
}

/// Handles requests to `addr` with `handle` in a separate task until the process stops. Each connection gets
/// the limits that `settings` returns when it is accepted. Returns the count of the listener's connections. Fails if the address cannot be bound.
pub async fn listen<H, F, B>(
    addr: SocketAddr,
    settings: impl Fn() -> AcceptSettings + 'static,
    stopped: &watch::Receiver<StopPhase>,
    handle: H,
) -> anyhow::Result<Rc<OpenConnections>>
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes, Error = ResponseAborted> + 'static,
{
    let listener = TcpListener::bind(addr).await.with_context(|| format!("bind {addr}"))?;
    let handle = move |request, _| handle(request);
    let connections = Rc::new(OpenConnections::default());
    spawn_local(serve(listener, settings, stopped.clone(), connections.clone(), handle));
    Ok(connections)
}

/// Serves the metrics page. If its address cannot be bound, the process runs without it.
pub async fn serve_metrics(
    ip: IpAddr,
    idle: Duration,
    page: MetricsHandle,
    stopped: &watch::Receiver<StopPhase>,
    log: &Logger,
) {
    let addr = SocketAddr::new(ip, METRICS_PORT);
    let handler = move |request: Request<Incoming>| {
        let page = page.clone();
        async move { metrics_response(request.uri().path(), &page) }
    };
    let settings = move || internal_accept_settings(idle);
    if let Err(err) = listen(addr, settings, stopped, handler).await {
        warn!(log, "cannot serve the metrics page"; "error" => format!("{err:#}"));
    }
}

fn metrics_response(
    path: &str,
    page: &MetricsHandle,
) -> Response<impl Body<Data = Bytes, Error = ResponseAborted> + use<>> {
    let (status, text) = match path {
        METRICS_PATH => (StatusCode::OK, page.render()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
