//! HTTP server: accepts connections and serves requests on them.

use std::{
    cell::Cell,
    convert::Infallible,
    future::{Future, poll_fn},
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
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
    task::{spawn_local, yield_now},
};

use crate::{
    caller_stream::{CallerStream, CallerWatch},
    write_timeout::WriteTimeout,
};

/// Pause after a failed accept, for example because no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Limits for the connections of a listener. Each connection keeps those that were in force when it was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptSettings {
    /// Maximum size of a request's head in bytes, in whatever number of headers.
    pub max_header_bytes: usize,
    /// Maximum time until the head of the next request is received, including idle time, and for which a peer
    /// may read nothing of a response.
    pub idle_timeout: Duration,
    /// Maximum number of open connections. Further ones are closed immediately.
    pub max_connections: usize,
    /// Idle time after which keepalive probes are sent, and the interval between them.
    pub keepalive_time: Duration,
}

/// Size in bytes of the buffer from which requests are read, unless heads may be larger.
const READ_BUFFER_BYTES: usize = 32 << 10;
/// Size in bytes of the shortest header.
const MIN_HEADER_BYTES: usize = "a:\r\n".len();

/// Phases of a graceful shutdown, in their order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// Normal operation: connections are accepted.
    #[default]
    Accepting,
    /// Idle connections are closed now, others after their response. New connections still serve one
    /// request each.
    Closing,
    /// The listener is closed once the connections that are already established are accepted. All
    /// connections without a request are closed.
    Ending,
}

/// Waits until the shutdown has reached a phase.
async fn reached(stop: &mut watch::Receiver<StopPhase>, phase: StopPhase) {
    // Fails only if the process ends.
    let _ = stop.wait_for(|current| *current >= phase).await;
    // The runtime learns which connections and bytes have arrived, so that these are still handled.
    yield_now().await;
}

/// Counts the open connections of a listener.
#[derive(Debug, Default)]
pub struct OpenConnections {
    connections: Cell<usize>,
    /// Connections on which a request arrived.
    used: Cell<usize>,
}

impl OpenConnections {
    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.connections.get()
    }

    /// Returns the number of open connections on which a request arrived. Once the others are closed
    /// in [`StopPhase::Closing`], these are the ones whose last response is not written completely.
    pub fn used_count(&self) -> usize {
        self.used.get()
    }
}

/// Error of a response body that ends before it is complete.
#[derive(Debug, thiserror::Error)]
#[error("the response was aborted")]
pub struct ResponseAborted;

/// Counts one connection while it is open.
struct ConnectionGuard {
    server: Rc<OpenConnections>,
    is_used: Cell<bool>,
}

impl ConnectionGuard {
    fn new(server: Rc<OpenConnections>) -> ConnectionGuard {
        server.connections.set(server.connections.get() + 1);
        ConnectionGuard { server, is_used: Cell::new(false) }
    }

    /// Records that a request arrived.
    fn set_used(&self) {
        if !self.is_used.replace(true) {
            self.server.used.set(self.server.used.get() + 1);
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let server = &self.server;
        server.connections.set(server.connections.get() - 1);
        server.used.set(server.used.get() - usize::from(self.is_used.get()));
    }
}

/// Accepts connections until [`StopPhase::Ending`] and serves their requests.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    settings: impl Fn() -> AcceptSettings,
    mut stop: watch::Receiver<StopPhase>,
    server: Rc<OpenConnections>,
    handle: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = bytes::Bytes, Error = ResponseAborted> + 'static,
{
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = reached(&mut stop, StopPhase::Ending) => return,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(_) => {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let settings = settings();
        if server.connections.get() >= settings.max_connections {
            drop(stream);
            continue;
        }
        let guard = ConnectionGuard::new(server.clone());
        let (handle, stop) = (handle.clone(), stop.clone());
        spawn_local(async move {
            let handle = |request| {
                guard.set_used();
                handle(request, peer)
            };
            serve_connection(stream, settings, stop, handle).await;
        });
    }
}

async fn serve_connection<H, F, B>(
    stream: TcpStream,
    settings: AcceptSettings,
    mut stop: watch::Receiver<StopPhase>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = bytes::Bytes, Error = ResponseAborted> + 'static,
{
    // The connection is usable without these options, so errors are ignored.
    let _ = stream.set_nodelay(true);
    let keepalive = TcpKeepalive::new()
        .with_time(settings.keepalive_time)
        .with_interval(settings.keepalive_time)
        .with_retries(2);
    let _ = SockRef::from(&stream).set_tcp_keepalive(&keepalive);
    let (stream, watch) = CallerStream::new(stream);
    let service = service_fn(|request: Request<Incoming>| {
        watch.record_request(request.version());
        let response = handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The stream itself finds out whether the caller has left.
        .half_close(true)
        .header_read_timeout(settings.idle_timeout)
        .max_header_size(settings.max_header_bytes)
        .max_headers(settings.max_header_bytes / MIN_HEADER_BYTES)
        .max_buf_size(settings.max_header_bytes.max(READ_BUFFER_BYTES));
    // A connection that is accepted while the process closes the others serves one request.
    let close_in = match *stop.borrow() {
        StopPhase::Accepting => StopPhase::Closing,
        StopPhase::Closing | StopPhase::Ending => StopPhase::Ending,
    };
    builder.keep_alive(close_in == StopPhase::Closing);
    let stream = WriteTimeout::new(stream, settings.idle_timeout);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut left = pin!(watch.left());
    let ended = tokio::select! {
        biased;
        ended = drive(connection.as_mut(), &watch) => Some(ended),
        () = left.as_mut() => return,
        () = reached(&mut stop, close_in) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                ended = drive(connection.as_mut(), &watch) => ended,
                () = left.as_mut() => return,
            }
        }
    };
    watch.record_end(&ended);
}

/// Runs a connection and records whenever it may read.
async fn drive<C: Future>(mut connection: Pin<&mut C>, watch: &CallerWatch) -> C::Output {
    poll_fn(|cx| {
        watch.record_poll();
        connection.as_mut().poll(cx)
    })
    .await
}
