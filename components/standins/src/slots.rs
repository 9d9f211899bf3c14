//! The slots of an engine, given out by priority.

use std::collections::BTreeSet;

/// Slots, and the requests that wait for one.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    /// Slots that are taken.
    pub(crate) busy: usize,
    waiting: BTreeSet<(u8, u64)>,
    next: u64,
}

impl Slots {
    /// Lets a request wait; the lowest priority goes first, then the order of arrival.
    pub(crate) fn join(&mut self, priority: u8) -> (u8, u64) {
        self.next += 1;
        self.waiting.insert((priority, self.next));
        (priority, self.next)
    }

    /// Takes one of `slots` if it is the turn of a request that waits.
    pub(crate) fn take(&mut self, ticket: (u8, u64), slots: usize) -> bool {
        let turn = self.busy < slots && self.waiting.first() == Some(&ticket);
        if turn {
            self.waiting.remove(&ticket);
            self.busy += 1;
        }
        turn
    }
}
