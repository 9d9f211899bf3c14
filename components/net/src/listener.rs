//! HTTP listeners: connections live on I/O threads, handlers block on threads of their own.

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

use crate::{
    HandlerTracker, Latch, Request, Response,
    response::{self, Body},
};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Time between looks at the latch.
const POLL: Duration = Duration::from_millis(50);
/// Pause after a connection could not be accepted.
const PAUSE: Duration = Duration::from_millis(10);
/// Stack of a thread that handles a request.
const STACK_BYTES: usize = 256 << 10;
/// Threads that read and write the connections of all listeners of the process.
const IO_THREADS: usize = 4;
/// Answer to a connection above the limit.
const FULL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: 1\r\n\
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

/// What each connection of a listener needs.
#[derive(Clone)]
struct Serving {
    handle: Arc<Handler>,
    handlers: HandlerTracker,
    idle: Duration,
    limit: usize,
    stopping: watch::Receiver<bool>,
}

/// The threads that read and write connections.
fn io_threads() -> &'static Handle {
    static THREADS: OnceLock<Runtime> = OnceLock::new();
    let start = || {
        let threads = Builder::new_multi_thread().worker_threads(IO_THREADS).enable_all().build();
        threads.expect("threads can be started at the start of the process")
    };
    THREADS.get_or_init(start).handle()
}

impl Listener {
    /// Listens on `addr`; `idle` bounds each wait for bytes from or to a caller, and `limit` the
    /// open connections.
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

    /// The address that is listened on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Handles each request on a thread of its own until `stop` closes. The returned handlers run
    /// until each connection has been sent its last answer.
    pub fn serve(
        &self,
        stop: Latch,
        handle: impl Fn(Request) + Send + Sync + 'static,
    ) -> HandlerTracker {
        let handlers = HandlerTracker::default();
        let (stopped, stopping) = watch::channel(false);
        let serving = Serving {
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
            serving.accept(&listener, &stop).await;
            // No receiver is left if no connection is open.
            let _ = stopped.send(true);
        });
        handlers
    }
}

impl Serving {
    /// Accepts connections until `stop` closes, and then those that wait already.
    async fn accept(&self, listener: &TcpListener, stop: &Latch) {
        loop {
            let wait = if stop.is_closed() { Duration::ZERO } else { POLL };
            match tokio::time::timeout(wait, listener.accept()).await {
                Ok(Ok((stream, _))) => self.open(stream),
                Ok(Err(_)) => tokio::time::sleep(PAUSE).await,
                Err(_) if stop.is_closed() => return,
                Err(_) => {}
            }
        }
    }

    fn open(&self, stream: TcpStream) {
        // The accepting task counts as well.
        if self.handlers.count() > self.limit {
            refuse_connection(stream);
            return;
        }
        let socket = SockRef::from(&stream);
        // A receiver that takes nothing for this long is given up.
        let set = socket.set_tcp_nodelay(true).and(socket.set_tcp_user_timeout(Some(self.idle)));
        if set.is_err() {
            return;
        }
        let open = self.handlers.enter();
        let serving = self.clone();
        tokio::spawn(async move {
            serving.connection(stream).await;
            drop(open);
        });
    }

    async fn connection(mut self, stream: TcpStream) {
        let (handle, idle) = (self.handle.clone(), self.idle);
        let service = service_fn(move |request| answer(handle.clone(), idle, request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.idle)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            // A connection that failed has nobody to be told.
            _ = connection.as_mut() => return,
            _ = self.stopping.wait_for(|stopping| *stopping) => {}
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Runs the handler on a thread and waits for its answer.
async fn answer(
    handle: Arc<Handler>,
    idle: Duration,
    request: http::Request<Incoming>,
) -> Result<http::Response<Body>, response::Broken> {
    let (reply, answer) = oneshot::channel();
    let request = Request::new(request, reply, idle, Handle::current());
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
    // A thread that cannot start drops the reply.
    let _ = thread.spawn(move || handle(request));
    match answer.await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(broken)) => Err(broken),
        Err(_) => Ok(Response::from_string("no answer; retry\n").with_status_code(500).build()),
    }
}

fn refuse_connection(stream: TcpStream) {
    let Ok(mut stream) = stream.into_std() else { return };
    // The caller gets as much as fits at once.
    let _ = stream.write(FULL);
}
