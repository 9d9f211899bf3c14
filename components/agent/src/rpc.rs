//! RPC handlers for other processes and operators.

use std::time::Instant;

use base::VmId;
use net::{PeerCall, send_reply};
use proto::{EndpointState, Load, Serving, Status};
use rollout::{Phase, Target};

use crate::core::Core;

impl Core {
    pub(crate) fn handle_call(&mut self, call: PeerCall, now: Instant) {
        match call {
            PeerCall::Gossip(gossip, reply) => send_reply(reply, self.node.gossip(gossip, now)),
            PeerCall::Probe(vm, reply) => self.node.probe(&vm, reply),
            PeerCall::Document(request, reply) => send_reply(reply, self.node.document(&request)),
            PeerCall::Announce(announcement) => {
                for loading in [&mut self.loading, &mut self.seeding].into_iter().flatten() {
                    if let Some(transfer) = loading.transfers.get_mut(&announcement.list) {
                        transfer.handle_announcement(&announcement.from, &announcement.chunks, now);
                    }
                }
                self.poll_transfers(now);
            }
            PeerCall::Endpoint(reply) => send_reply(reply, self.endpoint_state(now)),
            PeerCall::Cancel(attempt, reply) => {
                send_reply(reply, self.handle_cancel(&attempt, now));
            }
            PeerCall::Fate(attempt, reply) => {
                send_reply(reply, self.attempts.fate(&attempt, now));
            }
            // Only entries handle these; the caller sees the dropped reply.
            PeerCall::Crashes(..) | PeerCall::Usage(_) => {}
            PeerCall::Status(reply) => send_reply(reply, self.status(now)),
            PeerCall::Audit(from, reply) => send_reply(reply, self.node.trail.page(from)),
        }
    }

    pub(crate) fn endpoint_state(&self, now: Instant) -> EndpointState {
        let settings = &self.node.identity.settings;
        EndpointState {
            vm: settings.vm.clone(),
            incarnation: self.node.identity.incarnation,
            serving: self.serving(),
            accepting: self.is_accepting(),
            load: Load { busy: self.attempts.running() as u32, slots: self.settings.slots as u32 },
            clock: self.attempts.clock(now).as_millis() as u64,
        }
    }

    pub(crate) fn serving(&self) -> Option<Serving> {
        if let Some(service) = &self.settings.service {
            return Some(Serving { service: service.clone(), rollout: None, release: None });
        }
        let release = self.endpoint.serving()?.clone();
        let manifest = self.node.documents.manifest();
        let serves = |r: &&manifest::Rollout| manifest.release(r).is_some_and(|x| x.id == release);
        let target = self.endpoint.target().and_then(|t| manifest.rollout(&t.rollout));
        let rollout = target.or_else(|| manifest.rollouts.iter().find(serves))?;
        Some(Serving {
            service: rollout.service.clone(),
            rollout: Some(rollout.id.clone()),
            release: Some(release),
        })
    }

    pub(crate) fn status(&self, now: Instant) -> Status {
        let documents = &self.node.documents;
        let rollouts = self.endpoint.target().map(|target| proto::RolloutRow {
            rollout: target.rollout.clone(),
            release: target.release.clone(),
            ready: self.count_ready(target),
            wanted: self.placement.vms_of(&target.rollout).len(),
            seconds: now.duration_since(self.target_since).as_secs_f64(),
        });
        Status {
            vm: self.node.identity.settings.vm.clone(),
            role: "agent".to_owned(),
            manifest: documents.manifest().revision,
            refused: documents.refused().map(str::to_owned),
            vms: documents.vms().revision,
            accepting: self.is_accepting(),
            in_flight: self.attempts.running(),
            origin_bytes: self.origin_bytes,
            rollouts: rollouts.into_iter().collect(),
            endpoints: vec![proto::EndpointRow {
                vm: self.node.identity.settings.vm.clone(),
                release: self.endpoint.serving().cloned(),
                state: phase_name(self.endpoint.phase()).to_owned(),
                in_flight: self.attempts.running() as u32,
            }],
            quarantined: Vec::new(),
        }
    }

    pub(crate) fn count_ready(&self, target: &Target) -> usize {
        let ready = |vm: &&VmId| {
            let member = self.node.members.get(vm);
            member.is_some_and(|m| m.serving.as_ref() == Some(&target.release))
        };
        self.placement.vms_of(&target.rollout).iter().filter(ready).count()
    }
}

fn phase_name(phase: &Phase) -> &'static str {
    match phase {
        Phase::Unknown => "suspect",
        Phase::Settled => "ready",
        Phase::Loading | Phase::Waiting => "loading",
        Phase::Draining | Phase::Switching => "switching",
        Phase::Superseded => "superseded",
    }
}
