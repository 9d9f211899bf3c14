//! Turns of a rollout: each VM decides by old news of the others when it stops serving to switch,
//! while the wanted release changes.
//!
//! The decision is the real `rollout::my_turn`. News of a VM arrives at any time or never, and never
//! goes back.

use std::time::{Duration, Instant};

use base::{ReleaseId, Revision};
use proto::{TrialOutcome, Verdict};
use rollout::{Replica, SwitchPolicy, may_switch};

use crate::{Rules, Step};

/// A check that the specification bypasses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A VM counts those that wait before it in the order as ready too.
    Earlier,
    /// A VM leaves one replica less than the floor.
    Floor,
    /// A VM does not wait for the first ones.
    Canary,
    /// A VM counts what others stated under older manifests.
    Old,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// VMs of the rollout.
    pub vms: usize,
    /// Its rule.
    pub turn: SwitchPolicy,
    /// Releases that are wanted one after the other; the first one is served at the start.
    pub releases: &'static [u32],
    /// Whether the second release fails its trial.
    pub bad: bool,
    /// The check that is bypassed.
    pub fault: Option<Fault>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            vms: 3,
            turn: SwitchPolicy { canary: 1, floor: 2 },
            releases: &[1, 2],
            bad: false,
            fault: None,
        }
    }
}

/// A world of this specification.
#[derive(Debug, Clone)]
pub struct World {
    settings: Settings,
    now: Instant,
    /// Position of the wanted release.
    wanted: usize,
    vms: Vec<Vm>,
}

#[derive(Debug, Clone)]
struct Vm {
    /// Position of the release that it aims at.
    target: usize,
    state: Replica,
    /// What it knows of all VMs.
    known: Vec<Replica>,
}

/// The rules of this specification.
pub fn rules() -> Rules<World> {
    Rules { name: "turns", steps, broken, now: |world| world.now, horizon: Duration::ZERO }
}

fn broken(world: &World) -> Option<&'static str> {
    let ready = world.vms.iter().filter(|vm| vm.state.serving.is_some()).count();
    if ready < world.settings.turn.floor.min(world.vms.len() - 1) {
        return Some("a rollout keeps its floor of ready replicas");
    }
    let bad = world.settings.bad.then(|| world.release(1));
    let took = |vm: &&Vm| vm.state.verdict.as_ref().map(|v| &v.release) == bad.as_ref();
    let canary = world.settings.turn.canary;
    let spread = bad.is_some() && world.vms.iter().filter(took).count() > canary;
    spread.then_some("a release that fails stays with the first VMs")
}

fn steps(world: &World) -> Vec<Step<World>> {
    let mut steps = Vec::new();
    if world.wanted + 1 < world.settings.releases.len() {
        let label = format!("{} is wanted", world.release(world.wanted + 1));
        steps.push(world.step(label, |w| w.wanted += 1));
    }
    for i in 0..world.vms.len() {
        steps.extend(world.vm_steps(i));
    }
    steps
}

impl World {
    /// All VMs serve the first release and know it of each other.
    pub fn new(settings: Settings) -> World {
        let serving = release(settings.releases[0]);
        let wants = Some(serving.clone());
        let state = Replica { serving: Some(serving), target: wants, ..Replica::default() };
        let known = vec![state.clone(); settings.vms];
        let vms = vec![Vm { target: 0, state, known }; settings.vms];
        World { settings, now: Instant::now(), wanted: 0, vms }
    }

    fn release(&self, position: usize) -> ReleaseId {
        release(self.settings.releases[position])
    }

    fn step(&self, label: String, change: impl FnOnce(&mut World)) -> Step<World> {
        let mut world = self.clone();
        change(&mut world);
        Step { label, world }
    }

    fn vm_steps(&self, i: usize) -> Vec<Step<World>> {
        let vm = &self.vms[i];
        let mut steps = Vec::new();
        if vm.target != self.wanted && vm.state.serving.is_some() {
            steps.push(self.step(format!("VM {i} learns the wanted release"), |w| {
                w.vms[i].target = w.wanted;
                w.vms[i].state.target = Some(w.release(w.wanted));
                w.vms[i].state.manifest_revision = Revision(w.wanted as u64);
                w.vms[i].known[i] = w.vms[i].state.clone();
            }));
        }
        for j in 0..self.vms.len() {
            if !self.is_done(i) && vm.known[j] != self.vms[j].state {
                steps.push(self.step(format!("VM {i} hears of VM {j}"), |w| {
                    w.vms[i].known[j] = w.vms[j].state.clone();
                }));
            }
        }
        let target = self.release(vm.target);
        match &vm.state.serving {
            None => steps.push(self.step(format!("VM {i} serves {target}"), |w| w.serve(i))),
            Some(serving) if *serving != target && self.may_switch(i, &target) => {
                steps.push(self.step(format!("VM {i} stops to switch to {target}"), |w| {
                    w.vms[i].state.serving = None;
                    w.vms[i].known[i] = w.vms[i].state.clone();
                    w.forget(i);
                }));
            }
            Some(_) => {}
        }
        steps
    }

    /// The trial ends at once.
    fn serve(&mut self, i: usize) {
        let target = self.vms[i].target;
        let release = self.release(target);
        let failed = self.settings.bad && target == 1;
        let outcome = if failed { TrialOutcome::Failed } else { TrialOutcome::Passed };
        let vm = &mut self.vms[i];
        vm.state.verdict = Some(Verdict { release: release.clone(), outcome });
        vm.state.serving = Some(release);
        vm.known[i] = vm.state.clone();
        self.forget(i);
    }

    /// Whether VM `i` will never decide on what it knows again: it serves the last release, or
    /// switches to it.
    fn is_done(&self, i: usize) -> bool {
        let vm = &self.vms[i];
        let last = vm.target + 1 == self.settings.releases.len();
        last && vm.state.serving.as_ref().is_none_or(|s| *s == self.release(vm.target))
    }

    /// Worlds that differ only in knowledge that is not used again are the same.
    fn forget(&mut self, i: usize) {
        if self.is_done(i) {
            self.vms[i].known.fill(Replica::default());
        }
    }

    fn may_switch(&self, i: usize, target: &ReleaseId) -> bool {
        let mut turn = self.settings.turn;
        let mut known = self.vms[i].known.clone();
        match self.settings.fault {
            Some(Fault::Earlier) => {
                for replica in &mut known[..i] {
                    let waits = replica.serving.as_ref().is_some_and(|s| s != target);
                    if waits {
                        replica.serving = Some(target.clone());
                    }
                }
            }
            Some(Fault::Floor) => turn.floor -= 1,
            Some(Fault::Canary) => turn.canary = 0,
            Some(Fault::Old) => known.iter_mut().for_each(|r| r.manifest_revision = Revision(0)),
            None => {}
        }
        may_switch(turn, target, &known, i)
    }
}

fn release(number: u32) -> ReleaseId {
    format!("model@v{number}").parse().expect("a well-formed id")
}
