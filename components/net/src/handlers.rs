//! Counts the running request handlers, so that a process can wait for them when it shuts down.

use std::{
    sync::{Arc, Condvar, Mutex},
    time::Instant,
};

/// Counts the running handlers of a listener.
#[derive(Clone, Default)]
pub struct HandlerTracker {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    count: Mutex<usize>,
    changed: Condvar,
}

/// Counts as one running handler until it is dropped.
pub struct HandlerGuard(HandlerTracker);

impl HandlerTracker {
    /// Counts one more handler until the returned guard is dropped.
    pub fn enter(&self) -> HandlerGuard {
        *self.shared.count.lock().expect("no holder panics") += 1;
        HandlerGuard(self.clone())
    }

    /// Returns the number of running handlers.
    pub fn count(&self) -> usize {
        *self.shared.count.lock().expect("no holder panics")
    }

    /// Waits until no handler runs. Returns false if some are still running at `until`.
    pub fn wait(&self, until: Instant) -> bool {
        let mut count = self.shared.count.lock().expect("no holder panics");
        while *count > 0 {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            count = self.shared.changed.wait_timeout(count, left).expect("no holder panics").0;
        }
        true
    }
}

impl Drop for HandlerGuard {
    fn drop(&mut self) {
        *self.0.shared.count.lock().expect("no holder panics") -= 1;
        self.0.shared.changed.notify_all();
    }
}
