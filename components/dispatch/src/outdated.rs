//! Endpoints with older weights than required, while too few have the required ones.
//!
//! A version is required for a while before a request that begins on an older one would break the
//! time limit. If no endpoint with the required weights can take a request in that time, one with
//! older weights may, provided that the request begins soon enough.

use std::time::{Duration, Instant};

use crate::{
    Exclusion, PendingRequest, candidate::Candidate, endpoint::TrackedEndpoint, state::Dispatcher,
};

/// Time by which a request may begin later than predicted.
const START_SLACK: Duration = Duration::from_millis(150);

impl Dispatcher {
    /// The endpoints with older weights than required at which the request begins in time.
    pub(crate) fn outdated_candidates(
        &self,
        request: &PendingRequest,
        now: Instant,
    ) -> Vec<Candidate> {
        if !self.has_open_start(request, now) {
            return Vec::new();
        }
        let of_service = self.endpoints_of(&request.service);
        let outdated = of_service.filter(|(key, tracked)| {
            self.exclusion(*key, tracked, request, now) == Some(Exclusion::OldWeights)
        });
        let terms = self.terms(request, now);
        let candidates = outdated.filter_map(|(key, tracked)| {
            let candidate = self.candidate(key, tracked, request, &terms, now);
            let starts_at = now + candidate.expected() + START_SLACK;
            let is_in_time = self.last_start(tracked, now).is_some_and(|last| starts_at < last);
            is_in_time.then_some(candidate)
        });
        candidates.collect()
    }

    /// Until when a request may begin at an endpoint with older weights than required; `None` if it has
    /// the required ones.
    pub(crate) fn last_start(&self, tracked: &TrackedEndpoint, now: Instant) -> Option<Instant> {
        let served = tracked.version(self.settings.max_report_age, now)?;
        let required = self.version_requirements.get(&tracked.listed.service)?;
        let newer = required.iter().filter(|r| now >= r.effective_at && served < r.version);
        newer.map(|r| r.last_start).min()
    }

    /// Whether a request may still begin on older weights than required.
    fn has_open_start(&self, request: &PendingRequest, now: Instant) -> bool {
        let required = self.version_requirements.get(&request.service);
        let mut required = required.into_iter().flatten();
        required.any(|r| now >= r.effective_at && now < r.last_start)
    }
}
