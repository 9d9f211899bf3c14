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
pub(crate) struct Claims(u32);

impl Claims {
    /// The share of one of `gateways` in `free` slots. `draw` is a random number below 1, which decides
    /// whether a fraction of a slot counts.
    pub(crate) fn share(free: f64, gateways: usize, draw: f64) -> Claims {
        Claims((free / gateways.max(1) as f64 + draw) as u32)
    }

    fn take(&mut self) {
        self.0 = self.0.saturating_sub(1);
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
        Claims::share(slots.saturating_sub(busy).into(), gateways, draw)
    }

    /// Whether this gateway may take a slot of an endpoint: one that it prefers, or of which it has a
    /// share left.
    pub(crate) fn may_claim(&self, tracked: &TrackedEndpoint, now: Instant) -> bool {
        let is_known = tracked.fresh_report(self.settings.max_report_age, now).is_some();
        match self.relation(tracked, now) {
            Relation::Preferred => true,
            Relation::SameZone | Relation::OtherZone => !is_known || tracked.claims.0 > 0,
        }
    }
}

impl TrackedEndpoint {
    /// Takes a slot for a request that is sent.
    pub(crate) fn take_claim(&mut self) {
        self.claims.take();
    }
}

#[cfg(test)]
mod tests;
