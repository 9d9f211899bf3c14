//! Buffer for the response of one attempt, so that an entry can resume reading over a new
//! connection.

use std::{
    sync::{Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use base::ReleaseId;
use proto::{Crash, ExecutionStatus};

/// Bytes that the endpoint may be ahead of the reader before it is throttled.
const MAX_UNREAD_BYTES: usize = 1 << 20;
/// Bytes that are buffered for readers that reconnect.
const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// Maximum number of bytes that a reader gets at once.
const MAX_READ_BYTES: usize = 64 << 10;
/// Time without a reader after which no reader is expected to reconnect.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a throttled writer checks its deadline and whether the response was cancelled.
const WRITER_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) release: Option<ReleaseId>,
}

/// How a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// The endpoint sent the whole response.
    Complete,
    /// The response was cut off; `crash` is the endpoint crash that ended it, if any.
    Failed { crash: Option<Crash>, fate: ExecutionStatus },
}

/// Next item of a response for a reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReadEvent {
    Head(ResponseHead),
    Data(Vec<u8>),
    End(StreamEnd),
    /// Nothing new arrived in time.
    TimedOut,
    /// The bytes at this offset are no longer buffered, or never existed.
    Evicted,
}

/// How far a reader has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Position {
    /// Whether it has received the head.
    pub(crate) head: bool,
    /// Number of body bytes that it has received.
    pub(crate) offset: u64,
}

/// A response, written by one thread and read by others.
#[derive(Debug)]
pub(crate) struct ResponseBuffer {
    /// Whether it is produced even if nobody reads it.
    detached: bool,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug)]
struct State {
    head: Option<ResponseHead>,
    bytes: Vec<u8>,
    /// Offset of the first buffered byte.
    first_offset: u64,
    /// Highest offset that a reader has read up to.
    read_offset: u64,
    end: Option<StreamEnd>,
    readers: usize,
    /// When the last reader left.
    last_reader_left: Instant,
    cancelled: bool,
}

/// A registered reader; unregisters when dropped.
pub(crate) struct Reader<'a>(&'a ResponseBuffer);

impl ResponseBuffer {
    /// Creates an empty response; a `detached` one is produced even if nobody reads it.
    pub(crate) fn new(detached: bool, now: Instant) -> ResponseBuffer {
        let state = State {
            head: None,
            bytes: Vec::new(),
            first_offset: 0,
            read_offset: 0,
            end: None,
            readers: 0,
            last_reader_left: now,
            cancelled: false,
        };
        ResponseBuffer { detached, state: Mutex::new(state), changed: Condvar::new() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Cancels the response; has no effect on a detached one.
    pub(crate) fn cancel(&self) {
        if !self.detached {
            self.lock().cancelled = true;
            self.changed.notify_all();
        }
    }

    /// Whether it is to be produced: a reader is there or may reconnect, or it is detached.
    pub(crate) fn is_wanted(&self, now: Instant) -> bool {
        let state = self.lock();
        let orphaned = state.readers == 0
            && now.saturating_duration_since(state.last_reader_left) >= ORPHAN_TIMEOUT;
        self.detached || !(state.cancelled || orphaned)
    }

    /// Number of buffered bytes.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.lock().bytes.len()
    }

    /// Sets the head, once the endpoint has sent it.
    pub(crate) fn set_head(&self, head: ResponseHead) {
        self.lock().head = Some(head);
        self.changed.notify_all();
    }

    /// Number of bytes received so far, including evicted ones.
    pub(crate) fn length(&self) -> u64 {
        self.lock().length()
    }

    /// Appends bytes; blocks while the reader is too far behind, at most until `deadline`. Returns
    /// false if the response is no longer wanted.
    pub(crate) fn push(&self, bytes: &[u8], deadline: Instant) -> bool {
        let mut state = self.lock();
        while state.is_full() && !state.cancelled && Instant::now() < deadline {
            state =
                self.changed.wait_timeout(state, WRITER_POLL_INTERVAL).expect("no holder panics").0;
        }
        state.bytes.extend_from_slice(bytes);
        let excess = state.bytes.len().saturating_sub(MAX_BUFFERED_BYTES);
        state.bytes.drain(..excess);
        state.first_offset += excess as u64;
        drop(state);
        self.changed.notify_all();
        self.is_wanted(Instant::now())
    }

    /// Ends the response.
    pub(crate) fn end(&self, end: StreamEnd) {
        self.lock().end = Some(end);
        self.changed.notify_all();
    }

    /// Registers a reader.
    pub(crate) fn reader(&self) -> Reader<'_> {
        self.lock().readers += 1;
        Reader(self)
    }
}

impl State {
    fn length(&self) -> u64 {
        self.first_offset + self.bytes.len() as u64
    }

    fn is_full(&self) -> bool {
        self.readers > 0 && self.length() - self.read_offset >= MAX_UNREAD_BYTES as u64
    }

    fn next_event(&mut self, position: &Position) -> Option<ReadEvent> {
        if !position.head
            && let Some(head) = &self.head
        {
            return Some(ReadEvent::Head(head.clone()));
        }
        if position.offset < self.first_offset || position.offset > self.length() {
            return Some(ReadEvent::Evicted);
        }
        let from = (position.offset - self.first_offset) as usize;
        let data = &self.bytes[from..self.bytes.len().min(from + MAX_READ_BYTES)];
        if !data.is_empty() {
            let data = data.to_vec();
            self.read_offset = self.read_offset.max(position.offset + data.len() as u64);
            return Some(ReadEvent::Data(data));
        }
        self.end.map(ReadEvent::End)
    }
}

impl Reader<'_> {
    /// Returns the next event from `position` on, waiting for it at most `wait`.
    pub(crate) fn next(&self, position: &Position, wait: Duration) -> ReadEvent {
        let until = Instant::now() + wait;
        let mut state = self.0.lock();
        loop {
            if let Some(event) = state.next_event(position) {
                self.0.changed.notify_all();
                return event;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return ReadEvent::TimedOut;
            }
            state = self.0.changed.wait_timeout(state, left).expect("no holder panics").0;
        }
    }
}

impl Drop for Reader<'_> {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.readers -= 1;
        state.last_reader_left = Instant::now();
    }
}

#[cfg(test)]
mod tests;
