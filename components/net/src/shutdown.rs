//! Tells threads to stop, and until when a planned stop may take.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// Closed once, seen by all clones.
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

/// The time of a planned stop, seen by all clones.
#[derive(Clone)]
pub struct DrainTimer {
    limit: Duration,
    begun: Arc<OnceLock<Instant>>,
}

impl DrainTimer {
    /// A stop that has not begun and may take `limit`.
    pub fn new(limit: Duration) -> DrainTimer {
        DrainTimer { limit, begun: Arc::default() }
    }

    /// The stop begins, unless it has begun already.
    pub fn begin(&self) {
        self.begun.get_or_init(Instant::now);
    }

    /// When the stop must be over.
    pub fn deadline(&self) -> Instant {
        *self.begun.get_or_init(Instant::now) + self.limit
    }
}
