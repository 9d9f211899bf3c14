//! A TCP stream that fails when a peer sends interim responses without end.
//!
//! The HTTP library limits each head by itself, but not the number of interim responses before it.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    task::{Context, Poll},
};

use http::{HeaderMap, HeaderName, HeaderValue, Request};
use hyper::ext::on_informational;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Maximum size in bytes of a response's head, and of the heads of all interim responses before it.
pub(crate) const MAX_HEAD_BYTES: usize = 64 << 10;
/// Size in bytes as which an interim response counts beside its headers.
const STATUS_LINE_BYTES: usize = "HTTP/1.1 100 Continue\r\n\r\n".len();
/// Size in bytes of what separates a header's name from its value, and of its line end.
const SEPARATOR_BYTES: usize = ": \r\n".len();

/// Error of a stream whose peer sends a head without end.
#[derive(Debug, thiserror::Error)]
#[error("the interim responses have more than {MAX_HEAD_BYTES} bytes")]
pub(crate) struct HeadTooLarge;

/// Size in bytes of the interim responses to the current request. Clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// Counts the interim responses to `request`, which is about to be sent.
    pub(crate) fn start<B>(&self, request: &mut Request<B>) {
        self.0.store(0, Relaxed);
        let limit = self.clone();
        on_informational(request, move |interim| limit.record(interim.headers()));
    }

    fn record(&self, headers: &HeaderMap) {
        let size = |(name, value): (&HeaderName, &HeaderValue)| {
            name.as_str().len() + value.len() + SEPARATOR_BYTES
        };
        let headers: usize = headers.iter().map(size).sum();
        self.0.fetch_add(STATUS_LINE_BYTES + headers, Relaxed);
    }

    fn check(&self) -> io::Result<()> {
        match self.0.load(Relaxed) > MAX_HEAD_BYTES {
            true => Err(io::Error::new(io::ErrorKind::InvalidData, HeadTooLarge)),
            false => Ok(()),
        }
    }
}

/// A TCP stream with a limit on interim responses.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl LimitedStream {
    pub(crate) fn new(stream: TcpStream, limit: HeadLimit) -> LimitedStream {
        LimitedStream { stream, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.limit.check()?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
