//! Calls to and from other processes: gossip, probes, and the questions before this process acts.

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

/// Time between gossip calls when there is no news.
const GOSSIP_EVERY: Duration = Duration::from_secs(1);
/// Time in which one more call with fresh news is allowed.
const BURST_EVERY: Duration = Duration::from_secs(4);
/// Most calls with fresh news at a time.
const BURST: u32 = 4;
/// Calls that pass on what all should know soon: a new document, or that this process stops.
const SPREAD_CALLS: u32 = 3;
/// Peers that try to reach a VM before it is suspected.
const PROBERS: usize = 3;
/// Time after which another peer is asked for a document.
const DOCUMENT_PATIENCE: Duration = Duration::from_secs(1);

/// Calls with fresh news that are allowed besides the regular ones.
#[derive(Debug)]
pub(crate) struct Burst {
    /// At most `BURST`.
    left: u32,
    filled_at: Instant,
    /// Calls that are wanted to pass on what all should know soon.
    wanted: u32,
}

impl Burst {
    pub(crate) fn new(now: Instant) -> Burst {
        Burst { left: BURST, filled_at: now, wanted: 0 }
    }

    /// There is something that all should know soon.
    pub(crate) fn spread(&mut self) {
        self.wanted = SPREAD_CALLS;
    }

    /// Whether a call may be made now; `fresh` says that there is other news.
    fn take(&mut self, fresh: bool, now: Instant) -> bool {
        while self.left < BURST && now >= self.filled_at + BURST_EVERY {
            self.left += 1;
            self.filled_at += BURST_EVERY;
        }
        if self.left == BURST {
            self.filled_at = now;
        }
        if self.left == 0 || (self.wanted == 0 && !fresh) {
            return false;
        }
        self.left -= 1;
        self.wanted = self.wanted.saturating_sub(1);
        true
    }
}

/// Probes by peers that are on their way.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    /// Answers to come for each VM that did not answer this process.
    waiting: HashMap<VmId, usize>,
}

impl Node {
    /// Gossips when it is due or there is fresh news, judges the suspects and selects the readers.
    pub fn tick(&mut self, now: Instant) -> Changes {
        self.members.tick(now);
        let due = now >= self.gossip_at;
        if due {
            self.gossip_at = now + GOSSIP_EVERY;
            self.select_readers();
        }
        if due || self.burst.take(self.members.is_fresh(), now) {
            let members = &self.members;
            if let Some(to) = self.picker.pick(&mut self.rng, |vm| members.is_gone(vm)) {
                self.call_gossip(to);
            }
        }
        Changes { joined: self.end_joining(now), ..Changes::default() }
    }

    /// Asks several peers for what is newest before this process acts, after its start or a pause.
    pub fn join(&mut self, now: Instant) {
        let peers = self.picker.some(JOIN_PEERS, &mut self.rng);
        self.joining = Some(Joining::new(peers.clone(), now));
        for vm in peers {
            self.call_gossip(vm);
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
        self.learn(&from, gossip, now);
        self.message(&from)
    }

    fn message(&mut self, to: &VmId) -> Gossip {
        Gossip {
            from: self.identity.settings.vm.clone(),
            incarnation: self.members.incarnation(),
            manifest: self.documents.manifest().revision,
            vms: self.documents.vms().revision,
            vms_age_ms: self.vms_age(),
            members: self.members.news(to),
        }
    }

    fn call_gossip(&mut self, to: VmId) {
        let Some(control) = self.documents.vms().get(&to).map(|vm| vm.control) else { return };
        let message = self.message(&to);
        let send = self.send.clone();
        let at = Instant::now();
        self.peers.call(
            control,
            move |client| async move { client.gossip(message).await },
            move |reply| {
                send(NodeEvent::Gossiped { to, reply: reply.ok(), at });
            },
        );
    }

    /// Takes in the reply to a gossip call that was made at `at`.
    pub(crate) fn gossiped(&mut self, to: VmId, reply: Option<Gossip>, at: Instant, now: Instant) {
        let result = if reply.is_some() { "replied" } else { "missed" };
        counter!(names::GOSSIP, "result" => result).increment(1);
        if let Some(joining) = &mut self.joining {
            joining.heard(&to, reply.as_ref().map(|r| (r.manifest, r.vms)));
        }
        let result = if reply.is_some() { "replied" } else { "missed" };
        counter!(names::GOSSIP, "result" => result).increment(1);
        match reply {
            Some(gossip) => {
                if let Some(age) = gossip.vms_age_ms {
                    let then = at.checked_sub(Duration::from_millis(age)).unwrap_or(at);
                    self.confirm_vms(gossip.vms, then);
                }
                self.learn(&to, gossip, now);
            }
            None => self.ask_others(to, now),
        }
    }

    fn learn(&mut self, from: &VmId, gossip: Gossip, now: Instant) {
        for request in self.documents.wanted(gossip.manifest, gossip.vms) {
            self.fetch_document(from, request, now);
        }
        self.members.learn(gossip.members, now);
    }

    /// Lets a few peers try to reach a VM that did not answer.
    fn ask_others(&mut self, vm: VmId, now: Instant) {
        if self.members.is_gone(&vm) || self.probes.waiting.contains_key(&vm) {
            return;
        }
        let mut probers = self.picker.some(PROBERS + 1, &mut self.rng);
        probers.retain(|prober| *prober != vm && !self.members.is_gone(prober));
        probers.truncate(PROBERS);
        if probers.is_empty() {
            self.members.missed(&vm, now);
            return;
        }
        self.probes.waiting.insert(vm.clone(), probers.len());
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

    pub(crate) fn probed(&mut self, vm: &VmId, alive: bool, now: Instant) {
        let Some(waiting) = self.probes.waiting.get_mut(vm) else { return };
        *waiting -= 1;
        if alive {
            self.probes.waiting.remove(vm);
        } else if *waiting == 0 {
            self.probes.waiting.remove(vm);
            self.members.missed(vm, now);
        }
    }

    /// Tries to reach a VM for a peer that could not.
    pub fn probe(&mut self, vm: &VmId, reply: Reply<bool>) {
        let Some(control) = self.documents.vms().get(vm).map(|vm| vm.control) else {
            send_reply(reply, false);
            return;
        };
        let message = self.message(vm);
        self.peers.call(
            control,
            move |client| async move { client.gossip(message).await },
            move |answer| send_reply(reply, answer.is_ok()),
        );
    }

    pub(crate) fn fetch_document(&mut self, from: &VmId, request: DocumentRequest, now: Instant) {
        let kind = request.kind;
        self.asked.retain(|(_, until)| now < *until);
        if self.asked.iter().any(|(asked, _)| *asked == kind) {
            return;
        }
        let Some(control) = self.documents.vms().get(from).map(|vm| vm.control) else { return };
        self.asked.push((kind, now + DOCUMENT_PATIENCE));
        let (send, from) = (self.send.clone(), from.clone());
        self.peers.call(
            control,
            move |client| async move { client.document(request).await },
            move |reply| {
                send(NodeEvent::Replied { from, kind, reply: reply.ok() });
            },
        );
    }
}

#[cfg(test)]
mod tests;
