//! Recent changes of a document, kept so that peers a few revisions behind receive only these.

use std::collections::VecDeque;

use base::Revision;
use serde::Serialize;

/// Maximum number of changes that are kept.
const MAX_CHANGES: usize = 64;
/// Maximum size of the kept changes in bytes.
const MAX_BYTES: usize = 256 << 10;

#[derive(Debug, Clone)]
struct Change<D> {
    base: Revision,
    revision: Revision,
    delta: D,
    bytes: usize,
}

/// Consecutive changes: each starts at the revision that the previous one results in.
#[derive(Debug, Clone)]
pub(crate) struct History<D> {
    changes: VecDeque<Change<D>>,
    /// Sum over `changes`; at most `MAX_BYTES`.
    bytes: usize,
}

impl<D> Default for History<D> {
    fn default() -> History<D> {
        History { changes: VecDeque::new(), bytes: 0 }
    }
}

impl<D: Clone + Serialize> History<D> {
    /// Adds the change from `base` to `revision`, and drops the oldest changes to stay within the
    /// bounds. A change from revision 0 or one that exceeds `MAX_BYTES` clears the history.
    pub(crate) fn push(&mut self, base: Revision, revision: Revision, delta: D) {
        let bytes = serde_json::to_vec(&delta).map_or(usize::MAX, |text| text.len());
        if base == Revision(0) || bytes > MAX_BYTES {
            *self = History::default();
            return;
        }
        while self.changes.len() >= MAX_CHANGES || self.bytes + bytes > MAX_BYTES {
            let Some(oldest) = self.changes.pop_front() else { break };
            self.bytes -= oldest.bytes;
        }
        self.bytes += bytes;
        self.changes.push_back(Change { base, revision, delta, bytes });
    }

    /// Returns all changes since `have`, if they are known and smaller than the full document of
    /// `whole` bytes.
    pub(crate) fn since(&self, have: Revision, whole: usize) -> Option<Vec<D>> {
        let first = self.changes.iter().position(|change| change.base == have)?;
        let newer = || self.changes.iter().skip(first);
        debug_assert!(newer().all(|change| change.base < change.revision));
        let bytes: usize = newer().map(|change| change.bytes).sum();
        (bytes < whole).then(|| newer().map(|change| change.delta.clone()).collect())
    }
}

#[cfg(test)]
mod tests;
