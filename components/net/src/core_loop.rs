//! The event loop that delivers events and timers to the actors of a process.
//!
//! All actors run on the thread of this loop. Other threads reach them only through a `Mailbox`.

use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender};
use stakker::Stakker;

/// Maximum time that the loop waits without an event or a timer.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Maximum number of events delivered in a row before timers are checked again.
const MAX_BATCH: usize = 256;

/// Sends events to the actors from any thread.
pub struct Mailbox<E> {
    sender: Sender<E>,
}

impl<E> Clone for Mailbox<E> {
    fn clone(&self) -> Mailbox<E> {
        Mailbox { sender: self.sender.clone() }
    }
}

impl<E> Mailbox<E> {
    /// Creates a mailbox and the receiver that the loop reads from.
    pub fn new() -> (Mailbox<E>, Receiver<E>) {
        let (sender, receiver) = crossbeam_channel::unbounded();
        (Mailbox { sender }, receiver)
    }

    /// Sends an event; returns false if the loop has ended.
    pub fn send(&self, event: E) -> bool {
        self.sender.send(event).is_ok()
    }

    /// Returns the number of queued events.
    pub fn queued(&self) -> usize {
        self.sender.len()
    }
}

/// Runs the event loop until an actor shuts it down.
pub fn run_event_loop<E>(
    mut stakker: Stakker,
    events: Receiver<E>,
    mut deliver: impl FnMut(&mut Stakker, E),
) {
    while stakker.not_shutdown() {
        stakker.run(Instant::now(), false);
        if !stakker.not_shutdown() {
            return;
        }
        let wait = stakker.next_wait_max(Instant::now(), MAX_WAIT, false);
        let Ok(first) = events.recv_timeout(wait) else { continue };
        // Advance the clock before the delivery, so that no event is handled with the time from before
        // the wait.
        stakker.run(Instant::now(), false);
        deliver(&mut stakker, first);
        for event in events.try_iter().take(MAX_BATCH) {
            deliver(&mut stakker, event);
        }
    }
}
