//! What the endpoints of this gateway's availability zone can do for a request.

use std::time::Instant;

use crate::{PendingRequest, candidate::Candidate};

/// Fraction of the objective within which a zone with plenty of capacity answers.
const FREE_OBJECTIVE_FRACTION: f64 = 0.5;

/// What the endpoints of the zone can do for a request.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct LocalCapacity {
    /// Whether the zone has a reliable endpoint that may get the request.
    pub(crate) exists: bool,
    /// Whether an endpoint meets the objective.
    meets_objective: bool,
    /// Whether an endpoint takes requests that will miss their objective.
    takes_late: bool,
    /// Whether an endpoint meets the objective easily.
    is_free: bool,
    /// Whether the request tells how much capacity the zone has, as it came in time.
    is_in_time: bool,
}

impl LocalCapacity {
    pub(crate) fn new<'a>(
        request: &PendingRequest,
        candidates: impl Iterator<Item = &'a Candidate>,
        now: Instant,
    ) -> LocalCapacity {
        let waited = now.saturating_duration_since(request.requested_at);
        let objective = request.latency_objective;
        let free_ms = objective.as_secs_f64() * 1e3 * FREE_OBJECTIVE_FRACTION;
        let is_in_time = !request.was_refused && waited <= objective;
        let mut local = LocalCapacity { is_in_time, ..LocalCapacity::default() };
        for candidate in candidates {
            local.exists = true;
            if candidate.has_token {
                local.meets_objective |= candidate.meets_objective;
                local.takes_late |= candidate.has_late_capacity;
                local.is_free |= candidate.meets_objective && candidate.expected_ms <= free_ms;
            }
        }
        local
    }

    /// Whether the zone has plenty of capacity; `None` if the request does not tell.
    pub(crate) fn is_free(self) -> Option<bool> {
        (self.exists && self.is_in_time).then_some(self.is_free)
    }

    /// Whether the zone serves the request as well as a candidate of another zone does.
    pub(crate) fn serves_as_well(self, candidate: &Candidate) -> bool {
        self.meets_objective || !candidate.meets_objective && self.takes_late
    }
}
