//! A latch that tells threads to stop.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
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
