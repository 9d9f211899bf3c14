//! Accepts connections and serves requests on them.

use std::{
    cell::Cell, convert::Infallible, future::Future, net::SocketAddr, pin::pin, rc::Rc,
    time::Duration,
};

use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::spawn_local,
};

/// Pause after an error of accepting, such as no descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bounds of the connections of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptSettings {
    /// Most bytes of a request's head.
    pub max_header_bytes: usize,
    /// Longest time until the head of the next request is there, idle time included.
    pub idle_timeout: Duration,
    /// Most connections at a time; further ones are closed at once.
    pub max_connections: usize,
    /// Time after which a silent caller is probed.
    pub keepalive_time: Duration,
}

/// The least buffer that hyper accepts.
const LEAST_BUFFER: usize = 8192;

/// Steps of a planned stop.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StopPhase {
    /// Connections are accepted.
    #[default]
    Accepting,
    /// Idle connections are closed, others after their answer; new ones are still served.
    Closing,
}

/// Whether anything still runs on a listener's connections.
#[derive(Debug, Default)]
pub struct OpenConnections {
    connections: Cell<usize>,
}

impl OpenConnections {
    /// Open connections.
    pub fn count(&self) -> usize {
        self.connections.get()
    }
}

/// A body whose end the caller did not get, for errors of answers that break off.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off")]
pub struct ResponseAborted;

struct Guard(Rc<OpenConnections>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Serves requests of all connections until the task is dropped.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    settings: AcceptSettings,
    stop: watch::Receiver<StopPhase>,
    server: Rc<OpenConnections>,
    handle: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = bytes::Bytes, Error = ResponseAborted> + 'static,
{
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(_) => {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if server.connections.get() >= settings.max_connections {
            drop(stream);
            continue;
        }
        server.connections.set(server.connections.get() + 1);
        let guard = Guard(server.clone());
        let (handle, stop) = (handle.clone(), stop.clone());
        spawn_local(async move {
            let _guard = guard;
            connection(stream, peer, settings, stop, handle).await;
        });
    }
}

async fn connection<H, F, B>(
    stream: TcpStream,
    peer: SocketAddr,
    settings: AcceptSettings,
    mut stop: watch::Receiver<StopPhase>,
    handle: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = bytes::Bytes, Error = ResponseAborted> + 'static,
{
    // A connection without these options still serves.
    let _ = stream.set_nodelay(true);
    let keepalive = TcpKeepalive::new()
        .with_time(settings.keepalive_time)
        .with_interval(settings.keepalive_time)
        .with_retries(2);
    let _ = SockRef::from(&stream).set_tcp_keepalive(&keepalive);
    let service = service_fn(move |request| {
        let answer = handle(request, peer);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(settings.idle_timeout)
        .max_buf_size(settings.max_header_bytes.max(LEAST_BUFFER));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // Its errors are the caller's: it left, or sent what is no request.
        _ = connection.as_mut() => return,
        _ = stop.wait_for(|stop| *stop == StopPhase::Closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
