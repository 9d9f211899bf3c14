//! Members: heartbeats by gossip, suspicion before death, refutation by a higher beat.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use base::{Incarnation, ReleaseId, VmId};
use manifest::{VmList, VmState};
use proto::{Member, MemberState};

/// Bounds of membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembersSettings {
    /// News items in one message.
    pub batch: usize,
    /// Messages that carry one item.
    pub repeats: u32,
    /// Time that a suspect has to refute.
    pub suspicion: Duration,
}

impl Default for MembersSettings {
    fn default() -> MembersSettings {
        MembersSettings { batch: 24, repeats: 12, suspicion: Duration::from_secs(3) }
    }
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    since: Instant,
}

/// What this process knows of the others.
#[derive(Debug, Clone)]
pub struct Members {
    settings: MembersSettings,
    me: Member,
    known: BTreeMap<VmId, Known>,
    /// News to pass on with the number of messages that still carry it.
    news: VecDeque<(VmId, u32)>,
}

impl Members {
    /// Knows only itself.
    pub fn new(me: VmId, incarnation: Incarnation, settings: MembersSettings) -> Members {
        let state = MemberState::Alive;
        let me = Member { vm: me, incarnation, state, beat: 1, serving: None };
        Members { settings, me, known: BTreeMap::new(), news: VecDeque::new() }
    }

    /// States a change of this process.
    pub fn state(&mut self, state: MemberState, serving: Option<ReleaseId>) {
        if self.me.state == state && self.me.serving == serving {
            return;
        }
        self.me.state = state;
        self.me.serving = serving;
        self.me.beat += 1;
    }

    /// News for the next message; this process itself comes first.
    pub fn news(&mut self) -> Vec<Member> {
        let mut batch = vec![self.me.clone()];
        for _ in 0..self.news.len().min(self.settings.batch) {
            let Some((vm, left)) = self.news.pop_front() else { break };
            let Some(known) = self.known.get(&vm) else { continue };
            batch.push(known.member.clone());
            if left > 1 {
                self.news.push_back((vm, left - 1));
            }
        }
        batch
    }

    /// Takes in news from a peer.
    pub fn learn(&mut self, members: Vec<Member>, now: Instant) {
        for member in members {
            if member.vm == self.me.vm {
                self.refute(&member);
            } else if self.is_newer(&member) {
                self.set(member, now);
            }
        }
    }

    fn refute(&mut self, member: &Member) {
        let about_me = member.incarnation == self.me.incarnation;
        if about_me && member.state != self.me.state && member.beat >= self.me.beat {
            self.me.beat = member.beat + 1;
        }
    }

    fn is_newer(&self, member: &Member) -> bool {
        let order = |m: &Member| (m.incarnation, m.beat, m.state);
        self.known.get(&member.vm).is_none_or(|known| order(member) > order(&known.member))
    }

    fn set(&mut self, member: Member, now: Instant) {
        let vm = member.vm.clone();
        self.known.insert(vm.clone(), Known { member, since: now });
        self.news.retain(|(other, _)| *other != vm);
        self.news.push_front((vm, self.settings.repeats));
    }

    /// A call to a VM failed.
    pub fn missed(&mut self, vm: &VmId, now: Instant) {
        let Some(known) = self.known.get(vm) else { return };
        if known.member.state == MemberState::Alive {
            let member = Member { state: MemberState::Suspect, ..known.member.clone() };
            self.set(member, now);
        }
    }

    /// Turns suspects that did not refute in time into dead ones, and forgets VMs off the list.
    pub fn tick(&mut self, vms: &VmList, now: Instant) {
        let due = |k: &Known| {
            k.member.state == MemberState::Suspect && now >= k.since + self.settings.suspicion
        };
        let dead: Vec<Member> =
            self.known.values().filter(|k| due(k)).map(|k| k.member.clone()).collect();
        for member in dead {
            self.set(Member { state: MemberState::Dead, ..member }, now);
        }
        if !vms.vms.is_empty() {
            let listed: std::collections::HashSet<&VmId> = vms.vms.iter().map(|v| &v.id).collect();
            self.known.retain(|vm, _| listed.contains(vm));
        }
    }

    /// What is known of a VM.
    pub fn get(&self, vm: &VmId) -> Option<&Member> {
        if *vm == self.me.vm {
            return Some(&self.me);
        }
        self.known.get(vm).map(|k| &k.member)
    }

    /// Whether a VM is thought dead, or said that it stops.
    pub fn is_gone(&self, vm: &VmId) -> bool {
        let state = self.get(vm).map(|m| m.state);
        matches!(state, Some(MemberState::Dead | MemberState::Leaving))
    }

    /// The VM list less the VMs that are thought gone: those are marked as leaving.
    pub fn apply(&self, vms: &VmList) -> VmList {
        let mut vms = vms.clone();
        for vm in &mut vms.vms {
            if self.is_gone(&vm.id) {
                vm.state = VmState::Leaving;
            }
        }
        vms
    }
}

#[cfg(test)]
mod tests;
