//! The endpoints that this entry uses, and polling of their agents for state.

use std::time::{Duration, Instant};

use audit::Change;
use base::VmId;
use proto::PeerClient;
use routing::ZonedVm;

use crate::{
    core::Core,
    event::Event,
    pools::{Pools, allowed_releases},
};

/// Size of one poll of an agent in bytes, including its reply and headers.
const POLL_BYTES: u32 = 700;
/// Bandwidth limit for polls of agents, in bytes per second.
const POLL_BYTES_PER_SECOND: u32 = 4_000;
/// Minimum time between two polls, so that they stay within `POLL_BYTES_PER_SECOND`.
const MIN_POLL_GAP: Duration =
    Duration::from_micros(POLL_BYTES as u64 * 1_000_000 / POLL_BYTES_PER_SECOND as u64);
/// Time between two polls of one agent while there are few endpoints.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two polls of one agent, for example after failures.
const MIN_REPOLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of polling rounds after which the reported state of an endpoint is stale.
const STALE_ROUNDS: u32 = 3;
/// Minimum time after which the reported state of an endpoint is stale.
const MIN_STALE_AFTER: Duration = Duration::from_secs(3);

impl Core {
    pub(crate) fn track_releases(&mut self, now: Instant) {
        let manifest = self.node.documents.manifest();
        let wanted = manifest.rollouts.iter().filter_map(|rollout| {
            let release = manifest.release(rollout)?.id;
            let same = |s: &&(_, _, _)| s.0 == rollout.id && s.1 == release;
            let since = self.wanted_since.iter().find(same).map_or(now, |s| s.2);
            Some((rollout.id.clone(), release, since))
        });
        self.wanted_since = wanted.collect();
    }

    /// Recomputes everything that is derived from the manifest and the VM list.
    pub(crate) fn update_pools(&mut self, now: Instant) {
        let (manifest, vms) = (self.node.documents.manifest(), self.node.documents.vms());
        let settings = &self.node.identity.settings;
        let size = settings.entry.as_ref().map_or(0, |entry| entry.subset);
        let serves = |vm: &VmId, service: &base::ServiceId| {
            let state = self.router.endpoint(vm).and_then(|tracked| tracked.state.as_ref());
            state.and_then(|s| s.serving.as_ref()).is_some_and(|s| s.service == *service)
        };
        let placement = &self.placement;
        let pools = Pools::of(&settings.vm, size, manifest, vms, placement, &self.pools, serves);
        self.pools = pools;
        for service in &manifest.services {
            self.router.set_allowed_releases(
                &service.id,
                allowed_releases(manifest, &service.id),
                now,
            );
        }
        self.update_candidates(now);
        self.update_quotas(now);
    }

    /// Routes to the endpoints of the subsets, except those that are leaving or considered dead.
    pub(crate) fn update_candidates(&mut self, now: Instant) {
        let is_present = |p: &&ZonedVm| !self.node.members.is_gone(&p.vm);
        let candidates: Vec<ZonedVm> = self.pools.endpoints().filter(is_present).cloned().collect();
        let gap = self.poll_gap(candidates.len());
        let round = gap * candidates.len() as u32;
        let (added, removed) = self.router.set_endpoints(candidates, now);
        self.router.set_max_state_age((round * STALE_ROUNDS).max(MIN_STALE_AFTER));
        for vm in added {
            self.poll_endpoint(&vm, now);
            self.poll_order.push_back(vm.clone());
            self.node.trail.record(Change::RoutedIn { vm }, "listed and not gone");
        }
        for vm in removed {
            self.last_polled.remove(&vm);
            self.poll_order.retain(|other| *other != vm);
            self.node.trail.record(Change::RoutedOut { vm }, "leaving, gone or off the list");
        }
    }

    /// Time between two polls when `endpoints` endpoints are polled.
    fn poll_gap(&self, endpoints: usize) -> Duration {
        (POLL_INTERVAL / endpoints.max(1) as u32).max(MIN_POLL_GAP)
    }

    /// Polls the agents that are due, starting with the one whose last poll is the oldest.
    pub(crate) fn poll_next(&mut self, now: Instant) {
        while now >= self.next_poll {
            self.next_poll =
                self.next_poll.max(now - POLL_INTERVAL) + self.poll_gap(self.poll_order.len());
            let Some(vm) = self.poll_order.pop_front() else { return };
            self.poll_order.push_back(vm.clone());
            self.poll_endpoint(&vm, now);
        }
    }

    /// Polls all agents of the subsets.
    pub(crate) fn poll_endpoints(&mut self, now: Instant) {
        for vm in self.poll_order.clone() {
            self.poll_endpoint(&vm, now);
        }
    }

    /// Polls an agent for the state of its endpoint, unless it was polled very recently.
    pub(crate) fn poll_endpoint(&mut self, vm: &VmId, now: Instant) {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < MIN_REPOLL_INTERVAL;
        if self.last_polled.get(vm).is_some_and(recent) {
            return;
        }
        let Some(vm) = self.pools.vm(vm).cloned() else { return };
        self.last_polled.insert(vm.id.clone(), now);
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
