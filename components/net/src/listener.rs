//! HTTP listeners. Connections are served on I/O threads, and each request is handled on its own
//! thread, where it may block.

use std::{
    io::Write,
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use anyhow::Context;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::{Builder, Handle, Runtime},
    sync::{oneshot, watch},
};

use transport::{CloseControl, ResettableStream};

use crate::{
    HandlerTracker, Latch, Request, Response,
    response::{self, Body},
};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Interval at which the stop latch is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Stack size of a request handler thread.
const STACK_BYTES: usize = 256 << 10;
/// Number of I/O threads, shared by all listeners of the process.
const IO_THREADS: usize = 4;
/// Response to a connection above the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: 1\r\n\
    x-outcome: not-run\r\ncontent-type: application/json\r\ncontent-length: 86\r\n\r\n\
    {\"error\":{\"message\":\"too many connections are open; retry in 1s\",\"outcome\":\"not-run\"}}";

/// Accepts requests on one address.
pub struct Listener {
    listener: std::net::TcpListener,
    addr: SocketAddr,
    idle: Duration,
    limit: usize,
}

type Handler = dyn Fn(Request) + Send + Sync;

/// State shared by the connections of a listener.
#[derive(Clone)]
struct ConnectionContext {
    handle: Arc<Handler>,
    handlers: HandlerTracker,
    idle: Duration,
    limit: usize,
    stopping: watch::Receiver<bool>,
}

/// Returns the runtime of the I/O threads and starts it on first use.
fn io_threads() -> &'static Handle {
    static THREADS: OnceLock<Runtime> = OnceLock::new();
    let start = || {
        let threads = Builder::new_multi_thread().worker_threads(IO_THREADS).enable_all().build();
        threads.expect("threads can be started at the start of the process")
    };
    THREADS.get_or_init(start).handle()
}

impl Listener {
    /// Listens on `addr`. `idle` limits each wait for the caller to send or receive bytes, and
    /// `limit` the number of open connections.
    pub fn bind(addr: SocketAddr, idle: Duration, limit: usize) -> anyhow::Result<Listener> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&addr.into()).with_context(|| format!("{addr}: cannot be bound"))?;
        socket.listen(BACKLOG)?;
        let listener: std::net::TcpListener = socket.into();
        let addr = listener.local_addr()?;
        Ok(Listener { listener, addr, idle, limit })
    }

    /// Returns the listen address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Handles each request on its own thread until `stop` closes. The returned tracker counts the
    /// open connections until each has been sent its last response.
    pub fn serve(
        &self,
        stop: Latch,
        handle: impl Fn(Request) + Send + Sync + 'static,
    ) -> HandlerTracker {
        let handlers = HandlerTracker::default();
        let (stopped, stopping) = watch::channel(false);
        let context = ConnectionContext {
            handle: Arc::new(handle),
            handlers: handlers.clone(),
            idle: self.idle,
            limit: self.limit,
            stopping,
        };
        let accepting = handlers.enter();
        let listener = self.listener.try_clone();
        io_threads().spawn(async move {
            let _accepting = accepting;
            let Ok(listener) = listener.and_then(TcpListener::from_std) else { return };
            context.accept(&listener, &stop).await;
            // Sending fails only if no connection is open.
            let _ = stopped.send(true);
        });
        handlers
    }
}

impl ConnectionContext {
    /// Accepts connections until `stop` closes, then those already waiting in the backlog.
    async fn accept(&self, listener: &TcpListener, stop: &Latch) {
        loop {
            let wait = if stop.is_closed() { Duration::ZERO } else { POLL_INTERVAL };
            match tokio::time::timeout(wait, listener.accept()).await {
                Ok(Ok((stream, _))) => self.open(stream),
                Ok(Err(_)) => tokio::time::sleep(ACCEPT_PAUSE).await,
                Err(_) if stop.is_closed() => return,
                Err(_) => {}
            }
        }
    }

    fn open(&self, stream: TcpStream) {
        // The count includes the accept task.
        if self.handlers.count() > self.limit {
            refuse_connection(stream);
            return;
        }
        let socket = SockRef::from(&stream);
        // Close the connection if the peer acknowledges nothing for this long.
        let set = socket.set_tcp_nodelay(true).and(socket.set_tcp_user_timeout(Some(self.idle)));
        if set.is_err() {
            return;
        }
        let open = self.handlers.enter();
        let context = self.clone();
        tokio::spawn(async move {
            context.serve_connection(stream).await;
            drop(open);
        });
    }

    async fn serve_connection(mut self, stream: TcpStream) {
        let (handle, idle) = (self.handle.clone(), self.idle);
        let control = CloseControl::default();
        let stream = ResettableStream::new(stream, control.clone());
        let service = service_fn(|request: http::Request<Incoming>| {
            control.record_request(request.version());
            handle_request(handle.clone(), idle, request)
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.idle)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => Some(ended),
            _ = self.stopping.wait_for(|stopping| *stopping) => None,
        };
        let ended = match ended {
            Some(ended) => ended,
            None => {
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        };
        control.record_end(&ended);
    }
}

/// Runs the handler on a new thread and waits for its response.
async fn handle_request(
    handle: Arc<Handler>,
    idle: Duration,
    request: http::Request<Incoming>,
) -> Result<http::Response<Body>, response::Broken> {
    let (reply, response) = oneshot::channel();
    let request = Request::new(request, reply, idle, Handle::current());
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
    // If the thread cannot be started, `reply` is dropped and the caller gets status 500.
    let _ = thread.spawn(move || handle(request));
    match response.await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(broken)) => Err(broken),
        Err(_) => Ok(Response::from_string("no answer; retry\n").with_status_code(500).build()),
    }
}

fn refuse_connection(stream: TcpStream) {
    let Ok(mut stream) = stream.into_std() else { return };
    // Write without blocking: the caller gets what fits into the socket's buffer.
    let _ = stream.write(TOO_MANY_CONNECTIONS);
}
