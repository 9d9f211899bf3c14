//! A client connection and the request and response on it.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{
    HeaderMap, Method, Request, Response, StatusCode,
    header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING},
};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    task::{AbortHandle, spawn_local},
    time::{Instant, timeout_at},
};

use crate::{
    ConnectSettings, TransportError,
    connect::connect,
    head_limit::{HeadLimit, LimitedStream, MAX_HEAD_BYTES},
    limits::{BodyDeadline, BodyLimit},
};

/// Size in bytes as which a smaller part of a body without a stated length counts, as it takes about as
/// much time as one of this size.
const MIN_FRAME_SIZE: usize = 256;

/// A client connection. Dropping it closes the connection and cancels the running request.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    addr: SocketAddr,
    /// Whether the connection has already served a request.
    pub(crate) used: bool,
    /// When it was opened or returned to the pool.
    pub(crate) idle_since: Instant,
    /// Maximum time that it may stay idle.
    pub(crate) idle_limit: Duration,
    head_limit: HeadLimit,
}

/// A request whose response has started, at least with its head, and the connection it uses.
pub struct Exchange {
    /// The response.
    pub response: Response<Incoming>,
    /// The connection.
    pub connection: Connection,
}

/// A completely received response.
#[derive(Debug)]
pub struct BufferedResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it began to arrive.
    pub begun_at: Instant,
}

/// A response body that is received as a stream.
pub type ResponseBody = Incoming;

/// What marks the end of a response's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Its stated length.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection, which does not tell a complete body from a truncated one.
    Connection,
}

impl Framing {
    /// Returns what marks the end of the body of a response with these headers.
    pub fn of(headers: &HeaderMap) -> Framing {
        if headers.contains_key(TRANSFER_ENCODING) {
            Framing::Chunks
        } else if headers.contains_key(CONTENT_LENGTH) {
            Framing::Length
        } else {
            Framing::Connection
        }
    }

    /// Returns a short name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Connection => "connection",
        }
    }
}

/// Builds a request for `path` at `addr`.
pub fn request(method: Method, addr: SocketAddr, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    if let (Ok(uri), Ok(host)) = (path.parse(), addr.to_string().parse()) {
        *request.uri_mut() = uri;
        request.headers_mut().insert(HOST, host);
    }
    request
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection.
    pub async fn open(
        addr: SocketAddr,
        settings: &ConnectSettings,
    ) -> Result<Connection, TransportError> {
        let stream = connect(addr, settings).await?;
        let head_limit = HeadLimit::default();
        let stream = LimitedStream::new(stream, head_limit.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_header_size(MAX_HEAD_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(TransportError::Broken)?;
        // The sender reports it when the connection ends.
        let task = spawn_local(async move { drop(connection.await) }).abort_handle();
        let idle_since = Instant::now();
        Ok(Connection {
            sender,
            task,
            addr,
            used: false,
            idle_since,
            idle_limit: Duration::ZERO,
            head_limit,
        })
    }

    /// The peer's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the connection has already served a request.
    pub fn is_used(&self) -> bool {
        self.used
    }

    /// Whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection accepts another request, which is after the complete response.
    /// Returns false if the connection is closed.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits until `until` for the head of the response.
    pub async fn send(
        mut self,
        mut request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<Exchange, TransportError> {
        if !self.sender.is_ready() && self.sender.ready().await.is_err() {
            return Err(TransportError::Unsent);
        }
        self.head_limit.start(&mut request);
        let sending = timeout_at(until, self.sender.send_request(request)).await;
        let response = sending.map_err(|_| TransportError::Timeout)?.map_err(|err| {
            // Hyper cancels a request that it has not started to write.
            if err.is_canceled() {
                TransportError::Unsent
            } else {
                TransportError::after_sending(err)
            }
        })?;
        self.used = true;
        Ok(Exchange { response, connection: self })
    }
}

impl Exchange {
    /// Reads the complete body of at most `limit` bytes within `time_limit` and returns the connection
    /// for reuse. Without a stated length each frame counts as at least `MIN_FRAME_SIZE` bytes.
    pub async fn read_body(
        self,
        limit: usize,
        time_limit: BodyLimit,
    ) -> Result<(Response<Bytes>, Connection), TransportError> {
        self.read_body_reserved(limit, time_limit, async |_| {}).await
    }

    /// The same. After each part, reads on once `reserve` has reserved memory of its size.
    pub async fn read_body_reserved(
        self,
        limit: usize,
        time_limit: BodyLimit,
        mut reserve: impl AsyncFnMut(usize),
    ) -> Result<(Response<Bytes>, Connection), TransportError> {
        let (head, mut body) = self.response.into_parts();
        if body.size_hint().lower() > limit as u64 {
            return Err(TransportError::TooLarge(limit));
        }
        let min_size = match body.size_hint().exact() {
            Some(_) => 0,
            None => MIN_FRAME_SIZE,
        };
        let mut buffer = BytesMut::new();
        let mut size = 0;
        let mut deadline = BodyDeadline::new(time_limit, Instant::now());
        loop {
            let frame = timeout_at(deadline.due(), body.frame()).await;
            let frame = frame.map_err(|_| TransportError::Incomplete(buffer.len()))?;
            let Some(frame) = frame else { break };
            let frame = frame.map_err(TransportError::after_sending)?;
            if let Ok(data) = frame.into_data() {
                size += data.len().max(min_size);
                if size > limit.max(MIN_FRAME_SIZE) {
                    return Err(TransportError::TooLarge(limit));
                }
                buffer.extend_from_slice(&data);
                let reserved = timeout_at(deadline.due(), reserve(data.len())).await;
                reserved.map_err(|_| TransportError::Incomplete(buffer.len()))?;
                deadline.record(data.len(), Instant::now());
            }
        }
        Ok((Response::from_parts(head, buffer.freeze()), self.connection))
    }
}
