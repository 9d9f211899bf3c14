//! The endpoints that an entry uses and how it picks one.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::{Duration, Instant},
};

use base::{Incarnation, ReleaseId, ServiceId, VmId, Zone};
use fastrand::Rng;
use proto::{EndpointState, Load};

/// Bounds of routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterSettings {
    /// Age after which what an endpoint stated no longer counts.
    pub stale: Duration,
    /// Time that an endpoint stays out after a failure.
    pub cooldown: Duration,
}

impl Default for RouterSettings {
    fn default() -> RouterSettings {
        RouterSettings { stale: Duration::from_secs(3), cooldown: Duration::from_secs(1) }
    }
}

/// An endpoint that this entry may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its VM.
    pub vm: VmId,
    /// The VM's zone.
    pub zone: Zone,
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
    /// It is not used before.
    pub out_until: Instant,
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

/// The endpoints of an entry.
pub struct Router {
    settings: RouterSettings,
    zone: Zone,
    known: BTreeMap<VmId, Known>,
    rng: Rng,
}

impl Router {
    /// A router in `zone` that knows no endpoint.
    pub fn new(zone: Zone, settings: RouterSettings, rng: Rng) -> Router {
        Router { settings, zone, known: BTreeMap::new(), rng }
    }

    /// Replaces the endpoints that may be used; returns those that came in and went out.
    pub fn set_candidates(
        &mut self,
        candidates: Vec<Candidate>,
        now: Instant,
    ) -> (Vec<VmId>, Vec<VmId>) {
        let kept = |vm: &VmId| candidates.iter().any(|c| c.vm == *vm);
        let out: Vec<VmId> = self.known.keys().filter(|vm| !kept(vm)).cloned().collect();
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
        if let Some(known) = self.known.get_mut(&state.vm) {
            known.state = Some(state);
            known.seen = now;
        }
    }

    /// Endpoints and what is known of them.
    pub fn endpoints(&self) -> impl Iterator<Item = (&VmId, &Known)> {
        self.known.iter()
    }

    /// Whether an endpoint may get new work for the service now.
    fn usable(&self, known: &Known, service: &ServiceId, now: Instant) -> bool {
        let Some(state) = &known.state else { return false };
        let serves = state.serving.as_ref().is_some_and(|s| s.service == *service);
        let fresh = now.saturating_duration_since(known.seen) <= self.settings.stale;
        let free = known.in_flight < state.load.slots;
        serves && fresh && free && state.accepting && now >= known.out_until
    }

    /// Picks the less loaded of two random endpoints, in the own zone if one there is not full.
    pub fn pick(
        &mut self,
        service: &ServiceId,
        release: Option<&ReleaseId>,
        tried: &[VmId],
        now: Instant,
    ) -> Option<Choice> {
        let mut usable: Vec<(&VmId, &Known)> = self
            .known
            .iter()
            .filter(|(vm, known)| !tried.contains(vm) && self.usable(known, service, now))
            .filter(|(_, known)| release.is_none() || stated_release(known) == release)
            .collect();
        let local: Vec<_> = usable
            .iter()
            .filter(|(_, k)| k.zone == self.zone && pressure(k) < 1.0)
            .copied()
            .collect();
        if !local.is_empty() {
            usable = local;
        }
        if usable.is_empty() {
            return None;
        }
        let a = usable[self.rng.usize(..usable.len())];
        let b = usable[self.rng.usize(..usable.len())];
        let (vm, known) = if pressure(a.1) <= pressure(b.1) { a } else { b };
        let state = known.state.as_ref()?;
        let release = stated_release(known).cloned();
        Some(Choice { vm: vm.clone(), incarnation: state.incarnation, release })
    }

    /// An attempt was sent to an endpoint.
    pub fn started(&mut self, vm: &VmId) {
        if let Some(known) = self.known.get_mut(vm) {
            known.in_flight += 1;
        }
    }

    /// An attempt at an endpoint ended; after a failure the endpoint stays out for a while.
    pub fn finished(&mut self, vm: &VmId, failed: bool, now: Instant) {
        if let Some(known) = self.known.get_mut(vm) {
            known.in_flight = known.in_flight.saturating_sub(1);
            if failed {
                known.out_until = now + self.settings.cooldown;
            }
        }
    }
}

fn unseen(zone: Zone, now: Instant) -> Known {
    Known { zone, state: None, seen: now, in_flight: 0, out_until: now }
}

fn stated_release(known: &Known) -> Option<&ReleaseId> {
    known.state.as_ref()?.serving.as_ref()?.release.as_ref()
}

/// Requests per slot: the larger of what the agent stated and what this entry sent.
fn pressure(known: &Known) -> f64 {
    let load = known.state.as_ref().map_or(Load { busy: 0, slots: 1 }, |s| s.load);
    f64::from(load.busy.max(known.in_flight)) / f64::from(load.slots.max(1))
}

#[cfg(test)]
mod tests;
