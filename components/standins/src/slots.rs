//! The slots of the fake engine, assigned by priority.

use std::collections::BTreeSet;

/// Occupied slots, and the queue of requests that wait for one.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    /// Number of occupied slots.
    pub(crate) busy: usize,
    waiting: BTreeSet<(u8, u64)>,
    next_ticket: u64,
}

impl Slots {
    /// Queues a request and returns its ticket. Lower priority values go first, then earlier ones.
    pub(crate) fn enqueue(&mut self, priority: u8) -> (u8, u64) {
        self.next_ticket += 1;
        self.waiting.insert((priority, self.next_ticket));
        (priority, self.next_ticket)
    }

    /// Takes one of `slots` if one is free and the ticket is first in the queue.
    pub(crate) fn try_take(&mut self, ticket: (u8, u64), slots: usize) -> bool {
        let is_next = self.busy < slots && self.waiting.first() == Some(&ticket);
        if is_next {
            self.waiting.remove(&ticket);
            self.busy += 1;
        }
        is_next
    }
}
