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
    health::{AttemptEnd, Health, HealthSettings},
    need::{Need, SlotPart, Wanted},
    subset::Placed,
    usable::Usable,
};

/// Weight of the newest value in a mean.
const NEWEST: f64 = 0.2;
/// Part of the endpoints that must serve a current release before others are left behind.
const MOST: f64 = 0.75;

/// Bounds of routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterSettings {
    /// How an endpoint is picked.
    pub policy: RoutingPolicy,
    /// Age after which what an endpoint stated no longer counts.
    pub stale: Duration,
    /// Age up to which a stated load may show free slots beyond the own part.
    pub fresh: Duration,
    /// Time without progress of a rollout after which endpoints that are left behind get nothing.
    pub patience: Duration,
    /// Breakers.
    pub health: HealthSettings,
}

impl Default for RouterSettings {
    fn default() -> RouterSettings {
        RouterSettings {
            policy: RoutingPolicy::P2c,
            stale: Duration::from_secs(6),
            fresh: Duration::from_secs(2),
            patience: Duration::from_secs(120),
            health: HealthSettings::default(),
        }
    }
}

/// What is known of one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Known {
    /// The VM's zone.
    pub zone: Zone,
    /// What its agent stated last.
    pub state: Option<EndpointState>,
    /// When it stated that.
    pub seen: Instant,
    /// Attempts of this entry in progress.
    pub in_flight: u32,
    /// Attempts of the other entries: the mean of the last reports, since each is late.
    others: f64,
    /// Mean seconds that answers took; `None` before the first.
    time: Option<f64>,
    /// When `others` was learnt.
    load_seen: Instant,
    health: Health,
}

/// A picked endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Its VM.
    pub vm: VmId,
    /// The run of its agent.
    pub incarnation: Incarnation,
    /// The release that it serves.
    pub release: Option<ReleaseId>,
}

#[derive(Debug, Default)]
struct Service {
    wanted: Wanted,
    part: SlotPart,
    /// When an endpoint last came to serve a current release.
    progress: Option<Instant>,
    /// Counts the picks.
    turn: usize,
}

/// The endpoints of an entry.
pub struct Router {
    settings: RouterSettings,
    zone: Zone,
    known: BTreeMap<VmId, Known>,
    services: BTreeMap<ServiceId, Service>,
    rng: Rng,
}

impl Router {
    /// A router in `zone` that knows no endpoint.
    pub fn new(zone: Zone, settings: RouterSettings, rng: Rng) -> Router {
        Router { settings, zone, known: BTreeMap::new(), services: BTreeMap::new(), rng }
    }

    /// Sets how old a statement may get.
    pub fn set_stale(&mut self, stale: Duration) {
        self.settings.stale = stale;
    }

    /// Sets the releases that may answer for a service.
    pub fn set_wanted(&mut self, service: &ServiceId, wanted: Wanted, now: Instant) {
        let known = self.services.entry(service.clone()).or_default();
        if known.wanted != wanted {
            known.wanted = wanted;
            known.progress = Some(now);
        }
    }

    /// Sets the part of a service's slots that this entry may use.
    pub fn set_part(&mut self, service: &ServiceId, part: SlotPart) {
        self.services.entry(service.clone()).or_default().part = part;
    }

    /// Replaces the endpoints that may be used; returns those that came in and went out.
    pub fn set_candidates(
        &mut self,
        candidates: Vec<Placed>,
        now: Instant,
    ) -> (Vec<VmId>, Vec<VmId>) {
        let kept: HashSet<&VmId> = candidates.iter().map(|c| &c.vm).collect();
        let out: Vec<VmId> = self.known.keys().filter(|vm| !kept.contains(vm)).cloned().collect();
        for vm in &out {
            self.known.remove(vm);
        }
        let mut added = Vec::new();
        for candidate in candidates {
            if let Entry::Vacant(slot) = self.known.entry(candidate.vm) {
                added.push(slot.key().clone());
                slot.insert(unseen(candidate.zone, now));
            }
        }
        (added, out)
    }

    /// Takes in what an agent states.
    pub fn observe(&mut self, state: EndpointState, now: Instant) {
        let Some(known) = self.known.get_mut(&state.vm) else { return };
        let before = known.state.as_ref();
        let changed =
            before.is_none_or(|s| s.incarnation != state.incarnation || s.serving != state.serving);
        if changed {
            known.health.restart(now);
            self.note_progress(&state, now);
        }
        let Some(known) = self.known.get_mut(&state.vm) else { return };
        let others = f64::from(state.load.busy.saturating_sub(known.in_flight));
        known.others = if changed { others } else { blend(known.others, others) };
        known.load_seen = now;
        known.seen = now;
        known.state = Some(state);
    }

    fn note_progress(&mut self, state: &EndpointState, now: Instant) {
        let Some(serving) = &state.serving else { return };
        let Some(service) = self.services.get_mut(&serving.service) else { return };
        if serving.release.as_ref().is_some_and(|r| service.wanted.current.contains(r)) {
            service.progress = Some(now);
        }
    }

    /// An agent did not answer; what it stated no longer counts.
    pub fn missed(&mut self, vm: &VmId) {
        if let Some(known) = self.known.get_mut(vm) {
            known.state = None;
        }
    }

    /// Endpoints and what is known of them.
    pub fn endpoints(&self) -> impl Iterator<Item = (&VmId, &Known)> {
        self.known.iter()
    }

    /// What is known of an endpoint.
    pub fn endpoint(&self, vm: &VmId) -> Option<&Known> {
        self.known.get(vm)
    }

    /// Slots of all endpoints that state the service.
    pub fn slots(&self, service: &ServiceId) -> u32 {
        let states = self.known.values().filter_map(|known| known.state.as_ref());
        let serving = states.filter(|s| s.serving.as_ref().is_some_and(|x| x.service == *service));
        serving.map(|s| s.load.slots).sum()
    }

    /// Picks an endpoint for a request; `None` if none may get it now.
    pub fn pick(&mut self, need: &Need<'_>, now: Instant) -> Option<Choice> {
        let mut usable = self.usable(need, now);
        if usable.iter().any(|c| !need.tried.contains(&c.vm)) {
            usable.retain(|c| !need.tried.contains(&c.vm));
        }
        if usable.is_empty() {
            return None;
        }
        let turn = self.services.get_mut(need.service).map_or(0, |s| {
            s.turn += 1;
            s.turn
        });
        let index = match self.settings.policy {
            RoutingPolicy::P2c => {
                self.prefer_local(&mut usable);
                self.less_loaded(&usable)
            }
            RoutingPolicy::Random => self.rng.usize(..usable.len()),
            RoutingPolicy::RoundRobin => turn % usable.len(),
        };
        let vm = usable[index].vm.clone();
        let state = self.known.get(&vm)?.state.as_ref()?;
        let release = state.serving.as_ref().and_then(|s| s.release.clone());
        Some(Choice { vm, incarnation: state.incarnation, release })
    }

    /// Endpoints that may get the request now.
    fn usable(&self, need: &Need<'_>, now: Instant) -> Vec<Usable> {
        let older = self.older_serve(need.service, now);
        let all = self.known.iter().filter(|(vm, _)| !need.avoid.contains(vm));
        let mut usable: Vec<Usable> =
            all.filter_map(|(vm, known)| self.judge(vm, known, need, older, now)).collect();
        // If all of them are cold, they are as good as warm.
        let warmest = usable.iter().map(|u| u.warmth).fold(0.0, f64::max);
        for endpoint in &mut usable {
            endpoint.warmth /= warmest;
        }
        usable.retain(Usable::has_room);
        usable
    }

    fn judge(
        &self,
        vm: &VmId,
        known: &Known,
        need: &Need<'_>,
        older: bool,
        now: Instant,
    ) -> Option<Usable> {
        let state = known.state.as_ref()?;
        let serving = state.serving.as_ref().filter(|s| s.service == *need.service)?;
        let service = self.services.get(need.service)?;
        let fresh = now.saturating_duration_since(known.seen) <= self.settings.stale;
        let right = need.release.is_none() || serving.release.as_ref() == need.release;
        let wanted = service.wanted.allows(serving.release.as_ref(), older);
        let healthy = known.health.allows(known.in_flight, now);
        if !(state.accepting && fresh && right && wanted && healthy) {
            return None;
        }
        Some(Usable {
            vm: vm.clone(),
            local: known.zone == self.zone,
            in_flight: known.in_flight,
            busy: known.others + f64::from(known.in_flight),
            slots: state.load.slots.max(1),
            time: known.time,
            allowed: self.allowed(service.part, known, state.load.slots, now),
            warmth: known.health.warmth(&self.settings.health, now),
        })
    }

    /// Whether endpoints with an older release of the same model may be used. Once most endpoints
    /// serve a current release and no more follow, the others are left behind.
    fn older_serve(&self, id: &ServiceId, now: Instant) -> bool {
        let Some(service) = self.services.get(id) else { return false };
        let moving = |at: Instant| now.saturating_duration_since(at) <= self.settings.patience;
        if service.progress.is_some_and(moving) {
            return true;
        }
        let states = self.known.values().filter_map(|known| known.state.as_ref());
        let serving = states.filter_map(|s| s.serving.as_ref()).filter(|s| s.service == *id);
        let (mut current, mut all) = (0.0, 0.0);
        for release in serving.filter_map(|s| s.release.as_ref()) {
            all += 1.0;
            current += f64::from(u8::from(service.wanted.current.contains(release)));
        }
        current < all * MOST
    }

    /// Most attempts of this entry at an endpoint.
    fn allowed(&self, part: SlotPart, known: &Known, slots: u32, now: Instant) -> u32 {
        let own = ((f64::from(slots) * part.part).floor() as u32).clamp(1, slots.max(1));
        if self.settings.policy != RoutingPolicy::P2c {
            return slots;
        }
        if !part.lent {
            return ((f64::from(slots) * part.part).ceil() as u32).clamp(1, slots.max(1));
        }
        let age = now.saturating_duration_since(known.load_seen);
        let others = if age <= self.settings.fresh { known.others } else { 0.0 };
        own.max(slots.saturating_sub(others as u32))
    }

    /// Keeps the endpoints of the own zone if one of them has a free slot.
    fn prefer_local(&self, usable: &mut Vec<Usable>) {
        if usable.iter().any(|u| u.local && u.load() < 1.0) {
            usable.retain(|u| u.local);
        }
    }

    /// The less loaded of two different random endpoints.
    fn less_loaded(&mut self, usable: &[Usable]) -> usize {
        let first = self.rng.usize(..usable.len());
        if usable.len() == 1 {
            return first;
        }
        let second = (first + 1 + self.rng.usize(..usable.len() - 1)) % usable.len();
        let times = (usable[first].time, usable[second].time);
        let (a, b) = match times {
            (Some(a), Some(b)) => (a, b),
            _ => (1.0, 1.0),
        };
        if usable[first].load() * a <= usable[second].load() * b { first } else { second }
    }

    /// An attempt was sent to an endpoint.
    pub fn started(&mut self, vm: &VmId) {
        if let Some(known) = self.known.get_mut(vm) {
            known.in_flight += 1;
        }
    }

    /// An endpoint answered after `took`.
    pub fn answered(&mut self, vm: &VmId, took: Duration) {
        if let Some(known) = self.known.get_mut(vm) {
            let took = took.as_secs_f64();
            known.time = Some(known.time.map_or(took, |time| blend(time, took)));
        }
    }

    /// An attempt at an endpoint ended. Returns whether its agent should be asked at once.
    pub fn finished(&mut self, vm: &VmId, end: AttemptEnd, now: Instant) -> bool {
        let Some(known) = self.known.get_mut(vm) else { return false };
        known.in_flight = known.in_flight.saturating_sub(1);
        known.health.ended(end, &self.settings.health, now);
        match end {
            AttemptEnd::Fine => false,
            AttemptEnd::Full => {
                let slots = known.state.as_ref().map_or(0, |s| s.load.slots);
                known.others = f64::from(slots.saturating_sub(known.in_flight));
                known.load_seen = now;
                false
            }
            AttemptEnd::NotTaken | AttemptEnd::Failed => {
                known.state = None;
                true
            }
        }
    }
}

/// The mean after one more value.
fn blend(mean: f64, value: f64) -> f64 {
    mean + NEWEST * (value - mean)
}

fn unseen(zone: Zone, now: Instant) -> Known {
    Known {
        zone,
        state: None,
        seen: now,
        in_flight: 0,
        others: 0.0,
        time: None,
        load_seen: now,
        health: Health::new(now),
    }
}

#[cfg(test)]
mod tests;
