//! Answers that are sent piece by piece.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use chunked_transfer::Encoder;
use tiny_http::Request;

/// Largest piece that is sent at once, in bytes.
const PIECE_BYTES: usize = 16 << 10;
/// Not a chunk header: the receiver fails at once instead of waiting for the rest.
pub(crate) const ABORT: &[u8] = b"aborted\r\n";

/// Writes an answer whose length is not known; only `finish` marks it whole.
pub struct StreamWriter {
    encoder: Encoder<Gate>,
    aborted: Arc<AtomicBool>,
    finished: bool,
}

/// Replaces what the encoder writes when it is dropped, the mark of a whole answer.
struct Gate {
    out: Box<dyn Write + Send>,
    aborted: Arc<AtomicBool>,
}

impl StreamWriter {
    /// Sends the head of the answer.
    pub fn start(request: Request, status: u16, headers: &[(&str, &str)]) -> io::Result<Self> {
        let mut out = request.into_writer();
        write!(out, "HTTP/1.1 {status} \r\ntransfer-encoding: chunked\r\n")?;
        for (name, value) in headers {
            write!(out, "{name}: {value}\r\n")?;
        }
        out.write_all(b"\r\n")?;
        out.flush()?;
        let aborted = Arc::new(AtomicBool::new(false));
        let gate = Gate { out, aborted: aborted.clone() };
        let encoder = Encoder::with_chunks_size(gate, PIECE_BYTES);
        Ok(StreamWriter { encoder, aborted, finished: false })
    }

    /// Marks the answer whole; without this the receiver sees that it was cut.
    pub fn finish(mut self) -> io::Result<()> {
        self.encoder.flush()?;
        self.finished = true;
        Ok(())
    }
}

impl Drop for StreamWriter {
    fn drop(&mut self) {
        if !self.finished {
            // What is buffered was written before the cut, so it may still be sent.
            let _ = self.encoder.flush();
            self.aborted.store(true, Ordering::Relaxed);
        }
    }
}

impl Write for StreamWriter {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.encoder.write(data)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.encoder.flush()
    }
}

impl Write for Gate {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        if self.aborted.load(Ordering::Relaxed) {
            self.out.write_all(ABORT)?;
            return Ok(data.len());
        }
        self.out.write(data)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        // Nothing more can be done for a receiver that is gone.
        let _ = self.out.flush();
    }
}
