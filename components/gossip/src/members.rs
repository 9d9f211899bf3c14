//! Members: heartbeats by gossip, suspicion before death, refutation by a higher beat.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

use base::{Incarnation, ReleaseId, Revision, VmId};
use manifest::VmList;
use proto::{Member, MemberState, Verdict};

/// Bounds of membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembersSettings {
    /// News items in one message, besides the sender and the receiver.
    pub max_updates: usize,
    /// Messages that carry one item.
    pub max_transmissions: u32,
    /// Time that a suspect has to refute.
    pub suspicion_timeout: Duration,
    /// Members up to which all learn what each one serves; in a larger fleet only the VMs of the
    /// same rollout pass that on.
    pub small_fleet_size: usize,
}

impl Default for MembersSettings {
    fn default() -> MembersSettings {
        let suspicion = Duration::from_secs(5);
        MembersSettings {
            max_updates: 5,
            max_transmissions: 12,
            suspicion_timeout: suspicion,
            small_fleet_size: 256,
        }
    }
}

/// What a process states of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalState {
    /// Whether it stops.
    pub state: MemberState,
    /// The release that its endpoint serves and takes work for.
    pub serving: Option<ReleaseId>,
    /// The release that the manifest wants of its rollout.
    pub wants: Option<ReleaseId>,
    /// Revision of the manifest under which this holds.
    pub manifest: Revision,
    /// How that release fared.
    pub verdict: Option<Verdict>,
}

impl LocalState {
    /// States no release.
    pub fn without_release(state: MemberState) -> LocalState {
        LocalState { state, serving: None, wants: None, manifest: Revision(0), verdict: None }
    }
}

/// Whom an item of news concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// All processes: a member came, went or is suspected.
    All,
    /// The VMs of the same rollout: what it serves.
    Rollout,
}

#[derive(Debug, Clone)]
struct TrackedMember {
    member: Member,
    /// When `member` was learned.
    updated_at: Instant,
    scope: Scope,
    /// Messages that still carry it.
    transmissions_left: u32,
    /// Whether it stands in the queue of news.
    queued: bool,
}

/// What this process knows of the others.
#[derive(Debug, Clone)]
pub struct Members {
    settings: MembersSettings,
    local: Member,
    tracked: HashMap<VmId, TrackedMember>,
    /// Members with news to pass on; each stands here at most once.
    update_queue: VecDeque<VmId>,
    /// Members that are suspected now.
    suspects: HashSet<VmId>,
    /// VMs of this process's own rollout.
    rollout_vms: HashSet<VmId>,
    /// Whether peers confirmed that no earlier run of this VM stated a higher incarnation.
    joined: bool,
    newer_process: bool,
    /// Whether something was learned that no message has carried yet.
    unsent_updates: bool,
}

impl Members {
    /// Knows only itself.
    pub fn new(me: VmId, incarnation: Incarnation, settings: MembersSettings) -> Members {
        let me = initial_member(me, incarnation);
        Members {
            settings,
            local: me,
            tracked: HashMap::new(),
            update_queue: VecDeque::new(),
            suspects: HashSet::new(),
            rollout_vms: HashSet::new(),
            joined: false,
            newer_process: false,
            unsent_updates: true,
        }
    }

    /// States a change of this process.
    pub fn publish_state(&mut self, stated: LocalState) {
        let LocalState { state, serving, wants, manifest, verdict } = stated;
        let me = Member { state, serving, wants, manifest, verdict, ..self.local.clone() };
        if me != self.local {
            self.local = Member { beat: me.beat + 1, ..me };
            self.unsent_updates = true;
        }
    }

    /// Whether this process said that it stops.
    pub fn is_leaving(&self) -> bool {
        self.local.state == MemberState::Leaving
    }

    /// Sets the VMs of this process's own rollout.
    pub fn set_rollout_vms(&mut self, group: impl IntoIterator<Item = VmId>) {
        self.rollout_vms = group.into_iter().collect();
    }

    /// VMs of this process's own rollout.
    pub fn rollout_vms(&self) -> &HashSet<VmId> {
        &self.rollout_vms
    }

    /// From now on a later run of this VM is a rival, and not an earlier one with a wrong clock.
    pub fn set_joined(&mut self) {
        self.joined = true;
    }

    /// Whether a later run of this VM is known.
    pub fn has_newer_process(&self) -> bool {
        self.newer_process
    }

    /// The run that this process states.
    pub fn incarnation(&self) -> Incarnation {
        self.local.incarnation
    }

    /// Whether something was learned that no message has carried yet.
    pub fn has_unsent_updates(&self) -> bool {
        self.unsent_updates
    }

    /// News for a message to `to`: this process first, then what is known of `to`, so that it can
    /// refute that, then what it may not have heard.
    pub fn updates_for(&mut self, to: &VmId) -> Vec<Member> {
        self.unsent_updates = false;
        let mut batch = vec![self.local.clone()];
        batch.extend(self.tracked.get(to).map(|known| known.member.clone()));
        let near = self.shares_rollout_updates(to);
        let room = batch.len() + self.settings.max_updates;
        for _ in 0..self.update_queue.len() {
            if batch.len() == room {
                break;
            }
            let Some(vm) = self.update_queue.pop_front() else { break };
            let Some(known) = self.tracked.get_mut(&vm) else { continue };
            if known.transmissions_left > 0 && (near || known.scope == Scope::All) {
                known.transmissions_left -= 1;
                if vm != *to {
                    batch.push(known.member.clone());
                }
            }
            known.queued = known.transmissions_left > 0;
            if known.queued {
                self.update_queue.push_back(vm);
            }
        }
        batch
    }

    fn shares_rollout_updates(&self, to: &VmId) -> bool {
        self.tracked.len() <= self.settings.small_fleet_size || self.rollout_vms.contains(to)
    }

    /// Takes in news from a peer.
    pub fn merge(&mut self, members: Vec<Member>, now: Instant) {
        for member in members {
            if member.vm == self.local.vm {
                self.merge_local(&member);
            } else if self.is_newer(&member) {
                self.update_member(member, now);
            }
        }
    }

    fn merge_local(&mut self, member: &Member) {
        if member.incarnation > self.local.incarnation {
            if self.joined {
                self.newer_process = true;
            } else {
                self.local.incarnation = member.incarnation.next();
            }
        } else if member.incarnation == self.local.incarnation
            && member.state != self.local.state
            && member.beat >= self.local.beat
        {
            self.local.beat = member.beat + 1;
            self.unsent_updates = true;
        }
    }

    fn is_newer(&self, member: &Member) -> bool {
        let order = |m: &Member| (m.incarnation, m.beat, m.state);
        self.tracked.get(&member.vm).is_none_or(|known| order(member) > order(&known.member))
    }

    fn update_member(&mut self, member: Member, now: Instant) {
        let vm = member.vm.clone();
        let scope = self.scope(&member);
        let near =
            self.tracked.len() <= self.settings.small_fleet_size || self.rollout_vms.contains(&vm);
        let passed_on = scope == Scope::All || near;
        if member.state == MemberState::Suspect {
            self.suspects.insert(vm.clone());
        } else {
            self.suspects.remove(&vm);
        }
        let queued = self.tracked.get(&vm).is_some_and(|known| known.queued);
        if passed_on && !queued {
            self.update_queue.push_front(vm.clone());
        }
        self.unsent_updates |= passed_on;
        let left = if passed_on { self.settings.max_transmissions } else { 0 };
        let known = TrackedMember {
            member,
            updated_at: now,
            scope,
            transmissions_left: left,
            queued: queued || passed_on,
        };
        self.tracked.insert(vm, known);
    }

    fn scope(&self, member: &Member) -> Scope {
        let Some(known) = self.tracked.get(&member.vm) else {
            // That a listed VM is alive is what all assume.
            let expected = member.state == MemberState::Alive;
            return if expected { Scope::Rollout } else { Scope::All };
        };
        let same_run = known.member.incarnation == member.incarnation;
        let same_state = known.member.state == member.state;
        let told = known.scope == Scope::Rollout || known.transmissions_left == 0;
        if same_run && same_state && told { Scope::Rollout } else { Scope::All }
    }

    /// A VM answered neither this process nor those that were asked to try.
    pub fn suspect(&mut self, vm: &VmId, now: Instant) {
        if *vm == self.local.vm {
            return;
        }
        let member = match self.tracked.get(vm) {
            Some(known) if known.member.state == MemberState::Alive => known.member.clone(),
            Some(_) => return,
            None => initial_member(vm.clone(), Incarnation(0)),
        };
        self.update_member(Member { state: MemberState::Suspect, ..member }, now);
    }

    /// Turns suspects that did not refute in time into dead ones.
    pub fn tick(&mut self, now: Instant) {
        let due = |vm: &&VmId| {
            let since = self.tracked.get(*vm).map(|known| known.updated_at);
            since.is_some_and(|since| now >= since + self.settings.suspicion_timeout)
        };
        let dead: Vec<VmId> = self.suspects.iter().filter(due).cloned().collect();
        for vm in dead {
            let Some(known) = self.tracked.get(&vm) else { continue };
            let member = Member { state: MemberState::Dead, ..known.member.clone() };
            self.update_member(member, now);
        }
    }

    /// Forgets VMs that a new list does not name.
    pub fn set_list(&mut self, vms: &VmList) {
        let listed: HashSet<&VmId> = vms.vms.iter().map(|v| &v.id).collect();
        self.tracked.retain(|vm, _| listed.contains(vm));
        self.suspects.retain(|vm| listed.contains(vm));
    }

    /// What is known of a VM.
    pub fn get(&self, vm: &VmId) -> Option<&Member> {
        if *vm == self.local.vm {
            return Some(&self.local);
        }
        self.tracked.get(vm).map(|k| &k.member)
    }

    /// Whether a VM is thought dead, or said that it stops.
    pub fn is_gone(&self, vm: &VmId) -> bool {
        let state = self.get(vm).map(|m| m.state);
        matches!(state, Some(MemberState::Dead | MemberState::Leaving))
    }
}

/// What a run states at first; with incarnation 0, what is assumed of a listed VM whose process was
/// never heard of, so that anything it says is newer.
fn initial_member(vm: VmId, incarnation: Incarnation) -> Member {
    let state = MemberState::Alive;
    let manifest = Revision(0);
    Member { vm, incarnation, state, beat: 1, serving: None, wants: None, manifest, verdict: None }
}

#[cfg(test)]
mod tests;
