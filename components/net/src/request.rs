//! Requests with a blocking interface for their handlers.

use std::{
    io::{self, Read},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::{runtime::Handle, sync::oneshot};

use crate::{
    Response,
    response::{Body, Broken},
};

/// Maximum number of bytes of an unread body that are read and discarded after the response.
const DISCARD_BYTES: usize = 16 << 20;
/// Maximum time to discard an unread body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

pub(crate) type Reply = oneshot::Sender<Result<http::Response<Body>, Broken>>;

/// A request that has not been responded to yet.
pub struct Request {
    method: Method,
    url: String,
    headers: HeaderMap,
    body: Incoming,
    /// Data received from the connection that the handler has not read yet.
    piece: Bytes,
    reply: Reply,
    /// Maximum time to wait for bytes.
    idle: Duration,
    io: Handle,
}

impl Request {
    pub(crate) fn new(
        request: http::Request<Incoming>,
        reply: Reply,
        idle: Duration,
        io: Handle,
    ) -> Request {
        let (parts, body) = request.into_parts();
        let url = parts.uri.path_and_query().map_or("/", |url| url.as_str()).to_owned();
        let (method, headers) = (parts.method, parts.headers);
        Request { method, url, headers, body, piece: Bytes::new(), reply, idle, io }
    }

    /// Returns the HTTP method.
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// Returns the path and query.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Returns the declared length of the body, if it is known.
    pub fn body_length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Whether the caller has disconnected.
    pub fn is_abandoned(&self) -> bool {
        self.reply.is_closed()
    }

    /// Sends a complete response.
    pub fn respond(self, response: Response) {
        self.send(Ok(response.build()));
    }

    /// Closes the connection without a response, so that the caller notices immediately.
    pub fn abort(self) {
        self.send(Err(Broken));
    }

    /// Sends a response whose body may still be streaming. Returns false if the caller has
    /// disconnected.
    pub(crate) fn send(self, response: Result<http::Response<Body>, Broken>) -> bool {
        let sent = self.reply.send(response).is_ok();
        if sent && !self.body.is_end_stream() {
            self.io.spawn(discard(self.body));
        }
        sent
    }

    pub(crate) fn io(&self) -> (Handle, Duration) {
        (self.io.clone(), self.idle)
    }

    fn next_piece(&mut self) -> io::Result<Option<Bytes>> {
        let (body, idle) = (&mut self.body, self.idle);
        let frame = self.io.block_on(async { tokio::time::timeout(idle, body.frame()).await });
        match frame {
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
            Ok(None) => Ok(None),
            Ok(Some(Err(err))) => Err(io::Error::other(err)),
            Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
        }
    }
}

/// Discards the unread rest of a body, so that a caller that is still sending receives the response
/// instead of a connection reset.
async fn discard(mut body: Incoming) {
    let mut left = DISCARD_BYTES;
    let read = async {
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(length) else { return };
            left = rest;
        }
    };
    // Whatever is left after the timeout stays unread.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}

impl Read for Request {
    /// Reads from the body, waiting at most `idle` for each part of it.
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.piece.is_empty() {
            match self.next_piece()? {
                Some(piece) => self.piece = piece,
                None => return Ok(0),
            }
        }
        let length = buffer.len().min(self.piece.len());
        buffer[..length].copy_from_slice(&self.piece.split_to(length));
        Ok(length)
    }
}
