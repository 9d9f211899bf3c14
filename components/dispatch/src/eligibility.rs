//! Which endpoints a request may be sent to. All attempts of a request pass through here: the first
//! one, retries, hedged requests and resumed streams.

use std::time::Instant;

use base::{ServiceId, Zone};
use catalog::Homes;

use crate::{
    EndpointKey, PendingRequest, RequestKey, endpoint::TrackedEndpoint, requests::Exclusion,
    state::Dispatcher,
};

impl Dispatcher {
    /// The endpoints of a service.
    pub(crate) fn endpoints_of(
        &self,
        service: &ServiceId,
    ) -> impl Iterator<Item = (EndpointKey, &TrackedEndpoint)> {
        self.endpoints.iter().filter(move |(_, tracked)| tracked.listed.service == *service)
    }

    /// The endpoints that a request may be sent to now. A gateway that does not know the others yet
    /// sends nothing to cold endpoints while there are warm ones.
    pub(crate) fn eligible(
        &self,
        request: &PendingRequest,
        now: Instant,
    ) -> Vec<(EndpointKey, &TrackedEndpoint)> {
        let of_service = self.endpoints_of(&request.service);
        let may_get = |(key, tracked): &(EndpointKey, &TrackedEndpoint)| {
            self.exclusion(*key, tracked, request, now).is_none()
        };
        let mut eligible: Vec<_> = of_service.filter(may_get).collect();
        if self.gateways.is_none() && eligible.iter().any(|(_, t)| !t.cold.is_cold(now)) {
            eligible.retain(|(_, tracked)| !tracked.cold.is_cold(now));
        }
        eligible
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
        if let Some(exclusion) = self.zone_exclusion(&tracked.listed.zone, &request.homes) {
            return Some(exclusion);
        }
        if tracked.is_backing_off(now) {
            return Some(Exclusion::Backoff);
        }
        if !tracked.health.is_available(now) {
            return Some(Exclusion::Unhealthy);
        }
        if !self.is_serving(tracked, now) {
            return Some(Exclusion::NotServing);
        }
        if tracked.cold.is_used_up(now) {
            return Some(Exclusion::Cold);
        }
        if !self.has_memory(tracked, request, now) {
            return Some(Exclusion::Memory);
        }
        // The last reason, as older weights may be used if nothing else speaks against the endpoint.
        self.has_old_weights(tracked, now).then_some(Exclusion::OldWeights)
    }

    /// The endpoints of the service that may not get a request now, each with the reason.
    pub(crate) fn exclusions(
        &self,
        request: &PendingRequest,
        now: Instant,
    ) -> impl Iterator<Item = (&TrackedEndpoint, Exclusion)> {
        let of_service = self.endpoints_of(&request.service);
        of_service.filter_map(move |(key, tracked)| {
            Some((tracked, self.exclusion(key, tracked, request, now)?))
        })
    }

    /// Why nothing that may be served in `homes` may be sent to a zone.
    pub(crate) fn zone_exclusion(&self, zone: &Zone, homes: &Homes) -> Option<Exclusion> {
        if homes.is_bound() && !homes.allow(self.regions.get(zone)) {
            return Some(Exclusion::Home);
        }
        self.evacuations.contains(zone).then_some(Exclusion::Evacuated)
    }

    /// Whether an endpoint may no longer be sent a request that was assigned to it: it asked for a pause
    /// since, its zone was evacuated, or the request may not be served in its region.
    pub fn is_withheld(&self, key: EndpointKey, homes: &Homes, now: Instant) -> bool {
        self.endpoints.get(key).is_some_and(|tracked| {
            tracked.is_backing_off(now)
                || self.zone_exclusion(&tracked.listed.zone, homes).is_some()
        })
    }

    /// Binds a waiting request to `homes`.
    pub fn set_homes(&mut self, key: RequestKey, homes: Homes) {
        if let Some(request) = self.pending.get_mut(key) {
            request.homes = homes;
        }
    }

    /// Whether an endpoint serves requests now; an engine needs weights for that.
    fn is_serving(&self, tracked: &TrackedEndpoint, now: Instant) -> bool {
        if !self.engine_models.contains_key(&tracked.listed.service) {
            return true;
        }
        let max_age = self.settings.max_report_age;
        let is_loading = tracked.fresh_report(max_age, now).is_some_and(|report| !report.serving);
        !is_loading && tracked.version(max_age, now).is_some()
    }

    /// Whether the weights of an engine may no longer answer.
    fn has_old_weights(&self, tracked: &TrackedEndpoint, now: Instant) -> bool {
        if !self.engine_models.contains_key(&tracked.listed.service) {
            return false;
        }
        let served = tracked.version(self.settings.max_report_age, now);
        let required = self.required_version(&tracked.listed.service, now);
        required.is_some_and(|required| served < Some(required))
    }
}
