//! Counts the threads that handle requests, so that a stopping process can wait for them.

use std::{
    sync::{Arc, Condvar, Mutex},
    time::Instant,
};

/// The threads of a listener that handle requests.
#[derive(Clone, Default)]
pub struct HandlerTracker {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    count: Mutex<usize>,
    changed: Condvar,
}

/// Counts as one handler while it lives.
pub struct HandlerGuard(HandlerTracker);

impl HandlerTracker {
    /// Counts one more until the returned value is dropped.
    pub fn enter(&self) -> HandlerGuard {
        *self.shared.count.lock().expect("no holder panics") += 1;
        HandlerGuard(self.clone())
    }

    /// Handlers that run.
    pub fn count(&self) -> usize {
        *self.shared.count.lock().expect("no holder panics")
    }

    /// Waits until none runs; returns false if some still do at `until`.
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
