//! Requests under an idempotency key: each goes to the one endpoint that knows the key.

use std::time::Instant;

use base::{AttemptId, VmId, WorkspaceId, highest};
use crossbeam_channel::Sender;
use manifest::{Role, ServiceKind, VmState};
use proto::{EndpointState, PeerClient};
use routing::PickedEndpoint;

use crate::{
    core::Core,
    event::{Ask, Binding, Decision, Event, Grant, Refusal},
    queue::URGENT,
    refusal,
};

/// A request whose endpoint was asked for its state.
pub(crate) struct Bound {
    pub(crate) ask: Ask,
    pub(crate) workspace: WorkspaceId,
    pub(crate) vm: VmId,
    /// What the agent answered, if it did.
    pub(crate) state: Option<EndpointState>,
    pub(crate) reply: Sender<Decision>,
}

impl Core {
    /// Drops a caller's own key where it promises nothing; refuses it where it cannot protect.
    pub(crate) fn check_binding(&self, ask: &mut Ask) -> Result<(), Refusal> {
        if !matches!(ask.binding, Some(Binding::Own(_))) {
            return Ok(());
        }
        match self.node.documents.manifest().service(&ask.service) {
            Some(service) if service.kind == ServiceKind::Model => {
                ask.binding = None;
                let repeatable = service.repeatable(&ask.method, &ask.path);
                if repeatable { Ok(()) } else { Err(refusal::reserve_first()) }
            }
            _ => Ok(()),
        }
    }

    /// Asks the endpoint that knows the key of an admitted request for its state.
    pub(crate) fn bind(&mut self, ask: Ask, workspace: WorkspaceId, reply: Sender<Decision>) {
        let vm = match &ask.binding {
            Some(Binding::Reserved(reservation)) => Some(reservation.vm.clone()),
            Some(Binding::Own(key)) => self.home(&ask, key.as_str()),
            None => None,
        };
        let vm = vm.and_then(|vm| self.node.documents.vms().get(&vm)).cloned();
        let Some(vm) = vm else {
            let gone = match ask.binding {
                Some(Binding::Reserved(_)) => refusal::reservation_gone(),
                _ => refusal::unreachable(),
            };
            self.in_flight -= 1;
            return refuse(&reply, gone);
        };
        let mailbox = self.mailbox.clone();
        self.node.peers.call(
            vm.control,
            |client| async move { client.endpoint().await },
            move |state| {
                let state = state.ok().filter(|state| state.vm == vm.id);
                let bound = Bound { ask, workspace, vm: vm.id, state, reply };
                mailbox.send(Event::Bound(Box::new(bound)));
            },
        );
    }

    /// The VM that knows a key of the caller's own.
    fn home(&self, ask: &Ask, key: &str) -> Option<VmId> {
        let serves = |role: &Role| matches!(role, Role::Plain(service) if *service == ask.service);
        let vms = &self.node.documents.vms().vms;
        let vms = vms.iter().filter(|vm| vm.state == VmState::Live && serves(&vm.role));
        highest(key.as_bytes(), vms, |vm| vm.id.as_str()).map(|vm| vm.id.clone())
    }

    pub(crate) fn bound(&mut self, bound: Bound, now: Instant) {
        let reply = bound.reply.clone();
        match self.bound_grant(bound, now) {
            Ok(grant) => {
                self.router.record_start(&grant.choice.vm);
                // The thread that handles the request always waits for the answer.
                let _ = reply.send(Decision::Go(grant));
            }
            Err(refusal) => {
                self.in_flight -= 1;
                refuse(&reply, refusal);
            }
        }
    }

    fn bound_grant(&mut self, bound: Bound, now: Instant) -> Result<Grant, Refusal> {
        let Bound { ask, workspace, vm, state, .. } = bound;
        let state = state.ok_or_else(refusal::unreachable)?;
        if let Some(Binding::Reserved(reservation)) = &ask.binding
            && reservation.incarnation != state.incarnation
        {
            return Err(refusal::reservation_gone());
        }
        let serving = state.serving.as_ref();
        if now >= ask.deadline || serving.is_none_or(|s| s.service != ask.service) {
            return Err(refusal::unreachable());
        }
        let release = serving.and_then(|s| s.release.clone());
        let listed = self.node.documents.vms().get(&vm).ok_or_else(refusal::unreachable)?;
        Ok(Grant {
            attempt: AttemptId(self.rng.u128(..)),
            stamp: state.clock,
            data: listed.data,
            control: listed.control,
            workspace,
            repeatable: false,
            bound: true,
            priority: URGENT,
            choice: PickedEndpoint { vm, incarnation: state.incarnation, release },
        })
    }
}

fn refuse(reply: &Sender<Decision>, refusal: Refusal) {
    // The thread that handles the request always waits for the answer.
    let _ = reply.send(Decision::Refuse(refusal));
}
