//! Calls to and from other processes: gossip, probes, document requests and the join phase.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::VmId;
use gossip::{JOIN_PEERS, Joining};
use metrics::counter;
use net::{Reply, send_reply};
use proto::{DocumentRequest, Gossip, PeerClient};
use telemetry::names;

use crate::{Changes, Node, NodeEvent};

/// Interval between regular gossip calls.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the burst limiter allows one more call.
const REFILL_INTERVAL: Duration = Duration::from_secs(4);
/// Maximum number of extra calls in a burst.
const MAX_BURST: u32 = 4;
/// Number of calls that spread urgent updates: a new document, or that this process is stopping.
const SPREAD_CALLS: u32 = 3;
/// Number of peers that probe a VM before it is suspected.
const PROBE_PEERS: usize = 3;
/// Time after which another peer may be asked for a document.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Token bucket for gossip calls with new updates, besides the regular calls.
#[derive(Debug)]
pub(crate) struct BurstLimiter {
    /// Available tokens; at most `MAX_BURST`.
    available: u32,
    refilled_at: Instant,
    /// Calls still to be made to spread urgent updates.
    spread_calls_left: u32,
}

impl BurstLimiter {
    pub(crate) fn new(now: Instant) -> BurstLimiter {
        BurstLimiter { available: MAX_BURST, refilled_at: now, spread_calls_left: 0 }
    }

    /// Requests calls that spread an urgent update.
    pub(crate) fn request_spread(&mut self) {
        self.spread_calls_left = SPREAD_CALLS;
    }

    /// Takes a token if a call is to be made and allowed now; `has_updates` says that there are
    /// unsent updates of the ordinary kind.
    fn try_take(&mut self, has_updates: bool, now: Instant) -> bool {
        while self.available < MAX_BURST && now >= self.refilled_at + REFILL_INTERVAL {
            self.available += 1;
            self.refilled_at += REFILL_INTERVAL;
        }
        if self.available == MAX_BURST {
            self.refilled_at = now;
        }
        if self.available == 0 || (self.spread_calls_left == 0 && !has_updates) {
            return false;
        }
        self.available -= 1;
        self.spread_calls_left = self.spread_calls_left.saturating_sub(1);
        true
    }
}

/// Probes by peers that are in progress.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    /// Number of outstanding probe results for each VM that did not answer this process.
    pending: HashMap<VmId, usize>,
}

impl Node {
    /// Gossips when a call is due or there are unsent updates, expires suspects and selects the
    /// readers.
    pub fn tick(&mut self, now: Instant) -> Changes {
        self.members.tick(now);
        let due = now >= self.gossip_at;
        if due {
            self.gossip_at = now + GOSSIP_INTERVAL;
            self.select_readers();
        }
        if due || self.burst_limiter.try_take(self.members.has_unsent_updates(), now) {
            let members = &self.members;
            if let Some(to) = self.picker.pick(&mut self.rng, |vm| members.is_gone(vm)) {
                self.send_gossip(to);
            }
        }
        Changes { joined: self.end_joining(now), ..Changes::default() }
    }

    /// Starts the join phase: asks several peers for their newest revisions before this process
    /// acts, after its start or a pause.
    pub fn join(&mut self, now: Instant) {
        let peers = self.picker.pick_several(JOIN_PEERS, &mut self.rng);
        self.joining = Some(Joining::new(peers.clone(), now));
        for vm in peers {
            self.send_gossip(vm);
        }
    }

    pub(crate) fn end_joining(&mut self, now: Instant) -> bool {
        let Some(joining) = &self.joining else { return false };
        let manifest = self.documents.manifest().revision;
        let vms = self.documents.vms().revision;
        if !joining.is_over(manifest, vms, now) {
            return false;
        }
        self.joining = None;
        self.members.set_joined();
        true
    }

    /// Answers a gossip call.
    pub fn gossip(&mut self, gossip: Gossip, now: Instant) -> Gossip {
        let from = gossip.from.clone();
        self.merge_gossip(&from, gossip, now);
        self.gossip_message(&from)
    }

    fn gossip_message(&mut self, to: &VmId) -> Gossip {
        Gossip {
            from: self.identity.settings.vm.clone(),
            incarnation: self.members.incarnation(),
            manifest: self.documents.manifest().revision,
            vms: self.documents.vms().revision,
            vms_age_ms: self.vms_age_ms(),
            members: self.members.updates_for(to),
        }
    }

    fn send_gossip(&mut self, to: VmId) {
        let Some(control) = self.documents.vms().get(&to).map(|vm| vm.control) else { return };
        let message = self.gossip_message(&to);
        let send = self.send.clone();
        let at = Instant::now();
        self.peers.call(
            control,
            move |client| async move { client.gossip(message).await },
            move |reply| {
                send(NodeEvent::GossipReplied { to, reply: reply.ok(), at });
            },
        );
    }

    /// Handles the result of a gossip call that was made at `at`.
    pub(crate) fn handle_gossip_reply(
        &mut self,
        to: VmId,
        reply: Option<Gossip>,
        at: Instant,
        now: Instant,
    ) {
        let result = if reply.is_some() { "replied" } else { "missed" };
        counter!(names::GOSSIP, "result" => result).increment(1);
        if let Some(joining) = &mut self.joining {
            joining.record_reply(&to, reply.as_ref().map(|r| (r.manifest, r.vms)));
        }
        let result = if reply.is_some() { "replied" } else { "missed" };
        counter!(names::GOSSIP, "result" => result).increment(1);
        match reply {
            Some(gossip) => {
                if let Some(age) = gossip.vms_age_ms {
                    let then = at.checked_sub(Duration::from_millis(age)).unwrap_or(at);
                    self.confirm_vms(gossip.vms, then);
                }
                self.merge_gossip(&to, gossip, now);
            }
            None => self.request_probes(to, now),
        }
    }

    fn merge_gossip(&mut self, from: &VmId, gossip: Gossip, now: Instant) {
        for request in self.documents.requests_for_newer(gossip.manifest, gossip.vms) {
            self.fetch_document(from, request, now);
        }
        self.members.merge(gossip.members, now);
    }

    /// Asks a few peers to probe a VM that did not answer; suspects it at once if no peer is
    /// available.
    fn request_probes(&mut self, vm: VmId, now: Instant) {
        if self.members.is_gone(&vm) || self.probes.pending.contains_key(&vm) {
            return;
        }
        let mut probers = self.picker.pick_several(PROBE_PEERS + 1, &mut self.rng);
        probers.retain(|prober| *prober != vm && !self.members.is_gone(prober));
        probers.truncate(PROBE_PEERS);
        if probers.is_empty() {
            self.members.suspect(&vm, now);
            return;
        }
        self.probes.pending.insert(vm.clone(), probers.len());
        for prober in probers {
            let (asked, target) = (vm.clone(), vm.clone());
            let send = self.send.clone();
            let Some(control) = self.documents.vms().get(&prober).map(|p| p.control) else {
                send(NodeEvent::Probed { vm: target, alive: false });
                continue;
            };
            self.peers.call(
                control,
                move |client| async move { client.probe(asked).await },
                move |alive| {
                    let alive = alive.unwrap_or(false);
                    send(NodeEvent::Probed { vm: target, alive });
                },
            );
        }
    }

    pub(crate) fn handle_probe_result(&mut self, vm: &VmId, alive: bool, now: Instant) {
        let Some(waiting) = self.probes.pending.get_mut(vm) else { return };
        *waiting -= 1;
        if alive {
            self.probes.pending.remove(vm);
        } else if *waiting == 0 {
            self.probes.pending.remove(vm);
            self.members.suspect(vm, now);
        }
    }

    /// Probes a VM on behalf of a peer that could not reach it.
    pub fn probe(&mut self, vm: &VmId, reply: Reply<bool>) {
        let Some(control) = self.documents.vms().get(vm).map(|vm| vm.control) else {
            send_reply(reply, false);
            return;
        };
        let message = self.gossip_message(vm);
        self.peers.call(
            control,
            move |client| async move { client.gossip(message).await },
            move |answer| send_reply(reply, answer.is_ok()),
        );
    }

    pub(crate) fn fetch_document(&mut self, from: &VmId, request: DocumentRequest, now: Instant) {
        let kind = request.kind;
        self.requested.retain(|(_, until)| now < *until);
        if self.requested.iter().any(|(requested, _)| *requested == kind) {
            return;
        }
        let Some(control) = self.documents.vms().get(from).map(|vm| vm.control) else { return };
        self.requested.push((kind, now + DOCUMENT_TIMEOUT));
        let (send, from) = (self.send.clone(), from.clone());
        self.peers.call(
            control,
            move |client| async move { client.document(request).await },
            move |reply| {
                send(NodeEvent::DocumentReplied { from, kind, reply: reply.ok() });
            },
        );
    }
}

#[cfg(test)]
mod tests;
