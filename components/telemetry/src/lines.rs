//! Buffered logging to standard output that never blocks the thread that logs.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

use slog::{Drain, FnValue, Level, Logger, o};

use crate::log::now_ms;

/// Maximum number of buffered bytes. Further lines are dropped and counted.
const BUFFER_BYTES: usize = 128 << 10;
/// Maximum number of buffers queued for the writer thread.
const MAX_QUEUED_BUFFERS: usize = 4;
/// Maximum size in bytes of one write, unless a single line is longer. A pipe takes a write of this size
/// as a whole, so that lines of several processes do not mix.
const MAX_WRITE_BYTES: usize = 4096;

/// Collects log lines until `flush` hands them to the writer thread.
#[derive(Clone)]
pub struct LogBuffer {
    buffer: Arc<Mutex<Vec<u8>>>,
    writer: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// Adds the output of a logger to the buffer.
struct BufferWriter(LogBuffer);

impl Write for BufferWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let Ok(mut buffer) = self.0.buffer.lock() else { return Ok(bytes.len()) };
        if buffer.len() + bytes.len() > BUFFER_BYTES {
            if bytes.ends_with(b"\n") {
                self.0.dropped.fetch_add(1, Ordering::Relaxed);
            }
        } else {
            buffer.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogBuffer {
    /// Starts the writer thread.
    pub fn start() -> LogBuffer {
        let (writer, buffers) = sync_channel(MAX_QUEUED_BUFFERS);
        thread::spawn(move || write_buffers(&buffers));
        LogBuffer { buffer: Arc::default(), writer, dropped: Arc::default() }
    }

    /// Creates a logger whose lines include the time and the VM and role of the process.
    pub fn logger(&self, vm: String, role: &'static str) -> Logger {
        let out = BufferWriter(self.clone());
        let lines =
            slog_logfmt::Logfmt::new(out).no_prefix().print_level(true).print_msg(true).build();
        let drain = Mutex::new(lines.filter_level(Level::Info).fuse()).fuse();
        Logger::root(drain, o!("time_ms" => FnValue(|_| now_ms()), "vm" => vm, "role" => role))
    }

    /// Hands the buffered lines to the writer thread. If its queue is full, they stay in the buffer,
    /// and lines that exceed the buffer are dropped.
    pub fn flush(&self) {
        let Ok(mut buffer) = self.buffer.lock() else { return };
        if buffer.is_empty() {
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = format!("level=WARN msg=\"log lines dropped\" count={dropped}\n");
            buffer.extend_from_slice(line.as_bytes());
        }
        if let Err(err) = self.writer.try_send(std::mem::take(&mut *buffer)) {
            use std::sync::mpsc::TrySendError::{Disconnected, Full};
            match err {
                Full(unsent) | Disconnected(unsent) => *buffer = unsent,
            }
        }
    }
}

fn write_buffers(buffers: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    for lines in buffers {
        for block in blocks(&lines) {
            // Standard output is closed, so the error cannot be reported anywhere.
            if out.write_all(block).and_then(|()| out.flush()).is_err() {
                return;
            }
        }
    }
}

/// Splits lines into blocks of whole lines that are written at once.
fn blocks(mut lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let (block, rest) = lines.split_at(block_length(lines));
        lines = rest;
        (!block.is_empty()).then_some(block)
    })
}

/// Length of the first block: as many whole lines as fit, or one longer line.
fn block_length(lines: &[u8]) -> usize {
    if lines.len() <= MAX_WRITE_BYTES {
        return lines.len();
    }
    let is_end = |byte: &u8| *byte == b'\n';
    let last = lines[..MAX_WRITE_BYTES].iter().rposition(is_end);
    last.or_else(|| lines.iter().position(is_end)).map_or(lines.len(), |at| at + 1)
}

#[cfg(test)]
mod tests;
