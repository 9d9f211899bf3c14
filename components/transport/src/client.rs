//! One connection to a peer, and one request and its answer on it.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response, StatusCode, header::HOST};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    task::{AbortHandle, spawn_local},
    time::{Instant, timeout_at},
};

use crate::{ConnectSettings, TransportError, connect::connect};

/// A connection; it is closed when this is dropped, which cancels what runs on it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    addr: SocketAddr,
    /// Whether a request was answered on it before.
    pub(crate) used: bool,
    /// When it was opened or given back.
    pub(crate) idle_since: Instant,
    /// Longest time that it may stay idle.
    pub(crate) idle_limit: Duration,
}

/// A request that was answered, at least with a head, and the connection that it is on.
pub struct Exchange {
    /// The answer.
    pub response: Response<Incoming>,
    /// The connection.
    pub connection: Connection,
}

/// A whole answer.
#[derive(Debug)]
pub struct BufferedResponse {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// An answer's body as it arrives.
pub type ResponseBody = Incoming;

/// A request for `path` at `addr`.
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
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(TransportError::Broken)?;
        // Its end shows at the sender.
        let task = spawn_local(async move { drop(connection.await) }).abort_handle();
        let idle_since = Instant::now();
        Ok(Connection { sender, task, addr, used: false, idle_since, idle_limit: Duration::ZERO })
    }

    /// The peer's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether a request was answered on it before.
    pub fn is_used(&self) -> bool {
        self.used
    }

    /// Whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection takes another request, which it does after the whole answer.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of its answer until `until`.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<Exchange, TransportError> {
        if !self.sender.is_ready() && self.sender.ready().await.is_err() {
            return Err(TransportError::Unsent);
        }
        let sending = timeout_at(until, self.sender.send_request(request)).await;
        let response = sending.map_err(|_| TransportError::Timeout)?.map_err(|err| {
            // Hyper takes a request back if it never began to write it.
            if err.is_canceled() { TransportError::Unsent } else { TransportError::Broken(err) }
        })?;
        self.used = true;
        Ok(Exchange { response, connection: self })
    }
}

impl Exchange {
    /// Reads the whole body, of at most `limit` bytes, until `until`; the connection can be used
    /// again.
    pub async fn read_body(
        self,
        limit: usize,
        until: Instant,
    ) -> Result<(Response<Bytes>, Connection), TransportError> {
        let (head, mut body) = self.response.into_parts();
        let mut whole = BytesMut::new();
        loop {
            let frame = timeout_at(until, body.frame()).await;
            let Some(frame) = frame.map_err(|_| TransportError::Timeout)? else { break };
            let frame = frame.map_err(TransportError::Broken)?;
            if let Ok(data) = frame.into_data() {
                if whole.len() + data.len() > limit {
                    return Err(TransportError::TooLarge(limit));
                }
                whole.extend_from_slice(&data);
            }
        }
        Ok((Response::from_parts(head, whole.freeze()), self.connection))
    }
}
