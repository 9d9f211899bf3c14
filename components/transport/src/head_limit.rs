//! A TCP stream that fails when a peer sends too much before the head of its response.

use std::{
    cell::Cell,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Maximum number of bytes up to the end of a response's head, interim responses included, with what of
/// the body is read with it.
pub(crate) const MAX_HEAD_BYTES: usize = 64 << 10;

/// Error of a stream whose peer sends a head without end.
#[derive(Debug, thiserror::Error)]
#[error("the head of the response has more than {MAX_HEAD_BYTES} bytes")]
pub(crate) struct HeadTooLarge;

/// Tells a stream when a head is due.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadLimit(Rc<Cell<Option<usize>>>);

impl HeadLimit {
    /// Starts to count, as a request is sent.
    pub(crate) fn start(&self) {
        self.0.set(Some(MAX_HEAD_BYTES));
    }

    /// Stops to count, as the head has arrived.
    pub(crate) fn stop(&self) {
        self.0.set(None);
    }

    fn record(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.0.get() else { return Ok(()) };
        let left = left.checked_sub(bytes);
        let left = left.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, HeadTooLarge))?;
        self.0.set(Some(left));
        Ok(())
    }
}

/// A TCP stream with a limit on heads.
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
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        match polled {
            Poll::Ready(Ok(())) => Poll::Ready(self.limit.record(buf.filled().len() - before)),
            polled => polled,
        }
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
