//! The last changes of a document, kept so that peers that are a little behind get these alone.

use std::collections::VecDeque;

use base::Revision;
use serde::Serialize;

/// Changes that are kept.
const MAX_CHANGES: usize = 64;
/// Most bytes of the changes that are kept.
const MAX_BYTES: usize = 256 << 10;

#[derive(Debug, Clone)]
struct Change<D> {
    base: Revision,
    revision: Revision,
    delta: D,
    bytes: usize,
}

/// Changes in order; each begins at the revision that the one before it leads to.
#[derive(Debug, Clone)]
pub(crate) struct History<D> {
    changes: VecDeque<Change<D>>,
    /// Sum over `steps`; at most `KEPT_BYTES`.
    bytes: usize,
}

impl<D> Default for History<D> {
    fn default() -> History<D> {
        History { changes: VecDeque::new(), bytes: 0 }
    }
}

impl<D: Clone + Serialize> History<D> {
    /// Adds the change from `base` to `revision`; the oldest make room for it.
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

    /// All changes since `have`, if they are known and shorter than the whole of `whole` bytes.
    pub(crate) fn since(&self, have: Revision, whole: usize) -> Option<Vec<D>> {
        let first = self.changes.iter().position(|step| step.base == have)?;
        let steps = || self.changes.iter().skip(first);
        debug_assert!(steps().all(|step| step.base < step.revision));
        let bytes: usize = steps().map(|step| step.bytes).sum();
        (bytes < whole).then(|| steps().map(|step| step.delta.clone()).collect())
    }
}

#[cfg(test)]
mod tests;
