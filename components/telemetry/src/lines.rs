//! Log lines on standard output that never hold up the thread that writes them.

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

/// Bytes that wait for the writer; further lines are dropped and counted.
const BUFFER_BYTES: usize = 128 << 10;
/// Buffers that wait for the writer.
const BUFFERS: usize = 4;

/// Collects lines until `flush` hands them to the thread that writes them.
#[derive(Clone)]
pub struct LogBuffer {
    buffer: Arc<Mutex<Vec<u8>>>,
    full: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// One line at a time.
struct LineWriter(LogBuffer);

impl Write for LineWriter {
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
    /// Starts the thread that writes.
    pub fn start() -> LogBuffer {
        let (full, filled) = sync_channel(BUFFERS);
        thread::spawn(move || write_all(&filled));
        LogBuffer { buffer: Arc::default(), full, dropped: Arc::default() }
    }

    /// A logger whose lines carry time, VM and role of the process.
    pub fn logger(&self, vm: String, role: &'static str) -> Logger {
        let out = LineWriter(self.clone());
        let lines =
            slog_logfmt::Logfmt::new(out).no_prefix().print_level(true).print_msg(true).build();
        let drain = Mutex::new(lines.filter_level(Level::Info).fuse()).fuse();
        Logger::root(drain, o!("time_ms" => FnValue(|_| now_ms()), "vm" => vm, "role" => role))
    }

    /// Hands what was logged to the writer; what it cannot take is kept or dropped.
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
        if let Err(err) = self.full.try_send(std::mem::take(&mut *buffer)) {
            use std::sync::mpsc::TrySendError::{Disconnected, Full};
            match err {
                Full(back) | Disconnected(back) => *buffer = back,
            }
        }
    }
}

fn write_all(filled: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    for lines in filled {
        // Nobody is left to be told that standard output is gone.
        if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
