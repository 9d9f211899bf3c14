//! What two endpoints are compared by.

use base::VmId;

/// An endpoint that may get a request.
pub(crate) struct Candidate {
    pub(crate) vm: VmId,
    pub(crate) is_local: bool,
    pub(crate) in_flight: u32,
    /// Requests of all entries there.
    pub(crate) total_in_flight: f64,
    pub(crate) slots: u32,
    pub(crate) max_in_flight: u32,
    /// Above 0, at most 1.
    pub(crate) warm_up_factor: f64,
    pub(crate) mean_seconds: Option<f64>,
}

impl Candidate {
    /// Requests for each slot that is warm, if one more comes.
    pub(crate) fn load(&self) -> f64 {
        (self.total_in_flight + 1.0) / (f64::from(self.slots) * self.warm_up_factor)
    }

    pub(crate) fn has_room(&self) -> bool {
        let warm = (f64::from(self.slots) * self.warm_up_factor).ceil() as u32;
        self.in_flight < self.max_in_flight.min(warm.max(1))
    }
}
