//! Streaming responses.

use std::{
    io::{self, Write},
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use tokio::{
    runtime::Handle,
    sync::mpsc::{Receiver, Sender, channel},
};

use crate::{
    Request,
    response::{Broken, head, header},
};

/// Number of buffered bytes after which they are sent without a flush.
const PIECE_BYTES: usize = 16 << 10;
/// Maximum number of pieces queued for a slow receiver.
const MAX_QUEUED_PIECES: usize = 4;

/// Writes a response of unknown length. Only `finish` marks it as complete.
pub struct StreamWriter {
    pieces: Sender<Piece>,
    buffer: BytesMut,
    io: Handle,
    idle: Duration,
}

enum Piece {
    Data(Bytes),
    /// Marks the end of a complete response.
    End,
}

/// A response body that is complete only after `Piece::End`.
enum PieceBody {
    Open(Receiver<Piece>),
    Complete,
    /// Aborted. The connection writes out earlier pieces before it polls this.
    Aborted,
}

impl StreamWriter {
    /// Sends the head of the response. Fails if the caller has disconnected.
    pub fn start(request: Request, status: u16, headers: &[(&str, &str)]) -> io::Result<Self> {
        let (pieces, received) = channel(MAX_QUEUED_PIECES);
        let status = StatusCode::from_u16(status).map_err(io::Error::other)?;
        let headers = headers.iter().filter_map(|(name, value)| header(name, value));
        let response = head(status, headers, PieceBody::Open(received).boxed());
        let (io, idle) = request.io();
        if !request.send(Ok(response)) {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(StreamWriter { pieces, buffer: BytesMut::new(), io, idle })
    }

    /// Marks the response as complete. Without this, the receiver sees a truncated response.
    pub fn finish(mut self) -> io::Result<()> {
        self.flush()?;
        self.send(Piece::End)
    }

    /// Whether the receiver has disconnected.
    pub fn is_abandoned(&self) -> bool {
        self.pieces.is_closed()
    }

    fn send(&self, piece: Piece) -> io::Result<()> {
        let (pieces, idle) = (&self.pieces, self.idle);
        let sent = self.io.block_on(async { tokio::time::timeout(idle, pieces.send(piece)).await });
        match sent {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(io::ErrorKind::BrokenPipe.into()),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

impl Write for StreamWriter {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.buffer.extend_from_slice(data);
        if self.buffer.len() >= PIECE_BYTES {
            self.flush()?;
        }
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let piece = self.buffer.split().freeze();
        self.send(Piece::Data(piece))
    }
}

impl Drop for StreamWriter {
    fn drop(&mut self) {
        // Data written before the response was aborted may still be sent.
        let _ = self.flush();
    }
}

impl Body for PieceBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let pieces = match &mut *self {
            PieceBody::Open(pieces) => pieces,
            PieceBody::Complete => return Poll::Ready(None),
            PieceBody::Aborted => return Poll::Ready(Some(Err(Broken))),
        };
        match std::task::ready!(pieces.poll_recv(cx)) {
            Some(Piece::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(Piece::End) => {
                *self = PieceBody::Complete;
                Poll::Ready(None)
            }
            // Hyper drops what it has not written when a body fails, and writes when one is pending.
            None => {
                *self = PieceBody::Aborted;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }
}
