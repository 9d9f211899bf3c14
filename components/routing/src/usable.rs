//! What two endpoints are compared by.

use base::VmId;

/// An endpoint that may get a request.
pub(crate) struct Usable {
    pub(crate) vm: VmId,
    pub(crate) local: bool,
    pub(crate) in_flight: u32,
    /// Requests of all entries there.
    pub(crate) busy: f64,
    pub(crate) slots: u32,
    pub(crate) allowed: u32,
    /// Above 0, at most 1.
    pub(crate) warmth: f64,
    pub(crate) time: Option<f64>,
}

impl Usable {
    /// Requests for each slot that is warm, if one more comes.
    pub(crate) fn load(&self) -> f64 {
        (self.busy + 1.0) / (f64::from(self.slots) * self.warmth)
    }

    pub(crate) fn has_room(&self) -> bool {
        let warm = (f64::from(self.slots) * self.warmth).ceil() as u32;
        self.in_flight < self.allowed.min(warm.max(1))
    }
}
