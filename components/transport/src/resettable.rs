//! A TCP stream that is reset when it is closed after an aborted response whose end only the end of the
//! connection marks.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    task::{Context, Poll},
    time::Duration,
};

use http::Version;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Tells a stream how it is to be closed.
#[derive(Debug, Clone, Default)]
pub struct CloseControl {
    /// Whether the last request was one of HTTP/1.0, in which the end of the connection marks the end of a
    /// response of unknown length.
    is_old: Arc<AtomicBool>,
    /// Whether the stream is reset when it is dropped.
    resets: Arc<AtomicBool>,
}

impl CloseControl {
    /// Records the version of a request.
    pub fn record_request(&self, version: Version) {
        self.is_old.store(version == Version::HTTP_10, Relaxed);
    }

    /// Records the end of the connection, before the stream is dropped. An error that the caller has not
    /// caused aborted a response.
    pub fn record_end(&self, ended: &Result<(), hyper::Error>) {
        let is_aborted = ended.as_ref().is_err_and(hyper::Error::is_user);
        self.resets.store(is_aborted && self.is_old.load(Relaxed), Relaxed);
    }
}

/// A TCP stream that is closed in order when it is dropped, or reset if its control says so.
#[derive(Debug)]
pub struct ResettableStream {
    stream: TcpStream,
    control: CloseControl,
}

impl ResettableStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, control: CloseControl) -> ResettableStream {
        ResettableStream { stream, control }
    }
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        if self.control.resets.load(Relaxed) {
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
