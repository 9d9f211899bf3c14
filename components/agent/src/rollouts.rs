//! Rollouts on this agent: target release, permission to switch and orders to the engine.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use audit::Change;
use base::{Digest, ReleaseId, Revision, VmId};
use chunks::{Plan, VmLocation};
use manifest::{Release, Rollout, Vm};
use metrics::counter;
use node::{LocalState, wall_clock_ms};
use placement::{InputsFingerprint, place};
use proto::{MemberState, TrialOutcome, Verdict};
use rollout::{Action, Order, OrderKind, Replica, SwitchPolicy, Target};
use settings::EndpointKind;
use telemetry::names;

use crate::{
    core::{Core, MAX_REPORT_AGE, Shared},
    engine::EngineReport,
    event::Event,
};

/// Interval at which the state of the other VMs of the rollout is checked.
const TARGET_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time by which the wall clock must run ahead of the monotonic clock to count as a pause.
const MIN_CLOCK_GAP: Duration = Duration::from_secs(2);
/// Age after which an order is no longer sent.
const MAX_ORDER_AGE: Duration = Duration::from_secs(1);

impl Core {
    /// Recomputes the placement and updates this VM's target accordingly.
    pub(crate) fn update_placement(&mut self, now: Instant) {
        let documents = &self.node.documents;
        let me = &self.node.identity.settings.vm;
        let listed = documents.vms().get(me).is_some();
        if documents.manifest().revision.0 == 0 || !listed {
            return;
        }
        let inputs = InputsFingerprint::of(documents.manifest(), documents.vms());
        if inputs != self.inputs {
            self.inputs = inputs;
            self.placement = place(documents.manifest(), documents.vms());
        }
        let group = self.placement.rollout_of(me).map(|id| self.placement.vms_of(id).to_vec());
        self.node.set_rollout_vms(&group.unwrap_or_default());
        self.update_target(now);
        self.update_plans(now);
    }

    /// Updates the plans of all transfers to the VMs of the rollout that are not considered gone.
    pub(crate) fn update_plans(&mut self, now: Instant) {
        let locations = self.rollout_locations();
        if locations == self.locations {
            return;
        }
        self.locations = locations;
        let me = &self.node.identity.settings.vm;
        for loading in [&mut self.loading, &mut self.seeding].into_iter().flatten() {
            for (list, transfer) in &mut loading.transfers {
                transfer.set_plan(Plan::new(list, &self.locations, me), now);
            }
        }
    }

    fn rollout_locations(&self) -> Vec<VmLocation> {
        let members: HashSet<VmId> = self.rollout_vms().into_iter().collect();
        let listed = self.node.documents.vms().vms.iter();
        let is_active = |vm: &&Vm| members.contains(&vm.id) && !self.node.members.is_gone(&vm.id);
        let location = |vm: &Vm| VmLocation {
            vm: vm.id.clone(),
            zone: vm.zone.clone(),
            region: vm.region.clone(),
        };
        listed.filter(is_active).map(location).collect()
    }

    /// The VMs of this VM's rollout, in placement order.
    pub(crate) fn rollout_vms(&self) -> Vec<VmId> {
        let target = self.endpoint.target();
        target.map(|t| self.placement.vms_of(&t.rollout).to_vec()).unwrap_or_default()
    }

    /// This VM's rollout and the release that the manifest specifies for it.
    fn wanted_release(&self) -> Option<(&Rollout, Release)> {
        let manifest = self.node.documents.manifest();
        let id = self.placement.rollout_of(&self.node.identity.settings.vm)?;
        let rollout = manifest.rollout(id)?;
        Some((rollout, manifest.release(rollout)?))
    }

    /// The known state of the VMs of a rollout, in placement order.
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

    /// Periodically updates the target and the permission to switch, which depend on the other VMs.
    pub(crate) fn refresh_target(&mut self, now: Instant) {
        if now >= self.next_target_check {
            self.next_target_check = now + TARGET_CHECK_INTERVAL;
            self.update_target(now);
        }
    }

    pub(crate) fn update_target(&mut self, now: Instant) {
        let Some((rollout, release)) = self.wanted_release() else {
            self.set_target(None, now);
            return;
        };
        let replicas = self.replicas(rollout);
        let me = &self.node.identity.settings.vm;
        let position = self.placement.vms_of(&rollout.id).iter().position(|vm| vm == me);
        let halted = rollout::is_halted(rollout.canary, &release.id, &replicas);
        let failed = |v: Verdict| v.outcome == TrialOutcome::Failed;
        let give_up = halted || self.endpoint.verdict(&release.id).is_some_and(failed);
        let target_release = match give_up && self.endpoint.serving() != Some(&release.id) {
            true => {
                self.fallback_release(&release.id, &replicas).unwrap_or_else(|| release.id.clone())
            }
            false => release.id.clone(),
        };
        let policy = SwitchPolicy { canary: rollout.canary, floor: rollout.floor };
        let is_allowed = |me| rollout::may_switch(policy, &release.id, &replicas, me);
        let may_switch = target_release != release.id || position.is_some_and(is_allowed);
        let (id, soak) = (rollout.id.clone(), rollout.soak.0);
        if halted && self.last_halted.as_ref() != Some(&release.id) {
            self.last_halted = Some(release.id.clone());
            let change = Change::Halted { release: release.id.clone() };
            self.node.trail.record(change, format!("it failed on the first VMs of {id}"));
        }
        self.set_target(Some(Target { rollout: id, release: target_release, soak }), now);
        self.handle_rollout_event(rollout::Event::MaySwitch(may_switch), now);
    }

    /// The release to serve instead of a failed one: the one that the engine serves, otherwise the
    /// one that most of the rollout's VMs serve, provided that the manifest still lists it.
    fn fallback_release(&self, release: &ReleaseId, replicas: &[Replica]) -> Option<ReleaseId> {
        let current = self.endpoint.serving().cloned();
        let fallback = current.or_else(|| rollout::fallback_release(release, replicas))?;
        self.node.documents.manifest().release_by_id(&fallback).map(|r| r.id)
    }

    fn set_target(&mut self, target: Option<Target>, now: Instant) {
        if self.endpoint.target() != target.as_ref() {
            self.target_since = now;
            self.handle_rollout_event(rollout::Event::Target(target), now);
            self.update_plans(now);
        }
    }

    /// Detects a pause that only the wall clock shows, such as the suspension of the VM.
    pub(crate) fn detect_pause(&mut self, now: Instant) {
        let wall = wall_clock_ms();
        let (last_wall, last) = self.last_run;
        self.last_run = (wall, now);
        let ran = now.duration_since(last);
        let elapsed = Duration::from_millis(wall.saturating_sub(last_wall));
        if elapsed.saturating_sub(ran) > MIN_CLOCK_GAP {
            self.handle_rollout_event(rollout::Event::Resumed, now);
        }
    }

    pub(crate) fn handle_rollout_event(&mut self, event: rollout::Event, now: Instant) {
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
                Action::Order(order) => self.execute_order(order, now),
                Action::LoadChunks(release) => self.start_load(&release, now),
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
        self.publish_state();
    }

    /// Publishes what this VM serves and accepts work for.
    pub(crate) fn publish_state(&mut self) {
        let leaving = self.drain_deadline.is_some();
        let state = if leaving { MemberState::Leaving } else { MemberState::Alive };
        let serving = self.endpoint.serving().filter(|_| self.endpoint.is_accepting()).cloned();
        let wants = self.wanted_release().map(|(_, release)| release.id);
        let verdict = wants.as_ref().and_then(|wants| self.endpoint.verdict(wants));
        let manifest = self.published_revision(wants.as_ref());
        self.node.publish_state(LocalState { state, serving, wants, manifest, verdict });
    }

    /// The manifest revision to publish with the wanted release. While the rollout is in progress,
    /// it is the current revision; otherwise it stays as published, as the others need no update
    /// then.
    fn published_revision(&self, wants: Option<&ReleaseId>) -> Revision {
        let me = self.node.members.get(&self.node.identity.settings.vm);
        let stated = me.filter(|m| m.wants.as_ref() == wants).map(|m| m.manifest);
        let is_done = |vm: &VmId| {
            let member = self.node.members.get(vm);
            member.is_none_or(|m| m.serving.as_ref() == wants) || self.node.members.is_gone(vm)
        };
        match stated.filter(|_| self.rollout_vms().iter().all(is_done)) {
            Some(revision) => revision,
            None => self.node.documents.manifest().revision,
        }
    }

    pub(crate) fn read_engine(&mut self, asked_at: Instant) {
        if self.report_pending {
            return;
        }
        self.report_pending = true;
        let Shared { engine, mailbox, workers, .. } = self.shared.clone();
        let kind = self.settings.kind;
        workers.run(move || {
            let report = match kind {
                EndpointKind::Model => engine.report(),
                EndpointKind::Plain => engine.health(),
            };
            mailbox.send(Event::Engine { report, asked_at });
        });
    }

    pub(crate) fn handle_engine_report(
        &mut self,
        report: Option<EngineReport>,
        asked_at: Instant,
        now: Instant,
    ) {
        self.report_pending = false;
        self.reported_at = now;
        let status = report.as_ref().map(EngineReport::status);
        let plain = self.settings.kind == EndpointKind::Plain;
        if report.as_ref().is_some_and(|report| plain || report.serves()) {
            self.shared.crashes.lock().expect("no holder panics").record_serving(asked_at);
        }
        let fresh = now.saturating_duration_since(asked_at) <= MAX_REPORT_AGE;
        self.engine_report = report.filter(|_| fresh);
        if self.settings.kind == EndpointKind::Model {
            self.handle_rollout_event(
                match status {
                    Some(status) => rollout::Event::Engine { status, asked_at },
                    None => rollout::Event::EngineUnreachable,
                },
                now,
            );
        }
    }

    pub(crate) fn execute_order(&mut self, order: Order, now: Instant) {
        if order.order == OrderKind::Prepare {
            self.update_plans(now);
            self.prepare(order);
            return;
        }
        self.send_order(order, Vec::new(), now);
    }

    /// Sends an order issued at `issued_at`; it is dropped if the process was paused in between.
    pub(crate) fn send_order(&self, order: Order, chunks: Vec<Digest>, issued_at: Instant) {
        let Shared { engine, mailbox, workers, .. } = self.shared.clone();
        let wall = wall_clock_ms();
        workers.run(move || {
            let elapsed = Duration::from_millis(wall_clock_ms().saturating_sub(wall));
            let fresh = issued_at.elapsed().max(elapsed) < MAX_ORDER_AGE;
            let accepted = fresh && engine.order(&order, &chunks);
            mailbox.send(Event::OrderAnswered { order, accepted });
        });
    }

    pub(crate) fn handle_order_result(&mut self, order: Order, accepted: bool, now: Instant) {
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
        self.handle_rollout_event(rollout::Event::OrderAnswered { order, accepted }, now);
    }
}
