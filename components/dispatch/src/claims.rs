//! Shares of the free slots of endpoints that other gateways send requests to first.
//!
//! Many gateways learn of a free slot by the same report. If each of them took it, all but one of their
//! requests would wait for the next ones. So a report gives each gateway only its share of the slots that
//! are free, and a fraction of a slot only sometimes. Those that prefer the endpoint learn of its load
//! earlier and are not limited.

use std::time::Instant;

use crate::{EngineStatus, Relation, endpoint::TrackedEndpoint, state::Dispatcher};

/// Slots of one endpoint that this gateway may take until the next report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Claims {
    left: u32,
    taken: u32,
}

impl Claims {
    /// The share of one of `gateways` in `free` slots. `draw` is a random number below 1, which decides
    /// whether a fraction of a slot counts.
    pub(crate) fn share(free: f64, gateways: usize, draw: f64) -> Claims {
        Claims { left: (free / gateways.max(1) as f64 + draw) as u32, taken: 0 }
    }

    /// Takes a slot, if one is left. Returns whether it was.
    fn take(&mut self) -> bool {
        if self.left == 0 {
            return false;
        }
        self.left -= 1;
        self.taken += 1;
        true
    }

    /// Returns a slot that was taken and is free again.
    fn give_back(&mut self) {
        if self.taken > 0 {
            self.taken -= 1;
            self.left += 1;
        }
    }
}

impl Dispatcher {
    /// The slots that this gateway may take after a report on an endpoint.
    pub(crate) fn claims_by(&self, tracked: &TrackedEndpoint, report: &EngineStatus) -> Claims {
        let model = self.engine_models.get(&tracked.listed.service);
        let slots = model.map_or(tracked.listed.slots, |model| model.slots());
        let busy = report.waiting + report.running;
        let gateways = match tracked.listed.zone == self.zone {
            true => self.zone_gateways,
            false => self.retry_budget.gateways() as usize,
        };
        let draw = self.rng.borrow_mut().f64();
        Claims::share(slots.max(1).saturating_sub(busy).into(), gateways, draw)
    }

    /// Whether this gateway may take a slot of an endpoint: one that it prefers, or of which it has a
    /// share left.
    pub(crate) fn may_claim(
        &self,
        tracked: &TrackedEndpoint,
        relation: Relation,
        now: Instant,
    ) -> bool {
        let is_known = tracked.fresh_report(self.settings.max_report_age, now).is_some();
        let is_only = self.retry_budget.gateways() == 1;
        match relation {
            Relation::Preferred => true,
            Relation::SameZone | Relation::OtherZone => {
                !is_known || is_only || tracked.claims.left > 0
            }
        }
    }
}

impl TrackedEndpoint {
    /// Takes a slot for a request that is sent, if one is left. Returns whether it was.
    pub(crate) fn take_claim(&mut self) -> bool {
        self.claims.take()
    }

    /// Returns the slot of a request that ended.
    pub(crate) fn return_claim(&mut self) {
        self.claims.give_back();
    }
}

#[cfg(test)]
mod tests;
