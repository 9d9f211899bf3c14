//! The endpoints that an entry uses and how it picks one.

use std::{
    collections::{BTreeMap, HashSet, btree_map::Entry},
    time::{Duration, Instant},
};

use base::{Incarnation, ReleaseId, ServiceId, VmId, Zone};
use fastrand::Rng;
use proto::EndpointState;
use settings::RoutingPolicy;

use crate::{
    health::{EndpointOutcome, Health, HealthSettings},
    need::{AllowedReleases, EndpointRequirements, SlotQuota},
    subset::ZonedVm,
    usable::Candidate,
};

/// Weight of the newest value in a mean.
const EWMA_WEIGHT: f64 = 0.2;
/// Part of the endpoints that must serve a current release before others are left behind.
const MIN_CURRENT_FRACTION: f64 = 0.75;

/// Bounds of routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterSettings {
    /// How an endpoint is picked.
    pub policy: RoutingPolicy,
    /// Age after which what an endpoint stated no longer counts.
    pub max_state_age: Duration,
    /// Age up to which a stated load may show free slots beyond the own part.
    pub max_load_age: Duration,
    /// Time without progress of a rollout after which endpoints that are left behind get nothing.
    pub rollout_stall_timeout: Duration,
    /// Breakers.
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

/// What is known of one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct TrackedEndpoint {
    /// The VM's zone.
    pub zone: Zone,
    /// What its agent stated last.
    pub state: Option<EndpointState>,
    /// When it stated that.
    pub seen_at: Instant,
    /// Attempts of this entry in progress.
    pub in_flight: u32,
    /// Attempts of the other entries: the mean of the last reports, since each is late.
    others_in_flight: f64,
    /// Mean seconds that answers took; `None` before the first.
    mean_seconds: Option<f64>,
    /// When `others` was learnt.
    load_seen_at: Instant,
    health: Health,
}

/// A picked endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PickedEndpoint {
    /// Its VM.
    pub vm: VmId,
    /// The run of its agent.
    pub incarnation: Incarnation,
    /// The release that it serves.
    pub release: Option<ReleaseId>,
}

#[derive(Debug, Default)]
struct ServiceState {
    allowed_releases: AllowedReleases,
    slot_quota: SlotQuota,
    /// When an endpoint last came to serve a current release.
    last_progress: Option<Instant>,
    /// Counts the picks.
    picks: usize,
}

/// The endpoints of an entry.
pub struct Router {
    settings: RouterSettings,
    zone: Zone,
    endpoints: BTreeMap<VmId, TrackedEndpoint>,
    services: BTreeMap<ServiceId, ServiceState>,
    rng: Rng,
}

impl Router {
    /// A router in `zone` that knows no endpoint.
    pub fn new(zone: Zone, settings: RouterSettings, rng: Rng) -> Router {
        Router { settings, zone, endpoints: BTreeMap::new(), services: BTreeMap::new(), rng }
    }

    /// Sets how old a statement may get.
    pub fn set_max_state_age(&mut self, stale: Duration) {
        self.settings.max_state_age = stale;
    }

    /// Sets the releases that may answer for a service.
    pub fn set_allowed_releases(
        &mut self,
        service: &ServiceId,
        wanted: AllowedReleases,
        now: Instant,
    ) {
        let known = self.services.entry(service.clone()).or_default();
        if known.allowed_releases != wanted {
            known.allowed_releases = wanted;
            known.last_progress = Some(now);
        }
    }

    /// Sets the part of a service's slots that this entry may use.
    pub fn set_slot_quota(&mut self, service: &ServiceId, part: SlotQuota) {
        self.services.entry(service.clone()).or_default().slot_quota = part;
    }

    /// Replaces the endpoints that may be used; returns those that came in and went out.
    pub fn set_endpoints(
        &mut self,
        candidates: Vec<ZonedVm>,
        now: Instant,
    ) -> (Vec<VmId>, Vec<VmId>) {
        let kept: HashSet<&VmId> = candidates.iter().map(|c| &c.vm).collect();
        let out: Vec<VmId> =
            self.endpoints.keys().filter(|vm| !kept.contains(vm)).cloned().collect();
        for vm in &out {
            self.endpoints.remove(vm);
        }
        let mut added = Vec::new();
        for candidate in candidates {
            if let Entry::Vacant(slot) = self.endpoints.entry(candidate.vm) {
                added.push(slot.key().clone());
                slot.insert(new_endpoint(candidate.zone, now));
            }
        }
        (added, out)
    }

    /// Takes in what an agent states.
    pub fn observe(&mut self, state: EndpointState, now: Instant) {
        let Some(known) = self.endpoints.get_mut(&state.vm) else { return };
        let before = known.state.as_ref();
        let changed =
            before.is_none_or(|s| s.incarnation != state.incarnation || s.serving != state.serving);
        if changed {
            known.health.restart_warm_up(now);
            self.record_progress(&state, now);
        }
        let Some(known) = self.endpoints.get_mut(&state.vm) else { return };
        let others = f64::from(state.load.busy.saturating_sub(known.in_flight));
        known.others_in_flight =
            if changed { others } else { ewma(known.others_in_flight, others) };
        known.load_seen_at = now;
        known.seen_at = now;
        known.state = Some(state);
    }

    fn record_progress(&mut self, state: &EndpointState, now: Instant) {
        let Some(serving) = &state.serving else { return };
        let Some(service) = self.services.get_mut(&serving.service) else { return };
        if serving.release.as_ref().is_some_and(|r| service.allowed_releases.current.contains(r)) {
            service.last_progress = Some(now);
        }
    }

    /// An agent did not answer; what it stated no longer counts.
    pub fn mark_unresponsive(&mut self, vm: &VmId) {
        if let Some(known) = self.endpoints.get_mut(vm) {
            known.state = None;
        }
    }

    /// Endpoints and what is known of them.
    pub fn endpoints(&self) -> impl Iterator<Item = (&VmId, &TrackedEndpoint)> {
        self.endpoints.iter()
    }

    /// What is known of an endpoint.
    pub fn endpoint(&self, vm: &VmId) -> Option<&TrackedEndpoint> {
        self.endpoints.get(vm)
    }

    /// Slots of all endpoints that state the service.
    pub fn total_slots(&self, service: &ServiceId) -> u32 {
        let states = self.endpoints.values().filter_map(|known| known.state.as_ref());
        let serving = states.filter(|s| s.serving.as_ref().is_some_and(|x| x.service == *service));
        serving.map(|s| s.load.slots).sum()
    }

    /// Picks an endpoint for a request; `None` if none may get it now.
    pub fn pick(
        &mut self,
        need: &EndpointRequirements<'_>,
        now: Instant,
    ) -> Option<PickedEndpoint> {
        let mut usable = self.candidates(need, now);
        if usable.iter().any(|c| !need.tried.contains(&c.vm)) {
            usable.retain(|c| !need.tried.contains(&c.vm));
        }
        if usable.is_empty() {
            return None;
        }
        let turn = self.services.get_mut(need.service).map_or(0, |s| {
            s.picks += 1;
            s.picks
        });
        let index = match self.settings.policy {
            RoutingPolicy::P2c => {
                self.prefer_local(&mut usable);
                self.pick_less_loaded(&usable)
            }
            RoutingPolicy::Random => self.rng.usize(..usable.len()),
            RoutingPolicy::RoundRobin => turn % usable.len(),
        };
        let vm = usable[index].vm.clone();
        let state = self.endpoints.get(&vm)?.state.as_ref()?;
        let release = state.serving.as_ref().and_then(|s| s.release.clone());
        Some(PickedEndpoint { vm, incarnation: state.incarnation, release })
    }

    /// Endpoints that may get the request now.
    fn candidates(&self, need: &EndpointRequirements<'_>, now: Instant) -> Vec<Candidate> {
        let older = self.allows_older_releases(need.service, now);
        let all = self.endpoints.iter().filter(|(vm, _)| !need.avoid.contains(vm));
        let mut usable: Vec<Candidate> =
            all.filter_map(|(vm, known)| self.candidate(vm, known, need, older, now)).collect();
        // If all of them are cold, they are as good as warm.
        let warmest = usable.iter().map(|u| u.warm_up_factor).fold(0.0, f64::max);
        for endpoint in &mut usable {
            endpoint.warm_up_factor /= warmest;
        }
        usable.retain(Candidate::has_room);
        usable
    }

    fn candidate(
        &self,
        vm: &VmId,
        known: &TrackedEndpoint,
        need: &EndpointRequirements<'_>,
        older: bool,
        now: Instant,
    ) -> Option<Candidate> {
        let state = known.state.as_ref()?;
        let serving = state.serving.as_ref().filter(|s| s.service == *need.service)?;
        let service = self.services.get(need.service)?;
        let fresh = now.saturating_duration_since(known.seen_at) <= self.settings.max_state_age;
        let right = need.release.is_none() || serving.release.as_ref() == need.release;
        let wanted = service.allowed_releases.allows(serving.release.as_ref(), older);
        let healthy = known.health.is_available(known.in_flight, now);
        if !(state.accepting && fresh && right && wanted && healthy) {
            return None;
        }
        Some(Candidate {
            vm: vm.clone(),
            is_local: known.zone == self.zone,
            in_flight: known.in_flight,
            total_in_flight: known.others_in_flight + f64::from(known.in_flight),
            slots: state.load.slots.max(1),
            mean_seconds: known.mean_seconds,
            max_in_flight: self.max_in_flight(service.slot_quota, known, state.load.slots, now),
            warm_up_factor: known.health.warm_up_factor(&self.settings.health, now),
        })
    }

    /// Whether endpoints with an older release of the same model may be used. Once most endpoints
    /// serve a current release and no more follow, the others are left behind.
    fn allows_older_releases(&self, id: &ServiceId, now: Instant) -> bool {
        let Some(service) = self.services.get(id) else { return false };
        let moving =
            |at: Instant| now.saturating_duration_since(at) <= self.settings.rollout_stall_timeout;
        if service.last_progress.is_some_and(moving) {
            return true;
        }
        let states = self.endpoints.values().filter_map(|known| known.state.as_ref());
        let serving = states.filter_map(|s| s.serving.as_ref()).filter(|s| s.service == *id);
        let (mut current, mut all) = (0.0, 0.0);
        for release in serving.filter_map(|s| s.release.as_ref()) {
            all += 1.0;
            current += f64::from(u8::from(service.allowed_releases.current.contains(release)));
        }
        current < all * MIN_CURRENT_FRACTION
    }

    /// Most attempts of this entry at an endpoint.
    fn max_in_flight(
        &self,
        part: SlotQuota,
        known: &TrackedEndpoint,
        slots: u32,
        now: Instant,
    ) -> u32 {
        let own = ((f64::from(slots) * part.fraction).floor() as u32).clamp(1, slots.max(1));
        if self.settings.policy != RoutingPolicy::P2c {
            return slots;
        }
        if !part.may_borrow {
            return ((f64::from(slots) * part.fraction).ceil() as u32).clamp(1, slots.max(1));
        }
        let age = now.saturating_duration_since(known.load_seen_at);
        let others = if age <= self.settings.max_load_age { known.others_in_flight } else { 0.0 };
        own.max(slots.saturating_sub(others as u32))
    }

    /// Keeps the endpoints of the own zone if one of them has a free slot.
    fn prefer_local(&self, usable: &mut Vec<Candidate>) {
        if usable.iter().any(|u| u.is_local && u.load() < 1.0) {
            usable.retain(|u| u.is_local);
        }
    }

    /// The less loaded of two different random endpoints.
    fn pick_less_loaded(&mut self, usable: &[Candidate]) -> usize {
        let first = self.rng.usize(..usable.len());
        if usable.len() == 1 {
            return first;
        }
        let second = (first + 1 + self.rng.usize(..usable.len() - 1)) % usable.len();
        let times = (usable[first].mean_seconds, usable[second].mean_seconds);
        let (a, b) = match times {
            (Some(a), Some(b)) => (a, b),
            _ => (1.0, 1.0),
        };
        if usable[first].load() * a <= usable[second].load() * b { first } else { second }
    }

    /// An attempt was sent to an endpoint.
    pub fn record_start(&mut self, vm: &VmId) {
        if let Some(known) = self.endpoints.get_mut(vm) {
            known.in_flight += 1;
        }
    }

    /// An endpoint answered after `took`.
    pub fn record_response_time(&mut self, vm: &VmId, took: Duration) {
        if let Some(known) = self.endpoints.get_mut(vm) {
            let took = took.as_secs_f64();
            known.mean_seconds = Some(known.mean_seconds.map_or(took, |time| ewma(time, took)));
        }
    }

    /// An attempt at an endpoint ended. Returns whether its agent should be asked at once.
    pub fn record_result(&mut self, vm: &VmId, end: EndpointOutcome, now: Instant) -> bool {
        let Some(known) = self.endpoints.get_mut(vm) else { return false };
        known.in_flight = known.in_flight.saturating_sub(1);
        known.health.record_result(end, &self.settings.health, now);
        match end {
            EndpointOutcome::Succeeded => false,
            EndpointOutcome::Full => {
                let slots = known.state.as_ref().map_or(0, |s| s.load.slots);
                known.others_in_flight = f64::from(slots.saturating_sub(known.in_flight));
                known.load_seen_at = now;
                false
            }
            EndpointOutcome::Refused | EndpointOutcome::Failed => {
                known.state = None;
                true
            }
        }
    }
}

/// The mean after one more value.
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
