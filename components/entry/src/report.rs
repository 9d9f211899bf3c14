//! Handles JSON-RPC calls from other processes and from operators.

use std::time::Instant;

use base::{ReleaseId, RolloutId, VmId};
use net::{PeerCall, send_reply};
use proto::{EndpointRow, MemberState, RolloutRow, Status};

use crate::{core::Core, suspects::MAX_RECORDS};

impl Core {
    pub(crate) fn handle_peer_call(&mut self, call: PeerCall, now: Instant) {
        match call {
            PeerCall::Gossip(gossip, reply) => send_reply(reply, self.node.gossip(gossip, now)),
            PeerCall::Probe(vm, reply) => self.node.probe(&vm, reply),
            PeerCall::Document(request, reply) => {
                send_reply(reply, self.node.document(&request));
            }
            PeerCall::Usage(news) => {
                let entries = self.live_entries();
                self.usage.receive(news, entries, now);
            }
            PeerCall::Crashes(records, reply) => {
                self.record_crashes(&records, now);
                send_reply(reply, self.crash_tracker.records(MAX_RECORDS, now));
            }
            PeerCall::Status(reply) => send_reply(reply, self.status(now)),
            PeerCall::Audit(from, reply) => send_reply(reply, self.node.trail.page(from)),
            // Only agents serve these calls; dropping the reply tells the caller so.
            PeerCall::Announce(_)
            | PeerCall::Endpoint(_)
            | PeerCall::Cancel(..)
            | PeerCall::Fate(..) => {}
        }
    }

    pub(crate) fn status(&self, now: Instant) -> Status {
        let documents = &self.node.documents;
        Status {
            vm: self.node.identity.settings.vm.clone(),
            role: "entry".to_owned(),
            manifest: documents.manifest().revision,
            refused: documents.refused().map(str::to_owned),
            vms: documents.vms().revision,
            accepting: self.draining.is_none(),
            in_flight: self.in_flight,
            origin_bytes: 0,
            rollouts: self.wanted_since.iter().map(|row| self.rollout_row(row, now)).collect(),
            endpoints: self.endpoint_rows(),
            quarantined: self.crash_tracker.quarantined().iter().map(|d| d.to_string()).collect(),
        }
    }

    /// The endpoints in use, followed by those that are leaving or considered dead.
    fn endpoint_rows(&self) -> Vec<EndpointRow> {
        // The router removes an endpoint only some time after its VM has gone.
        let is_present = |(vm, _): &(&VmId, _)| !self.node.members.is_gone(vm);
        let used = self.router.endpoints().filter(is_present).map(|(vm, tracked)| {
            let suspect = self.member_state(vm) == Some(MemberState::Suspect);
            endpoint_row(vm, tracked, suspect)
        });
        let gone = self.pools.endpoints().filter_map(|endpoint| {
            let state = match self.member_state(&endpoint.vm)? {
                MemberState::Leaving => "leaving",
                MemberState::Dead => "dead",
                MemberState::Alive | MemberState::Suspect => return None,
            };
            Some(EndpointRow {
                vm: endpoint.vm.clone(),
                release: None,
                state: state.to_owned(),
                in_flight: 0,
            })
        });
        used.chain(gone).collect()
    }

    fn member_state(&self, vm: &VmId) -> Option<MemberState> {
        self.node.members.get(vm).map(|member| member.state)
    }

    pub(crate) fn rollout_row(
        &self,
        row: &(RolloutId, ReleaseId, Instant),
        now: Instant,
    ) -> RolloutRow {
        let (rollout, release, since) = row;
        let vms = self.placement.vms_of(rollout);
        let ready = |vm: &&VmId| {
            let member = self.node.members.get(vm);
            member.is_some_and(|m| m.serving.as_ref() == Some(release))
        };
        RolloutRow {
            rollout: rollout.clone(),
            release: release.clone(),
            ready: vms.iter().filter(ready).count(),
            wanted: vms.len(),
            seconds: now.duration_since(*since).as_secs_f64(),
        }
    }
}

fn endpoint_row(vm: &VmId, tracked: &routing::TrackedEndpoint, suspect: bool) -> EndpointRow {
    let serving = tracked.state.as_ref().and_then(|s| s.serving.as_ref());
    let state = match &tracked.state {
        _ if suspect => "suspect",
        None => "unknown",
        Some(state) if state.accepting => "ready",
        Some(_) => "out",
    };
    EndpointRow {
        vm: vm.clone(),
        release: serving.and_then(|s| s.release.clone()),
        state: state.to_owned(),
        in_flight: tracked.in_flight,
    }
}
