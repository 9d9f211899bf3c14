//! The properties by which endpoints are compared.

use base::VmId;

/// An endpoint that may get a request.
pub(crate) struct Candidate {
    pub(crate) vm: VmId,
    pub(crate) is_local: bool,
    pub(crate) in_flight: u32,
    /// Requests in flight at the endpoint, of all entries.
    pub(crate) total_in_flight: f64,
    pub(crate) slots: u32,
    pub(crate) max_in_flight: u32,
    /// Warm-up factor, above 0 and at most 1.
    pub(crate) warm_up_factor: f64,
    pub(crate) mean_seconds: Option<f64>,
}

impl Candidate {
    /// Requests per usable slot if one more request is sent; slots are scaled by the warm-up
    /// factor.
    pub(crate) fn load(&self) -> f64 {
        (self.total_in_flight + 1.0) / (f64::from(self.slots) * self.warm_up_factor)
    }

    pub(crate) fn has_capacity(&self) -> bool {
        let warm_slots = (f64::from(self.slots) * self.warm_up_factor).ceil() as u32;
        self.in_flight < self.max_in_flight.min(warm_slots.max(1))
    }
}
