//! Switching of the VMs of a rollout: each VM decides by possibly outdated states of the others when it
//! stops serving to switch, while the wanted release changes.
//!
//! The decision is the real `rollout::may_switch`. The state of a VM reaches another one at any time
//! or never, and never goes back to an older one.

use std::time::{Duration, Instant};

use base::{ReleaseId, Revision};
use proto::{TrialOutcome, Verdict};
use rollout::{Replica, SwitchPolicy, may_switch};

use crate::{Specification, Transition};

/// A fault that disables one check of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A VM also counts VMs earlier in the order that still wait to switch as ready.
    CountEarlierAsReady,
    /// A VM leaves one replica less than the floor ready.
    LowerFloor,
    /// A VM does not wait for the canaries.
    SkipCanary,
    /// A VM counts states that others published under older manifests.
    AcceptOldManifests,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Number of VMs of the rollout.
    pub vms: usize,
    /// The canary count and floor of the rollout.
    pub policy: SwitchPolicy,
    /// The wanted releases, in order; the first one is served in the initial state.
    pub releases: &'static [u32],
    /// Whether the second release fails its trial.
    pub second_release_fails: bool,
    /// The fault to inject, if any.
    pub fault: Option<Fault>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            vms: 3,
            policy: SwitchPolicy { canary: 1, floor: 2 },
            releases: &[1, 2],
            second_release_fails: false,
            fault: None,
        }
    }
}

/// A state of the model.
#[derive(Debug, Clone)]
pub struct ModelState {
    settings: Settings,
    now: Instant,
    /// Index of the wanted release.
    wanted_index: usize,
    vms: Vec<Vm>,
}

#[derive(Debug, Clone)]
struct Vm {
    /// Index of its target release.
    target: usize,
    state: Replica,
    /// The last state that it received of each VM.
    known: Vec<Replica>,
}

/// The transitions and invariants of this specification.
pub fn specification() -> Specification<ModelState> {
    Specification {
        name: "turns",
        transitions,
        violation,
        now: |state| state.now,
        horizon: Duration::ZERO,
    }
}

fn violation(state: &ModelState) -> Option<&'static str> {
    let ready = state.vms.iter().filter(|vm| vm.state.serving.is_some()).count();
    if ready < state.settings.policy.floor.min(state.vms.len() - 1) {
        return Some("a rollout keeps its floor of ready replicas");
    }
    let bad_release = state.settings.second_release_fails.then(|| state.release(1));
    let tried = |vm: &&Vm| vm.state.verdict.as_ref().map(|v| &v.release) == bad_release.as_ref();
    let canary = state.settings.policy.canary;
    let is_spread = bad_release.is_some() && state.vms.iter().filter(tried).count() > canary;
    is_spread.then_some("a release that fails is tried by the canaries only")
}

fn transitions(state: &ModelState) -> Vec<Transition<ModelState>> {
    let mut transitions = Vec::new();
    if state.wanted_index + 1 < state.settings.releases.len() {
        let label = format!("{} is wanted", state.release(state.wanted_index + 1));
        transitions.push(state.transition(label, |next| next.wanted_index += 1));
    }
    for i in 0..state.vms.len() {
        transitions.extend(state.vm_transitions(i));
    }
    transitions
}

impl ModelState {
    /// The initial state: all VMs serve the first release and know this of each other.
    pub fn new(settings: Settings) -> ModelState {
        let serving = release(settings.releases[0]);
        let target = Some(serving.clone());
        let state = Replica { serving: Some(serving), target, ..Replica::default() };
        let known = vec![state.clone(); settings.vms];
        let vms = vec![Vm { target: 0, state, known }; settings.vms];
        ModelState { settings, now: Instant::now(), wanted_index: 0, vms }
    }

    fn release(&self, position: usize) -> ReleaseId {
        release(self.settings.releases[position])
    }

    fn transition(
        &self,
        label: String,
        change: impl FnOnce(&mut ModelState),
    ) -> Transition<ModelState> {
        let mut state = self.clone();
        change(&mut state);
        Transition { label, state }
    }

    fn vm_transitions(&self, i: usize) -> Vec<Transition<ModelState>> {
        let vm = &self.vms[i];
        let mut transitions = Vec::new();
        if vm.target != self.wanted_index && vm.state.serving.is_some() {
            transitions.push(self.transition(
                format!("VM {i} learns the wanted release"),
                |next| {
                    next.vms[i].target = next.wanted_index;
                    next.vms[i].state.target = Some(next.release(next.wanted_index));
                    next.vms[i].state.manifest_revision = Revision(next.wanted_index as u64);
                    next.vms[i].known[i] = next.vms[i].state.clone();
                },
            ));
        }
        for j in 0..self.vms.len() {
            if !self.is_done(i) && vm.known[j] != self.vms[j].state {
                transitions.push(self.transition(
                    format!("VM {i} receives the state of VM {j}"),
                    |next| {
                        next.vms[i].known[j] = next.vms[j].state.clone();
                    },
                ));
            }
        }
        let target = self.release(vm.target);
        match &vm.state.serving {
            None => transitions.push(
                self.transition(format!("VM {i} serves {target}"), |next| next.start_serving(i)),
            ),
            Some(serving) if *serving != target && self.may_switch(i, &target) => {
                transitions.push(self.transition(
                    format!("VM {i} stops to switch to {target}"),
                    |next| {
                        next.vms[i].state.serving = None;
                        next.vms[i].known[i] = next.vms[i].state.clone();
                        next.clear_unused_knowledge(i);
                    },
                ));
            }
            Some(_) => {}
        }
        transitions
    }

    /// Starts serving the target; its trial ends immediately.
    fn start_serving(&mut self, i: usize) {
        let target = self.vms[i].target;
        let release = self.release(target);
        let failed = self.settings.second_release_fails && target == 1;
        let outcome = if failed { TrialOutcome::Failed } else { TrialOutcome::Passed };
        let vm = &mut self.vms[i];
        vm.state.verdict = Some(Verdict { release: release.clone(), outcome });
        vm.state.serving = Some(release);
        vm.known[i] = vm.state.clone();
        self.clear_unused_knowledge(i);
    }

    /// Whether VM `i` will not make another decision: it serves the last release, or switches to it.
    fn is_done(&self, i: usize) -> bool {
        let vm = &self.vms[i];
        let last = vm.target + 1 == self.settings.releases.len();
        last && vm.state.serving.as_ref().is_none_or(|s| *s == self.release(vm.target))
    }

    /// Clears knowledge that is not used again, so that states that differ only in it are equal.
    fn clear_unused_knowledge(&mut self, i: usize) {
        if self.is_done(i) {
            self.vms[i].known.fill(Replica::default());
        }
    }

    fn may_switch(&self, i: usize, target: &ReleaseId) -> bool {
        let mut policy = self.settings.policy;
        let mut known = self.vms[i].known.clone();
        match self.settings.fault {
            Some(Fault::CountEarlierAsReady) => {
                for replica in &mut known[..i] {
                    let waits = replica.serving.as_ref().is_some_and(|s| s != target);
                    if waits {
                        replica.serving = Some(target.clone());
                    }
                }
            }
            Some(Fault::LowerFloor) => policy.floor -= 1,
            Some(Fault::SkipCanary) => policy.canary = 0,
            Some(Fault::AcceptOldManifests) => {
                known.iter_mut().for_each(|r| r.manifest_revision = Revision(0))
            }
            None => {}
        }
        may_switch(policy, target, &known, i)
    }
}

fn release(number: u32) -> ReleaseId {
    format!("model@v{number}").parse().expect("a well-formed id")
}
