//! HTTP listeners whose connections cannot hold a thread for ever.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Context, anyhow};
use base::ByteSize;
use settings::PeerKey;
use socket2::{Domain, Protocol, Socket, Type};
use subtle::ConstantTimeEq;
use tiny_http::{Header, Request, Response, Server};

use crate::{Handlers, Latch};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Longest wait for a request before the latch is looked at again.
const POLL: Duration = Duration::from_millis(200);
/// Longest time that a whole body takes, so that one that trickles in holds no thread for long.
const BODY_TIME: Duration = Duration::from_secs(60);
/// Bytes of a body that are read at once.
const PIECE_BYTES: usize = 16 << 10;
/// Stack of a thread that handles a request.
const STACK_BYTES: usize = 256 << 10;

/// Accepts requests on one address.
pub struct Listener {
    server: Arc<Server>,
    addr: SocketAddr,
    limit: usize,
}

impl Listener {
    /// Listens on `addr`; `idle` bounds each wait for bytes from or to a caller, and `limit` the
    /// requests in progress.
    pub fn bind(addr: SocketAddr, idle: Duration, limit: usize) -> anyhow::Result<Listener> {
        let domain = Domain::for_address(addr);
        let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        // Accepted connections inherit both timeouts.
        socket.set_read_timeout(Some(idle))?;
        socket.set_write_timeout(Some(idle))?;
        socket.set_tcp_nodelay(true)?;
        socket.bind(&addr.into()).with_context(|| format!("{addr}: cannot be bound"))?;
        socket.listen(BACKLOG)?;
        let listener: std::net::TcpListener = socket.into();
        let addr = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(|err| anyhow!("{err}"))?;
        Ok(Listener { server: Arc::new(server), addr, limit })
    }

    /// The address that is listened on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Handles each request on a thread of its own until `stop` closes; those that wait then are
    /// refused. The returned handlers run until all of them are answered.
    pub fn serve(&self, stop: Latch, handle: impl Fn(Request) + Send + Sync + 'static) -> Handlers {
        let server = self.server.clone();
        let limit = self.limit;
        let handle = Arc::new(handle);
        let handlers = Handlers::default();
        let running = handlers.clone();
        let accepting = handlers.enter();
        let accept = move || {
            let _accepting = accepting;
            while !stop.is_closed() {
                let Ok(Some(request)) = server.recv_timeout(POLL) else { continue };
                if running.count() > limit {
                    let message = "too many requests are in progress; retry in 1s";
                    refuse(request, 503, message, "not-run");
                    continue;
                }
                let handle = handle.clone();
                let guard = running.enter();
                let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
                // A thread that cannot start drops the request, which answers it with an error.
                let _ = thread.spawn(move || {
                    let _guard = guard;
                    handle(request);
                });
            }
            while let Ok(Some(request)) = server.try_recv() {
                refuse(request, 503, "the process stops; retry in 1s at another", "not-run");
            }
        };
        std::thread::spawn(accept);
        handlers
    }
}

/// The value of a request's header.
pub fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    let found = request.headers().iter().find(|h| h.field.equiv(name));
    found.map(|h| h.value.as_str())
}

/// Whether the request carries the peer key.
pub fn authorized(request: &Request, key: &PeerKey) -> bool {
    let given = header(request, proto::header::AUTHORIZATION).unwrap_or_default();
    let given = given.strip_prefix("Bearer ").unwrap_or_default();
    given.as_bytes().ct_eq(key.as_bytes()).into()
}

/// Reads a request's body; `None` if it is larger than `limit`, cut, or not there in time.
pub fn read_body(request: &mut Request, limit: ByteSize) -> Option<Vec<u8>> {
    let declared = request.body_length();
    if declared.is_some_and(|n| n as u64 > limit.0) {
        return None;
    }
    let until = Instant::now() + BODY_TIME;
    let mut body = Vec::new();
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        match request.as_reader().read(&mut piece) {
            Ok(0) => break,
            Ok(n) => body.extend_from_slice(&piece[..n]),
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
        if body.len() as u64 > limit.0 || Instant::now() >= until {
            return None;
        }
    }
    declared.is_none_or(|n| n == body.len()).then_some(body)
}

/// Answers a request with an error in JSON.
pub fn refuse(request: Request, status: u16, message: &str, outcome: &'static str) {
    let body = serde_json::json!({ "error": { "message": message, "outcome": outcome } });
    let mut response = Response::from_string(body.to_string()).with_status_code(status);
    let mut add = |name: &str, value: &str| {
        if let Ok(header) = Header::from_bytes(name, value) {
            response.add_header(header);
        }
    };
    add("content-type", "application/json");
    add(proto::header::OUTCOME, outcome);
    if status == 503 || status == 429 {
        add("retry-after", "1");
    }
    // The caller may be gone; nobody else needs the answer.
    let _ = request.respond(response);
}

/// Breaks a request off without an answer, so that the sender sees a failed connection at once.
pub fn abort(request: Request) {
    let mut out = request.into_writer();
    // The sender may be gone, which is the same to it.
    let _ = std::io::Write::write_all(&mut out, crate::stream::ABORT);
    let _ = out.flush();
}

/// The value of `name` in a request's query.
pub fn query<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}
