//! The agent's part in rollouts: its target, its turn, and orders to the engine.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use audit::Change;
use base::{Digest, ReleaseId, Revision, VmId};
use chunks::{Plan, VmLocation};
use manifest::{Release, Rollout, Vm};
use metrics::counter;
use node::{Stated, wall_clock_ms};
use placement::{Inputs, place};
use proto::{MemberState, Trialled, Verdict};
use rollout::{Action, Order, OrderKind, Replica, SwitchPolicy, Target};
use settings::EndpointKind;
use telemetry::names;

use crate::{
    core::{Core, STALE, Shared},
    engine::EngineReport,
    event::Event,
};

/// Time between looks at what the other VMs of the rollout state.
const AIM_EVERY: Duration = Duration::from_millis(250);
/// Time by which the wall clock must run ahead of the runtime's to count as a pause.
const WALL_GAP: Duration = Duration::from_secs(2);
/// Age after which an order is not sent any more.
const ORDER_LIFE: Duration = Duration::from_secs(1);

impl Core {
    /// Computes the placement again and aims at what it gives this VM.
    pub(crate) fn retarget(&mut self, now: Instant) {
        let documents = &self.node.documents;
        let me = &self.node.identity.settings.vm;
        let listed = documents.vms().get(me).is_some();
        if documents.manifest().revision.0 == 0 || !listed {
            return;
        }
        let inputs = Inputs::of(documents.manifest(), documents.vms());
        if inputs != self.inputs {
            self.inputs = inputs;
            self.placement = place(documents.manifest(), documents.vms());
        }
        let group = self.placement.rollout_of(me).map(|id| self.placement.vms_of(id).to_vec());
        self.node.set_group(&group.unwrap_or_default());
        self.aim(now);
        self.update_plans(now);
    }

    /// Takes the VMs of the rollout that are not thought gone into the plans of all transfers.
    pub(crate) fn update_plans(&mut self, now: Instant) {
        let places = self.rollout_places();
        if places == self.places {
            return;
        }
        self.places = places;
        let me = &self.node.identity.settings.vm;
        for loading in [&mut self.loading, &mut self.seeding].into_iter().flatten() {
            for (list, transfer) in &mut loading.transfers {
                transfer.set_plan(Plan::new(list, &self.places, me), now);
            }
        }
    }

    fn rollout_places(&self) -> Vec<VmLocation> {
        let members: HashSet<VmId> = self.rollout_vms().into_iter().collect();
        let listed = self.node.documents.vms().vms.iter();
        let here = |vm: &&Vm| members.contains(&vm.id) && !self.node.members.is_gone(&vm.id);
        let place = |vm: &Vm| VmLocation {
            vm: vm.id.clone(),
            zone: vm.zone.clone(),
            region: vm.region.clone(),
        };
        listed.filter(here).map(place).collect()
    }

    /// The VMs of this VM's rollout, in placement order.
    pub(crate) fn rollout_vms(&self) -> Vec<VmId> {
        let target = self.endpoint.target();
        target.map(|t| self.placement.vms_of(&t.rollout).to_vec()).unwrap_or_default()
    }

    /// The release that the manifest wants of this VM's rollout.
    fn wanted(&self) -> Option<(&Rollout, Release)> {
        let manifest = self.node.documents.manifest();
        let id = self.placement.rollout_of(&self.node.identity.settings.vm)?;
        let rollout = manifest.rollout(id)?;
        Some((rollout, manifest.release(rollout)?))
    }

    /// What is known of the VMs of a rollout, in placement order.
    fn replicas(&self, rollout: &Rollout) -> Vec<Replica> {
        let replica = |vm: &VmId| {
            let member = self.node.members.get(vm);
            Replica {
                serving: member.and_then(|m| m.serving.clone()),
                target: member.and_then(|m| m.wants.clone()),
                manifest_revision: member.map(|m| m.manifest).unwrap_or_default(),
                verdict: member.and_then(|m| m.verdict.clone()),
                unavailable: self.node.members.is_gone(vm),
            }
        };
        self.placement.vms_of(&rollout.id).iter().map(replica).collect()
    }

    /// Looks again at the release to aim at and at this VM's turn, which depend on the others.
    pub(crate) fn aim_again(&mut self, now: Instant) {
        if now >= self.aim_at {
            self.aim_at = now + AIM_EVERY;
            self.aim(now);
        }
    }

    pub(crate) fn aim(&mut self, now: Instant) {
        let Some((rollout, release)) = self.wanted() else {
            self.target(None, now);
            return;
        };
        let replicas = self.replicas(rollout);
        let me = &self.node.identity.settings.vm;
        let position = self.placement.vms_of(&rollout.id).iter().position(|vm| vm == me);
        let halted = rollout::is_halted(rollout.canary, &release.id, &replicas);
        let failed = |v: Verdict| v.outcome == Trialled::Failed;
        let give_up = halted || self.endpoint.verdict(&release.id).is_some_and(failed);
        let aimed = match give_up && self.endpoint.serving() != Some(&release.id) {
            true => self.fallback(&release.id, &replicas).unwrap_or_else(|| release.id.clone()),
            false => release.id.clone(),
        };
        let turn = SwitchPolicy { canary: rollout.canary, floor: rollout.floor };
        let mine = |me| rollout::may_switch(turn, &release.id, &replicas, me);
        let turn = aimed != release.id || position.is_some_and(mine);
        let (id, soak) = (rollout.id.clone(), rollout.soak.0);
        if halted && self.halted.as_ref() != Some(&release.id) {
            self.halted = Some(release.id.clone());
            let change = Change::Halted { release: release.id.clone() };
            self.node.trail.record(change, format!("it failed on the first VMs of {id}"));
        }
        self.target(Some(Target { rollout: id, release: aimed, soak }), now);
        self.decide(rollout::Event::MaySwitch(turn), now);
    }

    /// What to serve instead of a release that failed: what the engine serves, or else what most of
    /// the rollout's VMs serve, if the manifest still lists it.
    fn fallback(&self, release: &ReleaseId, replicas: &[Replica]) -> Option<ReleaseId> {
        let current = self.endpoint.serving().cloned();
        let fallback = current.or_else(|| rollout::fallback_release(release, replicas))?;
        self.node.documents.manifest().release_named(&fallback).map(|r| r.id)
    }

    fn target(&mut self, target: Option<Target>, now: Instant) {
        if self.endpoint.target() != target.as_ref() {
            self.target_since = now;
            self.decide(rollout::Event::Target(target), now);
            self.update_plans(now);
        }
    }

    /// Notices a pause that only the wall clock shows, such as that of a suspended VM.
    pub(crate) fn notice_pause(&mut self, now: Instant) {
        let wall = wall_clock_ms();
        let (last_wall, last) = self.ran_at;
        self.ran_at = (wall, now);
        let ran = now.duration_since(last);
        let passed = Duration::from_millis(wall.saturating_sub(last_wall));
        if passed.saturating_sub(ran) > WALL_GAP {
            self.decide(rollout::Event::Resumed, now);
        }
    }

    pub(crate) fn decide(&mut self, event: rollout::Event, now: Instant) {
        if self.settings.kind == EndpointKind::Plain {
            return;
        }
        for action in self.endpoint.handle(event, now) {
            match action {
                Action::ReadEngine => self.read_engine(now),
                Action::ConfirmWithPeers => {
                    self.node.trail.record(Change::Paused, "the clock shows a gap");
                    self.node.join(now);
                }
                Action::StepDown(fence) => {
                    let cause = "a later agent gives this engine orders; stop this one";
                    self.node.trail.record(Change::SteppedDown { fence }, cause);
                    self.loading = None;
                }
                Action::Order(order) => self.order(order, now),
                Action::LoadChunks(release) => self.load(&release, now),
                Action::CancelLoad(release) => {
                    if self.endpoint.target().is_none_or(|t| t.release != release) {
                        let change = Change::Superseded { release };
                        self.node.trail.record(change, "target changed");
                    }
                    self.loading = None;
                }
                Action::ReportReady(release) => {
                    let seconds = now.duration_since(self.target_since).as_secs_f64();
                    let cause = format!("engine states it after {seconds:.2}s");
                    self.node.trail.record(Change::Ready { release }, cause);
                    self.seeding = self.loading.take().or(self.seeding.take());
                }
            }
        }
        self.state();
    }

    /// Tells the others what this VM serves and takes work for.
    pub(crate) fn state(&mut self) {
        let leaving = self.draining.is_some();
        let state = if leaving { MemberState::Leaving } else { MemberState::Alive };
        let serving = self.endpoint.serving().filter(|_| self.endpoint.is_accepting()).cloned();
        let wants = self.wanted().map(|(_, release)| release.id);
        let verdict = wants.as_ref().and_then(|wants| self.endpoint.verdict(wants));
        let manifest = self.stated_revision(wants.as_ref());
        self.node.state(Stated { state, serving, wants, manifest, verdict });
    }

    /// Revision of the manifest to state with the wanted release. It is the one in force while the
    /// rollout is under way, and stays as it was stated otherwise, as the others need no news then.
    fn stated_revision(&self, wants: Option<&ReleaseId>) -> Revision {
        let me = self.node.members.get(&self.node.identity.settings.vm);
        let stated = me.filter(|m| m.wants.as_ref() == wants).map(|m| m.manifest);
        let through = |vm: &VmId| {
            let member = self.node.members.get(vm);
            member.is_none_or(|m| m.serving.as_ref() == wants) || self.node.members.is_gone(vm)
        };
        match stated.filter(|_| self.rollout_vms().iter().all(through)) {
            Some(revision) => revision,
            None => self.node.documents.manifest().revision,
        }
    }

    pub(crate) fn read_engine(&mut self, asked: Instant) {
        if self.reading {
            return;
        }
        self.reading = true;
        let Shared { engine, mailbox, workers, .. } = self.shared.clone();
        let kind = self.settings.kind;
        workers.run(move || {
            let report = match kind {
                EndpointKind::Model => engine.report(),
                EndpointKind::Plain => engine.health(),
            };
            mailbox.send(Event::Engine { report, asked });
        });
    }

    pub(crate) fn engine_report(
        &mut self,
        report: Option<EngineReport>,
        asked: Instant,
        now: Instant,
    ) {
        self.reading = false;
        self.reported = now;
        let view = report.as_ref().map(EngineReport::view);
        let plain = self.settings.kind == EndpointKind::Plain;
        if report.as_ref().is_some_and(|report| plain || report.serves()) {
            self.shared.crashes.lock().expect("no holder panics").serves(asked);
        }
        let fresh = now.saturating_duration_since(asked) <= STALE;
        self.report = report.filter(|_| fresh);
        if self.settings.kind == EndpointKind::Model {
            self.decide(
                match view {
                    Some(view) => rollout::Event::Engine { status: view, asked_at: asked },
                    None => rollout::Event::EngineUnreachable,
                },
                now,
            );
        }
    }

    pub(crate) fn order(&mut self, order: Order, now: Instant) {
        if order.order == OrderKind::Prepare {
            self.update_plans(now);
            self.prepare(order);
            return;
        }
        self.send_order(order, Vec::new(), now);
    }

    /// Sends an order that was given at `given`; it is dropped if the process was paused meanwhile.
    pub(crate) fn send_order(&self, order: Order, chunks: Vec<Digest>, given: Instant) {
        let Shared { engine, mailbox, workers, .. } = self.shared.clone();
        let wall = wall_clock_ms();
        workers.run(move || {
            let passed = Duration::from_millis(wall_clock_ms().saturating_sub(wall));
            let fresh = given.elapsed().max(passed) < ORDER_LIFE;
            let accepted = fresh && engine.order(&order, &chunks);
            mailbox.send(Event::Ordered { order, accepted });
        });
    }

    pub(crate) fn ordered(&mut self, order: Order, accepted: bool, now: Instant) {
        let change = Change::Order {
            order: order.order.as_str().to_owned(),
            release: Some(order.release.clone()),
            fence: order.fence,
            accepted,
        };
        let result = if accepted { "true" } else { "false" };
        let name = order.order.as_str();
        counter!(names::ORDERS, "order" => name, "accepted" => result).increment(1);
        self.node.trail.record(change, "rollout");
        self.decide(rollout::Event::OrderAnswered { order, accepted }, now);
    }
}
