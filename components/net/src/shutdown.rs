//! Stop signal and deadline for a graceful shutdown.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// A flag that is set once (closed) and visible to all clones.
#[derive(Clone, Default)]
pub struct Latch(Arc<AtomicBool>);

impl Latch {
    /// Closes the latch.
    pub fn close(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Whether it is closed.
    pub fn is_closed(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// The time limit of a graceful shutdown, shared by all clones.
#[derive(Clone)]
pub struct DrainTimer {
    limit: Duration,
    started_at: Arc<OnceLock<Instant>>,
}

impl DrainTimer {
    /// Creates a timer for a shutdown that has not begun and may take `limit`.
    pub fn new(limit: Duration) -> DrainTimer {
        DrainTimer { limit, started_at: Arc::default() }
    }

    /// Starts the shutdown, unless it has begun already.
    pub fn begin(&self) {
        self.started_at.get_or_init(Instant::now);
    }

    /// Returns the time by which the shutdown must be complete. Starts the shutdown if it has not
    /// begun.
    pub fn deadline(&self) -> Instant {
        *self.started_at.get_or_init(Instant::now) + self.limit
    }
}
