//! Which endpoints a request may be sent to. All attempts of a request pass through here: the first
//! one, retries, hedged requests and resumed streams.

use std::time::Instant;

use crate::{
    EndpointKey, PendingRequest, endpoint::TrackedEndpoint, requests::Exclusion, state::Dispatcher,
};

impl Dispatcher {
    /// The endpoints that a request may be sent to now.
    pub(crate) fn eligible(
        &self,
        request: &PendingRequest,
        now: Instant,
    ) -> impl Iterator<Item = (EndpointKey, &TrackedEndpoint)> {
        let of_service =
            self.endpoints.iter().filter(|(_, tracked)| tracked.listed.service == request.service);
        of_service
            .filter(move |(key, tracked)| self.exclusion(*key, tracked, request, now).is_none())
    }

    /// Why an endpoint of the service may not get a request now; `None` if it may.
    pub(crate) fn exclusion(
        &self,
        key: EndpointKey,
        tracked: &TrackedEndpoint,
        request: &PendingRequest,
        now: Instant,
    ) -> Option<Exclusion> {
        if request.tried.contains(&key) {
            return Some(Exclusion::Tried);
        }
        if !tracked.is_followed {
            return Some(Exclusion::NotFollowed);
        }
        if !tracked.is_listed_ready() {
            return Some(Exclusion::Leaving);
        }
        if tracked.is_backing_off(now) {
            return Some(Exclusion::Backoff);
        }
        if !tracked.health.is_available(now) {
            return Some(Exclusion::Unhealthy);
        }
        if let Some(excluded) = self.weights_exclusion(tracked, now) {
            return Some(excluded);
        }
        (!self.has_memory(tracked, request, now)).then_some(Exclusion::Memory)
    }

    /// Whether an engine lacks the weights that may answer.
    fn weights_exclusion(&self, tracked: &TrackedEndpoint, now: Instant) -> Option<Exclusion> {
        if !self.engine_models.contains_key(&tracked.listed.service) {
            return None;
        }
        let max_age = self.settings.max_report_age;
        if tracked.fresh_report(max_age, now).is_some_and(|report| !report.serving) {
            return Some(Exclusion::NotServing);
        }
        match (tracked.version(max_age, now), self.required_version(&tracked.listed.service, now)) {
            (None, _) => Some(Exclusion::NotServing),
            (Some(version), Some(required)) if version < required => Some(Exclusion::OldWeights),
            (Some(_), _) => None,
        }
    }
}
