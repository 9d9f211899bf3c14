//! The endpoints that an entry uses, and how it picks one of them for a request.

use std::{
    collections::{BTreeMap, HashSet, btree_map::Entry},
    time::{Duration, Instant},
};

use base::{Incarnation, ReleaseId, ServiceId, VmId, Zone};
use fastrand::Rng;
use proto::EndpointState;
use settings::RoutingPolicy;

use crate::{
    candidate::Candidate,
    health::{EndpointOutcome, Health, HealthSettings},
    requirements::{AllowedReleases, EndpointRequirements, SlotQuota},
    subset::ZonedVm,
};

/// Weight of the newest value in a moving average.
const EWMA_WEIGHT: f64 = 0.2;
/// Fraction of the endpoints that must serve a current release before the others count as left
/// behind.
const MIN_CURRENT_FRACTION: f64 = 0.75;

/// Settings of the router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterSettings {
    /// How an endpoint is picked.
    pub policy: RoutingPolicy,
    /// Age after which the state that an agent reported is ignored.
    pub max_state_age: Duration,
    /// Maximum age of a reported load from which free slots beyond the entry's own quota are
    /// derived.
    pub max_load_age: Duration,
    /// Time without progress of a rollout after which endpoints that it left behind get no
    /// requests.
    pub rollout_stall_timeout: Duration,
    /// Settings of circuit breakers and slow start.
    pub health: HealthSettings,
}

impl Default for RouterSettings {
    fn default() -> RouterSettings {
        RouterSettings {
            policy: RoutingPolicy::P2c,
            max_state_age: Duration::from_secs(6),
            max_load_age: Duration::from_secs(2),
            rollout_stall_timeout: Duration::from_secs(120),
            health: HealthSettings::default(),
        }
    }
}

/// State of one endpoint as the router knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct TrackedEndpoint {
    /// The VM's availability zone.
    pub zone: Zone,
    /// The state that its agent reported last; `None` if the agent has not reported or did not
    /// answer.
    pub state: Option<EndpointState>,
    /// When that state was received.
    pub seen_at: Instant,
    /// Attempts of this entry in progress.
    pub in_flight: u32,
    /// Attempts of the other entries: a moving average of the reports, because each report is
    /// outdated when it arrives.
    others_in_flight: f64,
    /// Moving average of the response time in seconds; `None` before the first answer.
    mean_seconds: Option<f64>,
    /// When `others_in_flight` was last updated.
    load_seen_at: Instant,
    health: Health,
}

/// A picked endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PickedEndpoint {
    /// The endpoint's VM.
    pub vm: VmId,
    /// Incarnation of the VM's agent.
    pub incarnation: Incarnation,
    /// The release that the endpoint serves.
    pub release: Option<ReleaseId>,
}

#[derive(Debug, Default)]
struct ServiceState {
    allowed_releases: AllowedReleases,
    slot_quota: SlotQuota,
    /// When an endpoint last started to serve a current release.
    last_progress: Option<Instant>,
    /// Number of picks, for round robin.
    picks: usize,
}

/// Picks endpoints for the requests of an entry.
pub struct Router {
    settings: RouterSettings,
    zone: Zone,
    endpoints: BTreeMap<VmId, TrackedEndpoint>,
    services: BTreeMap<ServiceId, ServiceState>,
    rng: Rng,
}

impl Router {
    /// Creates a router in `zone` that knows no endpoint.
    pub fn new(zone: Zone, settings: RouterSettings, rng: Rng) -> Router {
        Router { settings, zone, endpoints: BTreeMap::new(), services: BTreeMap::new(), rng }
    }

    /// Sets the age after which a reported state is ignored.
    pub fn set_max_state_age(&mut self, max_state_age: Duration) {
        self.settings.max_state_age = max_state_age;
    }

    /// Sets the releases that may answer for a service.
    pub fn set_allowed_releases(
        &mut self,
        service: &ServiceId,
        allowed: AllowedReleases,
        now: Instant,
    ) {
        let state = self.services.entry(service.clone()).or_default();
        if state.allowed_releases != allowed {
            state.allowed_releases = allowed;
            state.last_progress = Some(now);
        }
    }

    /// Sets the fraction of a service's slots that this entry may use.
    pub fn set_slot_quota(&mut self, service: &ServiceId, quota: SlotQuota) {
        self.services.entry(service.clone()).or_default().slot_quota = quota;
    }

    /// Replaces the set of endpoints; returns those that were added and those that were removed.
    pub fn set_endpoints(
        &mut self,
        endpoints: Vec<ZonedVm>,
        now: Instant,
    ) -> (Vec<VmId>, Vec<VmId>) {
        let kept: HashSet<&VmId> = endpoints.iter().map(|e| &e.vm).collect();
        let removed: Vec<VmId> =
            self.endpoints.keys().filter(|vm| !kept.contains(vm)).cloned().collect();
        for vm in &removed {
            self.endpoints.remove(vm);
        }
        let mut added = Vec::new();
        for endpoint in endpoints {
            if let Entry::Vacant(slot) = self.endpoints.entry(endpoint.vm) {
                added.push(slot.key().clone());
                slot.insert(new_endpoint(endpoint.zone, now));
            }
        }
        (added, removed)
    }

    /// Applies the state that an agent reported.
    pub fn observe(&mut self, state: EndpointState, now: Instant) {
        let Some(tracked) = self.endpoints.get_mut(&state.vm) else { return };
        let before = tracked.state.as_ref();
        let changed =
            before.is_none_or(|s| s.incarnation != state.incarnation || s.serving != state.serving);
        if changed {
            tracked.health.restart_warm_up(now);
            self.record_progress(&state, now);
        }
        let Some(tracked) = self.endpoints.get_mut(&state.vm) else { return };
        let others_in_flight = f64::from(state.load.busy.saturating_sub(tracked.in_flight));
        tracked.others_in_flight = if changed {
            others_in_flight
        } else {
            ewma(tracked.others_in_flight, others_in_flight)
        };
        tracked.load_seen_at = now;
        tracked.seen_at = now;
        tracked.state = Some(state);
    }

    fn record_progress(&mut self, state: &EndpointState, now: Instant) {
        let Some(serving) = &state.serving else { return };
        let Some(service) = self.services.get_mut(&serving.service) else { return };
        if serving.release.as_ref().is_some_and(|r| service.allowed_releases.current.contains(r)) {
            service.last_progress = Some(now);
        }
    }

    /// Discards the reported state of an endpoint whose agent did not answer.
    pub fn mark_unresponsive(&mut self, vm: &VmId) {
        if let Some(tracked) = self.endpoints.get_mut(vm) {
            tracked.state = None;
        }
    }

    /// All endpoints with their state.
    pub fn endpoints(&self) -> impl Iterator<Item = (&VmId, &TrackedEndpoint)> {
        self.endpoints.iter()
    }

    /// The state of an endpoint.
    pub fn endpoint(&self, vm: &VmId) -> Option<&TrackedEndpoint> {
        self.endpoints.get(vm)
    }

    /// Number of slots of all endpoints that report to serve the service.
    pub fn total_slots(&self, service: &ServiceId) -> u32 {
        let states = self.endpoints.values().filter_map(|tracked| tracked.state.as_ref());
        let serving = states.filter(|s| s.serving.as_ref().is_some_and(|x| x.service == *service));
        serving.map(|s| s.load.slots).sum()
    }

    /// Picks an endpoint for a request; `None` if no endpoint may get it now.
    pub fn pick(
        &mut self,
        requirements: &EndpointRequirements<'_>,
        now: Instant,
    ) -> Option<PickedEndpoint> {
        let mut candidates = self.candidates(requirements, now);
        if candidates.iter().any(|c| !requirements.tried.contains(&c.vm)) {
            candidates.retain(|c| !requirements.tried.contains(&c.vm));
        }
        if candidates.is_empty() {
            return None;
        }
        let picks = self.services.get_mut(requirements.service).map_or(0, |s| {
            s.picks += 1;
            s.picks
        });
        let index = match self.settings.policy {
            RoutingPolicy::P2c => {
                self.prefer_local(&mut candidates);
                self.pick_less_loaded(&candidates)
            }
            RoutingPolicy::Random => self.rng.usize(..candidates.len()),
            RoutingPolicy::RoundRobin => picks % candidates.len(),
        };
        let vm = candidates[index].vm.clone();
        let state = self.endpoints.get(&vm)?.state.as_ref()?;
        let release = state.serving.as_ref().and_then(|s| s.release.clone());
        Some(PickedEndpoint { vm, incarnation: state.incarnation, release })
    }

    /// Endpoints that may get the request now.
    fn candidates(&self, requirements: &EndpointRequirements<'_>, now: Instant) -> Vec<Candidate> {
        let allow_older = self.allows_older_releases(requirements.service, now);
        let all = self.endpoints.iter().filter(|(vm, _)| !requirements.avoid.contains(vm));
        let mut candidates: Vec<Candidate> = all
            .filter_map(|(vm, tracked)| self.candidate(vm, tracked, requirements, allow_older, now))
            .collect();
        // If all candidates are warming up, they are compared as if the warmest one were warm.
        let warmest = candidates.iter().map(|c| c.warm_up_factor).fold(0.0, f64::max);
        for candidate in &mut candidates {
            candidate.warm_up_factor /= warmest;
        }
        candidates.retain(Candidate::has_capacity);
        candidates
    }

    fn candidate(
        &self,
        vm: &VmId,
        tracked: &TrackedEndpoint,
        requirements: &EndpointRequirements<'_>,
        allow_older: bool,
        now: Instant,
    ) -> Option<Candidate> {
        let state = tracked.state.as_ref()?;
        let serving = state.serving.as_ref().filter(|s| s.service == *requirements.service)?;
        let service = self.services.get(requirements.service)?;
        let fresh = now.saturating_duration_since(tracked.seen_at) <= self.settings.max_state_age;
        let release_matches =
            requirements.release.is_none() || serving.release.as_ref() == requirements.release;
        let allowed = service.allowed_releases.allows(serving.release.as_ref(), allow_older);
        let healthy = tracked.health.is_available(tracked.in_flight, now);
        if !(state.accepting && fresh && release_matches && allowed && healthy) {
            return None;
        }
        Some(Candidate {
            vm: vm.clone(),
            is_local: tracked.zone == self.zone,
            in_flight: tracked.in_flight,
            total_in_flight: tracked.others_in_flight + f64::from(tracked.in_flight),
            slots: state.load.slots.max(1),
            mean_seconds: tracked.mean_seconds,
            max_in_flight: self.max_in_flight(service.slot_quota, tracked, state.load.slots, now),
            warm_up_factor: tracked.health.warm_up_factor(&self.settings.health, now),
        })
    }

    /// Whether endpoints that serve an older release of the same model may be used. Once most
    /// endpoints serve a current release and no further ones follow, the others count as left
    /// behind by the rollout and get no requests.
    fn allows_older_releases(&self, id: &ServiceId, now: Instant) -> bool {
        let Some(service) = self.services.get(id) else { return false };
        let recent =
            |at: Instant| now.saturating_duration_since(at) <= self.settings.rollout_stall_timeout;
        if service.last_progress.is_some_and(recent) {
            return true;
        }
        let states = self.endpoints.values().filter_map(|tracked| tracked.state.as_ref());
        let serving = states.filter_map(|s| s.serving.as_ref()).filter(|s| s.service == *id);
        let (mut current, mut all) = (0.0, 0.0);
        for release in serving.filter_map(|s| s.release.as_ref()) {
            all += 1.0;
            current += f64::from(u8::from(service.allowed_releases.current.contains(release)));
        }
        current < all * MIN_CURRENT_FRACTION
    }

    /// Maximum number of this entry's attempts in progress at an endpoint.
    fn max_in_flight(
        &self,
        quota: SlotQuota,
        tracked: &TrackedEndpoint,
        slots: u32,
        now: Instant,
    ) -> u32 {
        let own = ((f64::from(slots) * quota.fraction).floor() as u32).clamp(1, slots.max(1));
        if self.settings.policy != RoutingPolicy::P2c {
            return slots;
        }
        if !quota.may_borrow {
            return ((f64::from(slots) * quota.fraction).ceil() as u32).clamp(1, slots.max(1));
        }
        let age = now.saturating_duration_since(tracked.load_seen_at);
        let others = if age <= self.settings.max_load_age { tracked.others_in_flight } else { 0.0 };
        own.max(slots.saturating_sub(others as u32))
    }

    /// Keeps only the endpoints of the own zone if one of them has a free slot.
    fn prefer_local(&self, candidates: &mut Vec<Candidate>) {
        if candidates.iter().any(|c| c.is_local && c.load() < 1.0) {
            candidates.retain(|c| c.is_local);
        }
    }

    /// Power of two choices: the less loaded of two different random candidates.
    fn pick_less_loaded(&mut self, candidates: &[Candidate]) -> usize {
        let first = self.rng.usize(..candidates.len());
        if candidates.len() == 1 {
            return first;
        }
        let second = (first + 1 + self.rng.usize(..candidates.len() - 1)) % candidates.len();
        let times = (candidates[first].mean_seconds, candidates[second].mean_seconds);
        let (a, b) = match times {
            (Some(a), Some(b)) => (a, b),
            _ => (1.0, 1.0),
        };
        if candidates[first].load() * a <= candidates[second].load() * b { first } else { second }
    }

    /// Records that an attempt was sent to an endpoint.
    pub fn record_start(&mut self, vm: &VmId) {
        if let Some(tracked) = self.endpoints.get_mut(vm) {
            tracked.in_flight += 1;
        }
    }

    /// Records the response time of an endpoint.
    pub fn record_response_time(&mut self, vm: &VmId, took: Duration) {
        if let Some(tracked) = self.endpoints.get_mut(vm) {
            let took = took.as_secs_f64();
            tracked.mean_seconds = Some(tracked.mean_seconds.map_or(took, |mean| ewma(mean, took)));
        }
    }

    /// Records the result of an attempt. Returns whether the endpoint's agent should be queried at
    /// once.
    pub fn record_result(&mut self, vm: &VmId, outcome: EndpointOutcome, now: Instant) -> bool {
        let Some(tracked) = self.endpoints.get_mut(vm) else { return false };
        tracked.in_flight = tracked.in_flight.saturating_sub(1);
        tracked.health.record_result(outcome, &self.settings.health, now);
        match outcome {
            EndpointOutcome::Succeeded => false,
            EndpointOutcome::Full => {
                let slots = tracked.state.as_ref().map_or(0, |s| s.load.slots);
                tracked.others_in_flight = f64::from(slots.saturating_sub(tracked.in_flight));
                tracked.load_seen_at = now;
                false
            }
            EndpointOutcome::Refused | EndpointOutcome::Failed => {
                tracked.state = None;
                true
            }
        }
    }
}

/// Moving average after one more value.
fn ewma(mean: f64, value: f64) -> f64 {
    mean + EWMA_WEIGHT * (value - mean)
}

fn new_endpoint(zone: Zone, now: Instant) -> TrackedEndpoint {
    TrackedEndpoint {
        zone,
        state: None,
        seen_at: now,
        in_flight: 0,
        others_in_flight: 0.0,
        mean_seconds: None,
        load_seen_at: now,
        health: Health::new(now),
    }
}

#[cfg(test)]
mod tests;
