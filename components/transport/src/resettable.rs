//! A TCP stream that can be reset when it is closed.

use std::{
    cell::Cell,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// How a connection is closed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum CloseMode {
    /// Closed in order: the peer reads all that was sent, and then the end.
    #[default]
    Graceful,
    /// Reset: the peer gets an error.
    Reset,
}

/// A TCP stream that is closed as `mode` says when it is dropped.
pub(crate) struct ResettableStream {
    stream: TcpStream,
    mode: Rc<Cell<CloseMode>>,
}

impl ResettableStream {
    pub(crate) fn new(stream: TcpStream, mode: Rc<Cell<CloseMode>>) -> ResettableStream {
        ResettableStream { stream, mode }
    }
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        if self.mode.get() == CloseMode::Reset {
            // Fails only if the peer has reset the connection already.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ResettableStream {
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
