//! The answer of one attempt, kept so that an entry can read on over another connection.

use std::{
    sync::{Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use base::ReleaseId;
use proto::{Crash, Fate};

/// Bytes that the endpoint may be ahead of the reader.
const WINDOW: usize = 1 << 20;
/// Bytes that are kept for readers that come again.
const KEPT: usize = 4 << 20;
/// Most bytes of one piece for a reader.
const PIECE: usize = 64 << 10;
/// Time without a reader after which nobody is expected to come again.
const ORPHAN: Duration = Duration::from_secs(10);
/// Longest wait of the writer before it looks again whether the answer is wanted.
const POLL: Duration = Duration::from_millis(500);

/// Head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) release: Option<ReleaseId>,
}

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The endpoint answered to the end.
    Whole,
    /// There is no more of it; `crash` is the one of the endpoint that ended it.
    Failed { crash: Option<Crash>, fate: Fate },
}

/// What a reader gets next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    Head(Head),
    Data(Vec<u8>),
    End(Ending),
    /// Nothing new in time.
    Nothing,
    /// The bytes at this offset are no longer kept.
    Lost,
}

/// Where a reader is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Position {
    /// Whether it has the head.
    pub(crate) head: bool,
    /// Bytes that it has.
    pub(crate) offset: u64,
}

/// An answer, written by one thread and read by others.
#[derive(Debug)]
pub(crate) struct Answer {
    /// Whether it is made even if nobody reads it.
    detached: bool,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug)]
struct State {
    head: Option<Head>,
    bytes: Vec<u8>,
    /// Offset of the first kept byte.
    first: u64,
    /// Bytes that a reader was given.
    taken: u64,
    end: Option<Ending>,
    readers: usize,
    /// When the last reader left.
    alone: Instant,
    stopped: bool,
}

/// Counts as a reader while it lives.
pub(crate) struct Reader<'a>(&'a Answer);

impl Answer {
    /// An answer of which nothing is known; a `detached` one is made even if nobody reads it.
    pub(crate) fn new(detached: bool, now: Instant) -> Answer {
        let state = State {
            head: None,
            bytes: Vec::new(),
            first: 0,
            taken: 0,
            end: None,
            readers: 0,
            alone: now,
            stopped: false,
        };
        Answer { detached, state: Mutex::new(state), changed: Condvar::new() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Nobody wants it any more; a detached answer is made all the same.
    pub(crate) fn stop(&self) {
        if !self.detached {
            self.lock().stopped = true;
            self.changed.notify_all();
        }
    }

    /// Whether somebody reads it or may come again.
    pub(crate) fn wanted(&self, now: Instant) -> bool {
        let state = self.lock();
        let alone = state.readers == 0 && now.saturating_duration_since(state.alone) >= ORPHAN;
        self.detached || !(state.stopped || alone)
    }

    /// Bytes that are kept.
    pub(crate) fn size(&self) -> usize {
        self.lock().bytes.len()
    }

    /// The endpoint began to answer.
    pub(crate) fn set_head(&self, head: Head) {
        self.lock().head = Some(head);
        self.changed.notify_all();
    }

    /// All bytes so far.
    pub(crate) fn length(&self) -> u64 {
        self.lock().length()
    }

    /// Adds bytes; waits while the reader is far behind. Returns false if nobody wants more.
    pub(crate) fn push(&self, bytes: &[u8], deadline: Instant) -> bool {
        let mut state = self.lock();
        while state.is_full() && !state.stopped && Instant::now() < deadline {
            state = self.changed.wait_timeout(state, POLL).expect("no holder panics").0;
        }
        state.bytes.extend_from_slice(bytes);
        let over = state.bytes.len().saturating_sub(KEPT);
        state.bytes.drain(..over);
        state.first += over as u64;
        drop(state);
        self.changed.notify_all();
        self.wanted(Instant::now())
    }

    /// Nothing more will come.
    pub(crate) fn end(&self, ending: Ending) {
        self.lock().end = Some(ending);
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
        self.first + self.bytes.len() as u64
    }

    fn is_full(&self) -> bool {
        self.readers > 0 && self.length() - self.taken >= WINDOW as u64
    }

    fn step(&mut self, position: &Position) -> Option<Step> {
        if !position.head
            && let Some(head) = &self.head
        {
            return Some(Step::Head(head.clone()));
        }
        if position.offset < self.first || position.offset > self.length() {
            return Some(Step::Lost);
        }
        let from = (position.offset - self.first) as usize;
        let piece = &self.bytes[from..self.bytes.len().min(from + PIECE)];
        if !piece.is_empty() {
            let piece = piece.to_vec();
            self.taken = self.taken.max(position.offset + piece.len() as u64);
            return Some(Step::Data(piece));
        }
        self.end.map(Step::End)
    }
}

impl Reader<'_> {
    /// The next step from `position` on, waiting for it at most `wait`.
    pub(crate) fn next(&self, position: &Position, wait: Duration) -> Step {
        let until = Instant::now() + wait;
        let mut state = self.0.lock();
        loop {
            if let Some(step) = state.step(position) {
                self.0.changed.notify_all();
                return step;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Step::Nothing;
            }
            state = self.0.changed.wait_timeout(state, left).expect("no holder panics").0;
        }
    }
}

impl Drop for Reader<'_> {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.readers -= 1;
        state.alone = Instant::now();
    }
}

#[cfg(test)]
mod tests;
