//! The agent's part in rollouts: its target, its turn, and orders to the engine.

use std::{collections::HashSet, time::Instant};

use audit::Change;
use base::{Digest, VmId};
use chunks::{Place, Plan};
use manifest::Vm;
use placement::place;
use proto::MemberState;
use rollout::{Action, Order, OrderKind, Replica, Target, Turn};
use settings::EndpointKind;

use crate::{
    core::{Core, Shared},
    engine::EngineReport,
    event::Event,
};

impl Core {
    /// Computes the placement again and aims at what it gives this VM.
    pub(crate) fn retarget(&mut self, now: Instant) {
        let documents = &self.node.documents;
        let me = &self.node.identity.settings.vm;
        let listed = documents.vms().get(me).is_some();
        if documents.manifest().revision.0 == 0 || !listed {
            return;
        }
        self.placement = place(documents.manifest(), documents.vms());
        let target = self.placement.rollout_of(me).and_then(|id| {
            let rollout = documents.manifest().rollout(id)?;
            let release = documents.manifest().release(rollout)?;
            Some(Target { rollout: id.clone(), release: release.id })
        });
        if self.endpoint.target() != target.as_ref() {
            self.target_since = now;
        }
        self.decide(rollout::Event::Target(target), now);
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

    fn rollout_places(&self) -> Vec<Place> {
        let members: HashSet<VmId> = self.rollout_vms().into_iter().collect();
        let listed = self.node.documents.vms().vms.iter();
        let here = |vm: &&Vm| members.contains(&vm.id) && !self.node.members.is_gone(&vm.id);
        let place =
            |vm: &Vm| Place { vm: vm.id.clone(), zone: vm.zone.clone(), region: vm.region.clone() };
        listed.filter(here).map(place).collect()
    }

    /// The VMs of this VM's rollout, in placement order.
    pub(crate) fn rollout_vms(&self) -> Vec<VmId> {
        let target = self.endpoint.target();
        target.map(|t| self.placement.vms_of(&t.rollout).to_vec()).unwrap_or_default()
    }

    pub(crate) fn turn(&self) -> bool {
        let Some(target) = self.endpoint.target() else { return false };
        let Some(rollout) = self.node.documents.manifest().rollout(&target.rollout) else {
            return false;
        };
        let vms = self.placement.vms_of(&target.rollout);
        let me = &self.node.identity.settings.vm;
        let Some(position) = vms.iter().position(|vm| vm == me) else { return false };
        let replica = |vm: &VmId| Replica {
            serving: self.node.members.get(vm).and_then(|m| m.serving.clone()),
            dead: self.node.members.is_gone(vm),
        };
        let replicas: Vec<Replica> = vms.iter().map(replica).collect();
        let step = vms.len().saturating_sub(rollout.floor).max(1);
        let turn = Turn { canary: rollout.canary, step };
        rollout::my_turn(turn, &target.release, &replicas, position)
    }

    pub(crate) fn decide(&mut self, event: rollout::Event, now: Instant) {
        for action in self.endpoint.handle(event, now) {
            match action {
                Action::ReadEngine => self.read_engine(),
                Action::Order(order) => self.order(order, now),
                Action::Load(release) => self.load(&release, now),
                Action::Stop(release) => {
                    self.node.trail.record(Change::Superseded { release }, "target changed");
                    self.loading = None;
                }
                Action::Ready(release) => {
                    let seconds = now.duration_since(self.target_since).as_secs_f64();
                    let cause = format!("engine states it after {seconds:.2}s");
                    self.node.trail.record(Change::Ready { release }, cause);
                    self.seeding = self.loading.take().or(self.seeding.take());
                }
            }
        }
        let state = if self.draining.is_some() { MemberState::Leaving } else { MemberState::Alive };
        self.node.state(state, self.endpoint.serving().cloned());
    }

    pub(crate) fn read_engine(&mut self) {
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
            mailbox.send(Event::Engine(report));
        });
    }

    pub(crate) fn engine_report(&mut self, report: Option<EngineReport>, now: Instant) {
        self.reading = false;
        self.reported = now;
        let view = report.as_ref().map(EngineReport::view);
        self.report = report;
        if self.settings.kind == EndpointKind::Model {
            let event = view.map_or(rollout::Event::EngineLost, rollout::Event::Engine);
            self.decide(event, now);
        }
    }

    pub(crate) fn order(&mut self, order: Order, now: Instant) {
        if order.order == OrderKind::Prepare {
            self.update_plans(now);
            self.prepare(order);
            return;
        }
        self.send_order(order, Vec::new());
    }

    pub(crate) fn send_order(&self, order: Order, chunks: Vec<Digest>) {
        let Shared { engine, mailbox, workers, .. } = self.shared.clone();
        workers.run(move || {
            let accepted = engine.order(&order, &chunks);
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
        self.node.trail.record(change, "rollout");
        self.decide(rollout::Event::Ordered { order, accepted }, now);
    }
}
