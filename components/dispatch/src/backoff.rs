//! Times for which endpoints asked to be sent nothing.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::ServiceId;
use catalog::{Endpoint, EndpointId, Homes};

use crate::{
    EndpointKey, Exclusion, PendingRequest,
    departures::{Run, follows},
    endpoint::TrackedEndpoint,
    state::Dispatcher,
};

/// The time of an endpoint that is not listed at the moment.
#[derive(Debug, Clone)]
struct UnlistedBackoff {
    run: Run,
    until: Instant,
}

/// Times of endpoints that are not listed at the moment. An entry may lapse and come back while its
/// endpoint runs.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnlistedBackoffs(HashMap<EndpointId, UnlistedBackoff>);

impl UnlistedBackoffs {
    /// Keeps the time of an endpoint that is removed from the list, if it asked for one.
    pub(crate) fn keep(&mut self, removed: &TrackedEndpoint) {
        if let Some(until) = removed.backoff_until {
            let run = Run::of(&removed.listed);
            self.0.insert(removed.listed.id.clone(), UnlistedBackoff { run, until });
        }
    }

    /// Takes the time of an endpoint that is listed again, unless it is a later run, which knows nothing
    /// of it.
    pub(crate) fn take(&mut self, listed: &Endpoint, now: Instant) -> Option<Instant> {
        self.0.retain(|_, backoff| now < backoff.until);
        let kept = self.0.remove(&listed.id)?;
        (!follows(&Run::of(listed), &kept.run)).then_some(kept.until)
    }
}

impl TrackedEndpoint {
    /// Whether the endpoint asked to be sent nothing for now.
    pub(crate) fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }
}

impl Dispatcher {
    /// Records that an endpoint asked to be sent nothing for a time. It does not shorten a time that it
    /// asked for before, as answers overtake each other.
    pub fn record_backoff(&mut self, key: EndpointKey, time: Duration, now: Instant) {
        if let Some(tracked) = self.endpoints.get_mut(key) {
            tracked.backoff_until = tracked.backoff_until.max(now.checked_add(time));
        }
    }

    /// Whether an endpoint asked to be sent nothing for now.
    pub fn is_backing_off(&self, key: EndpointKey, now: Instant) -> bool {
        self.endpoints.get(key).is_some_and(|tracked| tracked.is_backing_off(now))
    }

    /// Time until the first endpoint of a service that may serve requests bound to `homes` may be sent
    /// some, if all of these asked to be sent none for now.
    pub fn service_backoff(
        &self,
        service: &ServiceId,
        homes: &Homes,
        now: Instant,
    ) -> Option<Duration> {
        let of_service = self.endpoints_of(service).map(|(_, tracked)| tracked);
        let of_service = of_service.filter(|tracked| {
            tracked.is_followed
                && tracked.is_listed_ready()
                && self.zone_exclusion(&tracked.listed.zone, homes).is_none()
        });
        let ends = of_service.map(|tracked| tracked.backoff_until.unwrap_or(now).max(now));
        let time = ends.min()?.saturating_duration_since(now);
        (!time.is_zero()).then_some(time.min(self.settings.max_backoff_retry))
    }

    /// When the first endpoint that a request may be sent to may get it, of those that are only paused
    /// after a refusal or asked to be sent nothing for now. When a cold one may get it is counted apart.
    pub(crate) fn earliest_return(
        &self,
        request: &PendingRequest,
        now: Instant,
    ) -> Option<Instant> {
        let is_passing = |why: Exclusion| why.may_pass_soon() && why != Exclusion::Cold;
        let passing = self.exclusions(request, now).filter(|(_, why)| is_passing(*why));
        let returning = passing
            .filter(|(tracked, _)| tracked.is_backing_off(now) || tracked.health.is_pausing());
        returning.map(|(tracked, _)| tracked.backoff_until.unwrap_or(now).max(now)).min()
    }
}
