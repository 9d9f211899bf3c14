//! The endpoints that this entry uses, and what their agents state.

use std::time::{Duration, Instant};

use audit::Change;
use base::VmId;
use proto::PeerClient;
use routing::ZonedVm;

use crate::{
    core::Core,
    event::Event,
    pools::{Pools, wanted},
};

/// Bytes of one question to an agent with its reply and headers.
const QUESTION_BYTES: u32 = 700;
/// Bytes a second for questions to agents.
const QUESTIONS_BYTES: u32 = 4_000;
/// Shortest time between two questions.
const MIN_GAP: Duration =
    Duration::from_micros(QUESTION_BYTES as u64 * 1_000_000 / QUESTIONS_BYTES as u64);
/// Time between two questions to one agent when there are few endpoints.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// Shortest time between two questions to one agent after failures.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// Rounds of questions after which what an agent stated no longer counts.
const STALE_ROUNDS: u32 = 3;
/// Shortest such time.
const MIN_STALE: Duration = Duration::from_secs(3);

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

    /// Recomputes what follows from the documents.
    pub(crate) fn update_pools(&mut self, now: Instant) {
        let (manifest, vms) = (self.node.documents.manifest(), self.node.documents.vms());
        let settings = &self.node.identity.settings;
        let size = settings.entry.as_ref().map_or(0, |entry| entry.subset);
        let serves = |vm: &VmId, service: &base::ServiceId| {
            let state = self.router.endpoint(vm).and_then(|known| known.state.as_ref());
            state.and_then(|s| s.serving.as_ref()).is_some_and(|s| s.service == *service)
        };
        let placement = &self.placement;
        let pools = Pools::of(&settings.vm, size, manifest, vms, placement, &self.pools, serves);
        self.pools = pools;
        for service in &manifest.services {
            self.router.set_allowed_releases(&service.id, wanted(manifest, &service.id), now);
        }
        self.update_candidates(now);
        self.set_parts(now);
    }

    /// Uses the endpoints of the subsets, but for those that said that they stop or are thought dead.
    pub(crate) fn update_candidates(&mut self, now: Instant) {
        let gone = |p: &&ZonedVm| !self.node.members.is_gone(&p.vm);
        let candidates: Vec<ZonedVm> = self.pools.endpoints().filter(gone).cloned().collect();
        let gap = self.gap(candidates.len());
        let round = gap * candidates.len() as u32;
        let (added, removed) = self.router.set_endpoints(candidates, now);
        self.router.set_max_state_age((round * STALE_ROUNDS).max(MIN_STALE));
        for vm in added {
            self.ask_endpoint(&vm, now);
            self.order.push_back(vm.clone());
            self.node.trail.record(Change::RoutedIn { vm }, "listed and not gone");
        }
        for vm in removed {
            self.asked.remove(&vm);
            self.order.retain(|other| *other != vm);
            self.node.trail.record(Change::RoutedOut { vm }, "leaving, gone or off the list");
        }
    }

    /// Time between two questions with `endpoints` to ask.
    fn gap(&self, endpoints: usize) -> Duration {
        (ASK_EVERY / endpoints.max(1) as u32).max(MIN_GAP)
    }

    /// Asks the agent that was not asked for the longest time, if one is due.
    pub(crate) fn ask_next(&mut self, now: Instant) {
        while now >= self.ask_at {
            self.ask_at = self.ask_at.max(now - ASK_EVERY) + self.gap(self.order.len());
            let Some(vm) = self.order.pop_front() else { return };
            self.order.push_back(vm.clone());
            self.ask_endpoint(&vm, now);
        }
    }

    /// Asks all agents of the subsets.
    pub(crate) fn ask_endpoints(&mut self, now: Instant) {
        for vm in self.order.clone() {
            self.ask_endpoint(&vm, now);
        }
    }

    /// Asks an agent what its endpoint does, unless it was asked just now.
    pub(crate) fn ask_endpoint(&mut self, vm: &VmId, now: Instant) {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < ASK_AGAIN;
        if self.asked.get(vm).is_some_and(recent) {
            return;
        }
        let Some(vm) = self.pools.vm(vm).cloned() else { return };
        self.asked.insert(vm.id.clone(), now);
        let mailbox = self.mailbox.clone();
        self.node.peers.call(
            vm.control,
            |client| async move { client.endpoint().await },
            move |state| {
                mailbox.send(Event::Endpoint { vm: vm.id, state: state.ok() });
            },
        );
    }
}
