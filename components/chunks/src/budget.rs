//! Per-VM limit on reads from the origin that keeps all VMs together within the origin budget.

use crate::{OriginBudget, Plan};

/// This VM's share of the origin budget.
///
/// Each VM may read the chunks that it owns, plus an equal share of what the budget allows beyond
/// one read per owner. The shares of all VMs of a plan add up to the budget without coordination.
#[derive(Debug, Default)]
pub(crate) struct OriginAllowance {
    /// Number of chunks that this VM may read.
    limit: usize,
    /// Number of reads that were started, except those that were refunded.
    used: usize,
}

impl OriginAllowance {
    /// Sets the limit for a list of `chunks` chunks; keeps it if this VM is not in the plan.
    pub(crate) fn set_limit(&mut self, plan: &Plan, chunks: usize, origin: OriginBudget) {
        let Some(position) = plan.position() else { return };
        let copies = (origin.copies as usize).min(plan.size());
        let owned = (0..chunks as u32).filter(|&c| plan.rank(c).is_some_and(|r| r < copies));
        let spare = (origin.percent as usize).saturating_sub(100 * copies) * chunks / 100;
        let share = |i: usize| spare * i / plan.size();
        self.limit = owned.count() + share(position + 1) - share(position);
    }

    /// Consumes one read; returns false if none is left.
    pub(crate) fn try_take(&mut self) -> bool {
        let left = self.used < self.limit;
        self.used += usize::from(left);
        left
    }

    /// Returns a read that received no bytes.
    pub(crate) fn refund(&mut self) {
        self.used = self.used.saturating_sub(1);
    }
}

#[cfg(test)]
mod tests;
