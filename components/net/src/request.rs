//! A request as its handler sees it: every call blocks.

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

/// Most bytes of an unread body that are taken in after the answer.
const DISCARD_BYTES: usize = 16 << 20;
/// Longest time for that.
const DISCARD_TIME: Duration = Duration::from_secs(2);

pub(crate) type Reply = oneshot::Sender<Result<http::Response<Body>, Broken>>;

/// A request that waits for its answer.
pub struct Request {
    method: Method,
    url: String,
    headers: HeaderMap,
    body: Incoming,
    /// What was read from the connection and not yet by the handler.
    piece: Bytes,
    reply: Reply,
    /// Longest wait for bytes.
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

    /// The method.
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// Path and query.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// The headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// The declared length of the body, if it is known.
    pub fn body_length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Whether the caller is gone.
    pub fn is_abandoned(&self) -> bool {
        self.reply.is_closed()
    }

    /// Answers the request.
    pub fn respond(self, response: Response) {
        self.send(Ok(response.build()));
    }

    /// Breaks the connection off without an answer, so that the caller sees it at once.
    pub fn abort(self) {
        self.send(Err(Broken));
    }

    /// Answers with a body that is still being made; returns false if the caller is gone.
    pub(crate) fn send(self, answer: Result<http::Response<Body>, Broken>) -> bool {
        let sent = self.reply.send(answer).is_ok();
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

/// Takes in a body that nobody reads, so that a caller that still sends gets its answer and not a
/// reset connection.
async fn discard(mut body: Incoming) {
    let mut left = DISCARD_BYTES;
    let read = async {
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(length) else { return };
            left = rest;
        }
    };
    // What is left after this is not taken in.
    let _ = tokio::time::timeout(DISCARD_TIME, read).await;
}

impl Read for Request {
    /// Reads from the body.
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
