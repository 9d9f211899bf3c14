//! Answers that are sent piece by piece.

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

/// Bytes after which a piece is sent without a flush.
const PIECE_BYTES: usize = 16 << 10;
/// Pieces that wait for a slow receiver.
const PIECES: usize = 4;

/// Writes an answer whose length is not known; only `finish` marks it whole.
pub struct StreamWriter {
    pieces: Sender<Piece>,
    buffer: BytesMut,
    io: Handle,
    idle: Duration,
}

enum Piece {
    Data(Bytes),
    /// The answer is whole.
    End,
}

/// The body of an answer that ends whole only after `Piece::End`.
struct Pieces(Option<Receiver<Piece>>);

impl StreamWriter {
    /// Sends the head of the answer; fails if the caller is gone.
    pub fn start(request: Request, status: u16, headers: &[(&str, &str)]) -> io::Result<Self> {
        let (pieces, received) = channel(PIECES);
        let status = StatusCode::from_u16(status).map_err(io::Error::other)?;
        let headers = headers.iter().filter_map(|(name, value)| header(name, value));
        let response = head(status, headers, Pieces(Some(received)).boxed());
        let (io, idle) = request.io();
        if !request.send(Ok(response)) {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(StreamWriter { pieces, buffer: BytesMut::new(), io, idle })
    }

    /// Marks the answer whole; without this the receiver sees that it was cut.
    pub fn finish(mut self) -> io::Result<()> {
        self.flush()?;
        self.send(Piece::End)
    }

    /// Whether the receiver is gone.
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
        // What was written before a cut may still be sent.
        let _ = self.flush();
    }
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let Some(pieces) = &mut self.0 else { return Poll::Ready(None) };
        let piece = std::task::ready!(pieces.poll_recv(cx));
        Poll::Ready(match piece {
            Some(Piece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Piece::End) => {
                self.0 = None;
                None
            }
            None => Some(Err(Broken)),
        })
    }
}
