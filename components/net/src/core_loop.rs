//! The loop that gives events and time to the actors of a process.
//!
//! Actors run on the one thread of this loop. Other threads reach them only through a `Mailbox`.

use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender};
use stakker::Stakker;

/// Longest wait of the loop without an event or a timer.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Events that are delivered before the timers are looked at again.
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
    /// A mailbox and the end that the loop reads.
    pub fn new() -> (Mailbox<E>, Receiver<E>) {
        let (sender, receiver) = crossbeam_channel::unbounded();
        (Mailbox { sender }, receiver)
    }

    /// Sends an event; returns false if the loop has ended.
    pub fn send(&self, event: E) -> bool {
        self.sender.send(event).is_ok()
    }

    /// Events that wait.
    pub fn queued(&self) -> usize {
        self.sender.len()
    }
}

/// Runs the actors until one of them shuts the runtime down.
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
        // The clock is set first, so that no event is judged by the time before the wait.
        stakker.run(Instant::now(), false);
        deliver(&mut stakker, first);
        for event in events.try_iter().take(MAX_BATCH) {
            deliver(&mut stakker, event);
        }
    }
}
