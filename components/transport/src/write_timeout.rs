//! A stream that fails once its peer has not read anything for too long, so that what is written to it is not
//! held for ever.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

/// A stream whose writes fail with `TimedOut` once none has made progress for a time.
#[derive(Debug)]
pub(crate) struct WriteTimeout<S> {
    stream: S,
    timeout: Duration,
    /// Runs while a write waits for the peer.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteTimeout<S> {
    /// Wraps a stream.
    pub(crate) fn new(stream: S, timeout: Duration) -> WriteTimeout<S> {
        WriteTimeout { stream, timeout, stalled: None }
    }

    /// Returns the result of a write, or an error if writes have waited for too long.
    fn limit<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(self.timeout)));
        ready!(stalled.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.limit(written, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.limit(written, cx)
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

#[cfg(test)]
mod tests;
