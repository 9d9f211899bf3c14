//! The endpoints that this entry uses, and what their agents state.

use std::time::Instant;

use audit::Change;
use base::VmId;
use manifest::{Role, VmState};
use proto::PeerClient;
use routing::Candidate;

use crate::{core::Core, event::Event};

impl Core {
    pub(crate) fn note_releases(&mut self, now: Instant) {
        let manifest = self.node.documents.manifest();
        let wanted = manifest.rollouts.iter().filter_map(|rollout| {
            let release = manifest.release(rollout)?.id;
            let same = |s: &&(_, _, _)| s.0 == rollout.id && s.1 == release;
            let since = self.since.iter().find(same).map_or(now, |s| s.2);
            Some((rollout.id.clone(), release, since))
        });
        self.since = wanted.collect();
    }

    pub(crate) fn update_candidates(&mut self, now: Instant) {
        let gone = |vm: &VmId| self.node.members.is_gone(vm);
        let vms = &self.node.documents.vms().vms;
        let candidates = vms
            .iter()
            .filter(|vm| vm.role != Role::Entry && vm.state == VmState::Live && !gone(&vm.id))
            .map(|vm| Candidate { vm: vm.id.clone(), zone: vm.zone.clone() })
            .collect();
        let (added, removed) = self.router.set_candidates(candidates, now);
        for vm in added {
            self.node.trail.record(Change::RoutedIn { vm }, "listed and not gone");
        }
        for vm in removed {
            self.node.trail.record(Change::RoutedOut { vm }, "leaving, gone or off the list");
        }
    }

    pub(crate) fn ask_endpoints(&self) {
        for (id, _) in self.router.endpoints() {
            let Some(vm) = self.node.documents.vms().get(id) else { continue };
            let (vm, mailbox) = (vm.clone(), self.mailbox.clone());
            self.node.peers.call(
                vm.control,
                |client| async move { client.endpoint().await },
                move |state| {
                    mailbox.send(Event::Endpoint { vm: vm.id, state: state.ok() });
                },
            );
        }
    }
}
