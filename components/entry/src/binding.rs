//! Requests with an idempotency key: each is sent to the one endpoint that owns the key.

use std::time::Instant;

use base::{AttemptId, VmId, WorkspaceId, rendezvous_first};
use crossbeam_channel::Sender;
use manifest::{Role, ServiceKind, VmState};
use proto::{EndpointState, PeerClient};
use routing::PickedEndpoint;

use crate::{
    core::Core,
    event::{Assignment, Binding, Decision, Event, Refusal, RequestContext},
    queue::URGENT,
    refusal,
};

/// A request that is pinned to one endpoint, with the state that the endpoint reported.
pub(crate) struct PinnedRequest {
    pub(crate) context: RequestContext,
    pub(crate) workspace: WorkspaceId,
    pub(crate) vm: VmId,
    /// The reported state; `None` if the agent did not reply.
    pub(crate) state: Option<EndpointState>,
    pub(crate) reply: Sender<Decision>,
}

impl Core {
    /// Checks a key that the caller chose itself. For model services such a key gives no guarantee:
    /// it is ignored if the call is repeatable, and refused otherwise.
    pub(crate) fn check_binding(&self, context: &mut RequestContext) -> Result<(), Refusal> {
        if !matches!(context.binding, Some(Binding::CallerKey(_))) {
            return Ok(());
        }
        match self.node.documents.manifest().service(&context.service) {
            Some(service) if service.kind == ServiceKind::Model => {
                context.binding = None;
                let repeatable = service.is_retryable(&context.method, &context.path);
                if repeatable { Ok(()) } else { Err(refusal::reserved_key_required()) }
            }
            _ => Ok(()),
        }
    }

    /// Queries the state of the endpoint that owns the key of an admitted request.
    pub(crate) fn query_key_owner(
        &mut self,
        context: RequestContext,
        workspace: WorkspaceId,
        reply: Sender<Decision>,
    ) {
        let vm = match &context.binding {
            Some(Binding::Reserved(reservation)) => Some(reservation.vm.clone()),
            Some(Binding::CallerKey(key)) => self.key_owner(&context, key.as_str()),
            None => None,
        };
        let vm = vm.and_then(|vm| self.node.documents.vms().get(&vm)).cloned();
        let Some(vm) = vm else {
            let error = match context.binding {
                Some(Binding::Reserved(_)) => refusal::reservation_gone(),
                _ => refusal::endpoint_unreachable(),
            };
            self.in_flight -= 1;
            return refuse(&reply, error);
        };
        let mailbox = self.mailbox.clone();
        self.node.peers.call(
            vm.control,
            |client| async move { client.endpoint().await },
            move |state| {
                let state = state.ok().filter(|state| state.vm == vm.id);
                let pinned = PinnedRequest { context, workspace, vm: vm.id, state, reply };
                mailbox.send(Event::Pinned(Box::new(pinned)));
            },
        );
    }

    /// The VM that owns a key chosen by the caller, by rendezvous hashing over the live VMs of the
    /// service.
    fn key_owner(&self, context: &RequestContext, key: &str) -> Option<VmId> {
        let serves =
            |role: &Role| matches!(role, Role::Plain(service) if *service == context.service);
        let vms = &self.node.documents.vms().vms;
        let vms = vms.iter().filter(|vm| vm.state == VmState::Live && serves(&vm.role));
        rendezvous_first(key.as_bytes(), vms, |vm| vm.id.as_str()).map(|vm| vm.id.clone())
    }

    pub(crate) fn handle_pinned(&mut self, pinned: PinnedRequest, now: Instant) {
        let reply = pinned.reply.clone();
        match self.assign_pinned(pinned, now) {
            Ok(assignment) => {
                self.router.record_start(&assignment.endpoint.vm);
                // The thread that handles the request always waits for the decision.
                let _ = reply.send(Decision::Assign(assignment));
            }
            Err(refusal) => {
                self.in_flight -= 1;
                refuse(&reply, refusal);
            }
        }
    }

    fn assign_pinned(
        &mut self,
        pinned: PinnedRequest,
        now: Instant,
    ) -> Result<Assignment, Refusal> {
        let PinnedRequest { context, workspace, vm, state, .. } = pinned;
        let state = state.ok_or_else(refusal::endpoint_unreachable)?;
        if let Some(Binding::Reserved(reservation)) = &context.binding
            && reservation.incarnation != state.incarnation
        {
            return Err(refusal::reservation_gone());
        }
        let serving = state.serving.as_ref();
        if now >= context.deadline || serving.is_none_or(|s| s.service != context.service) {
            return Err(refusal::endpoint_unreachable());
        }
        let release = serving.and_then(|s| s.release.clone());
        let listed =
            self.node.documents.vms().get(&vm).ok_or_else(refusal::endpoint_unreachable)?;
        Ok(Assignment {
            attempt: AttemptId(self.rng.u128(..)),
            stamp: state.clock,
            data: listed.data,
            control: listed.control,
            workspace,
            repeatable: false,
            pinned: true,
            priority: URGENT,
            endpoint: PickedEndpoint { vm, incarnation: state.incarnation, release },
        })
    }
}

fn refuse(reply: &Sender<Decision>, refusal: Refusal) {
    // The thread that handles the request always waits for the decision.
    let _ = reply.send(Decision::Refuse(refusal));
}
