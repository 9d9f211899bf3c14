//! A caller's TCP stream that notices when the caller leaves while its request is in progress, whatever it
//! sent behind the request.
//!
//! A caller that has closed only its sending side looks like one that has left. An interim response tells
//! them apart: the system of a caller that has left resets the connection.

use std::{
    cell::{Cell, RefCell},
    io::{self, IoSlice},
    net::Shutdown,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, BytesMut};
use http::Version;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
};

/// Maximum number of bytes behind a request that are read to find the end of what a caller sends.
const MAX_AHEAD_BYTES: usize = 8192;
/// The interim response that is sent to a caller that may have left.
const PROBE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// State of a caller's connection.
#[derive(Debug)]
struct Shared {
    stream: TcpStream,
    /// Bytes that were read ahead of the HTTP library.
    ahead: RefCell<BytesMut>,
    /// Whether the caller has sent all it will send.
    has_ended: Cell<bool>,
    /// Whether the HTTP library waits for bytes, and thus notices itself that the caller leaves.
    is_reading: Cell<bool>,
    /// Whether a part of the current response was written.
    has_begun: Cell<bool>,
    /// Whether all that was to be written is written.
    is_flushed: Cell<bool>,
    /// Version of the current request; `None` before the first one.
    version: Cell<Option<Version>>,
    /// Whether the connection is reset when it is dropped.
    resets: Cell<bool>,
}

impl Drop for Shared {
    fn drop(&mut self) {
        if self.resets.get() {
            // Fails only if the caller has reset the connection already.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl Shared {
    /// Reads until the end of what the caller sends, unless the HTTP library reads. Ready at the end, or with
    /// the error of a connection that is broken.
    fn poll_end(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_reading.get() || self.version.get().is_none() {
            return Poll::Pending;
        }
        while !self.has_ended.get() {
            let mut ahead = self.ahead.borrow_mut();
            if ahead.len() >= MAX_AHEAD_BYTES {
                return Poll::Pending;
            }
            ready!(self.stream.poll_read_ready(cx))?;
            ahead.reserve(MAX_AHEAD_BYTES);
            match self.stream.try_read_buf(&mut *ahead) {
                Ok(0) => self.has_ended.set(true),
                Ok(_) => {}
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
        // What is still to be written finds out itself whether the caller has left.
        if self.is_flushed.get() { Poll::Ready(Ok(())) } else { Poll::Pending }
    }

    /// Whether an interim response may be sent now.
    fn may_probe(&self) -> bool {
        !self.has_begun.get() && self.version.get() == Some(Version::HTTP_11)
    }
}

/// The handle of a caller's stream that tells when the caller has left.
#[derive(Debug, Clone)]
pub(crate) struct CallerWatch(Rc<Shared>);

impl CallerWatch {
    /// Records that a request has arrived.
    pub(crate) fn record_request(&self, version: Version) {
        self.0.version.set(Some(version));
        self.0.has_begun.set(false);
    }

    /// Records that the HTTP library is about to run, and may read.
    pub(crate) fn record_poll(&self) {
        self.0.is_reading.set(false);
    }

    /// Records the end of the connection, before the stream is dropped. An error that the caller has not
    /// caused aborted a response, whose end only a reset shows in HTTP/1.0.
    pub(crate) fn record_end(&self, ended: &Result<(), hyper::Error>) {
        let is_aborted = ended.as_ref().is_err_and(hyper::Error::is_user);
        self.0.resets.set(is_aborted && self.0.version.get() == Some(Version::HTTP_10));
    }

    /// Waits until the caller has left while its request is in progress.
    pub(crate) async fn left(&self) {
        let ended = std::future::poll_fn(|cx| self.0.poll_end(cx)).await;
        if ended.is_err() || !self.0.may_probe() {
            return;
        }
        if self.0.stream.try_write(PROBE).is_ok_and(|written| written == PROBE.len()) {
            // Fails only if the connection is broken.
            let _ = self.0.stream.ready(Interest::ERROR).await;
        }
    }
}

/// A caller's TCP stream.
#[derive(Debug)]
pub(crate) struct CallerStream(Rc<Shared>);

impl CallerStream {
    /// Wraps a stream and returns it with its handle.
    pub(crate) fn new(stream: TcpStream) -> (CallerStream, CallerWatch) {
        let shared = Rc::new(Shared {
            stream,
            ahead: RefCell::default(),
            has_ended: Cell::new(false),
            is_reading: Cell::new(true),
            has_begun: Cell::new(false),
            is_flushed: Cell::new(true),
            version: Cell::new(None),
            resets: Cell::new(false),
        });
        (CallerStream(shared.clone()), CallerWatch(shared))
    }

    /// Writes with `write` once the socket accepts bytes.
    fn poll_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        self.0.has_begun.set(true);
        self.0.is_flushed.set(false);
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match write(&self.0.stream) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut ahead = self.0.ahead.borrow_mut();
        if !ahead.is_empty() {
            let count = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead[..count]);
            ahead.advance(count);
            return Poll::Ready(Ok(()));
        }
        if self.0.has_ended.get() {
            return Poll::Ready(Ok(()));
        }
        loop {
            let Poll::Ready(is_ready) = self.0.stream.poll_read_ready(cx) else {
                self.0.is_reading.set(true);
                return Poll::Pending;
            };
            is_ready?;
            match self.0.stream.try_read_buf(buf) {
                Ok(count) => {
                    self.0.has_ended.set(count == 0);
                    return Poll::Ready(Ok(()));
                }
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.is_flushed.set(true);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        match SockRef::from(&self.0.stream).shutdown(Shutdown::Write) {
            Err(err) if err.kind() == io::ErrorKind::NotConnected => Poll::Ready(Ok(())),
            ended => Poll::Ready(ended),
        }
    }
}
