//! How many chunks one VM may read from the origin, so that all together stay within the budget.

use crate::{OriginBudget, Plan};

/// The part of this VM in the origin budget.
///
/// Each VM has the chunks that it owns, and an equal part of what the budget allows beyond one read
/// for each owner. The parts of all VMs of a plan add up to the budget, without any exchange.
#[derive(Debug, Default)]
pub(crate) struct Budget {
    /// Chunks that this VM may read.
    limit: usize,
    /// Chunks that it read or reads.
    used: usize,
}

impl Budget {
    /// Sets the limit for a list of `chunks` chunks.
    pub(crate) fn set(&mut self, plan: &Plan, chunks: usize, origin: OriginBudget) {
        let Some(position) = plan.position() else { return };
        let copies = (origin.copies as usize).min(plan.size());
        let owned = (0..chunks as u32).filter(|&c| plan.rank(c).is_some_and(|r| r < copies));
        let spare = (origin.percent as usize).saturating_sub(100 * copies) * chunks / 100;
        let part = |i: usize| spare * i / plan.size();
        self.limit = owned.count() + part(position + 1) - part(position);
    }

    /// Takes a read from the budget; returns whether there was one left.
    pub(crate) fn take(&mut self) -> bool {
        let left = self.used < self.limit;
        self.used += usize::from(left);
        left
    }

    /// Gives a read back that got no bytes.
    pub(crate) fn give_back(&mut self) {
        self.used = self.used.saturating_sub(1);
    }
}

#[cfg(test)]
mod tests;
