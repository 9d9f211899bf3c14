//! Membership in the manner of SWIM: members spread updates by gossip, an unreachable member is
//! suspected before it is declared dead, and it refutes the suspicion by a higher beat.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

use base::{Incarnation, ReleaseId, Revision, VmId};
use manifest::VmList;
use proto::{Member, MemberState, Verdict};

/// Settings of the membership protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembersSettings {
    /// Maximum number of updates in one message, besides those on the sender and the receiver.
    pub max_updates: usize,
    /// Number of messages that carry an update.
    pub max_transmissions: u32,
    /// How long a suspect may refute before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Number of members up to which everyone learns what each member serves. In a larger fleet,
    /// only VMs of the same rollout pass that on.
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

/// What a process publishes about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalState {
    /// Whether the process is running or stopping.
    pub state: MemberState,
    /// The release that its endpoint serves and accepts requests for.
    pub serving: Option<ReleaseId>,
    /// The target release of its rollout according to the manifest.
    pub wants: Option<ReleaseId>,
    /// Revision of the manifest that the other fields refer to.
    pub manifest: Revision,
    /// Result of the trial of a release on this endpoint.
    pub verdict: Option<Verdict>,
}

impl LocalState {
    /// Returns a state without any release.
    pub fn without_release(state: MemberState) -> LocalState {
        LocalState { state, serving: None, wants: None, manifest: Revision(0), verdict: None }
    }
}

/// Which members an update is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// All processes: a member joined, left, died, restarted or is suspected.
    All,
    /// VMs of the same rollout: a change of what the member serves.
    Rollout,
}

#[derive(Debug, Clone)]
struct TrackedMember {
    member: Member,
    /// When `member` was last updated.
    updated_at: Instant,
    scope: Scope,
    /// Number of messages that the update is still to be sent in.
    transmissions_left: u32,
    /// Whether it is in the update queue.
    queued: bool,
}

/// The members that this process knows.
#[derive(Debug, Clone)]
pub struct Members {
    settings: MembersSettings,
    local: Member,
    tracked: HashMap<VmId, TrackedMember>,
    /// Members with updates to pass on, without duplicates.
    update_queue: VecDeque<VmId>,
    /// Members that are currently suspected.
    suspects: HashSet<VmId>,
    /// VMs of the rollout that this process serves.
    rollout_vms: HashSet<VmId>,
    /// Whether peers confirmed that no earlier process of this VM used a higher incarnation.
    joined: bool,
    newer_process: bool,
    /// Whether there are updates that no message has carried yet.
    unsent_updates: bool,
}

impl Members {
    /// Creates a membership that contains only the local member.
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

    /// Updates the local member, with a higher beat if anything changed.
    pub fn publish_state(&mut self, stated: LocalState) {
        let LocalState { state, serving, wants, manifest, verdict } = stated;
        let me = Member { state, serving, wants, manifest, verdict, ..self.local.clone() };
        if me != self.local {
            self.local = Member { beat: me.beat + 1, ..me };
            self.unsent_updates = true;
        }
    }

    /// Whether this process has announced that it is stopping.
    pub fn is_leaving(&self) -> bool {
        self.local.state == MemberState::Leaving
    }

    /// Sets the VMs of the rollout that this process serves.
    pub fn set_rollout_vms(&mut self, group: impl IntoIterator<Item = VmId>) {
        self.rollout_vms = group.into_iter().collect();
    }

    /// Returns the VMs of the rollout that this process serves.
    pub fn rollout_vms(&self) -> &HashSet<VmId> {
        &self.rollout_vms
    }

    /// Marks the join phase as over. From now on a higher incarnation of this VM belongs to a newer
    /// process, and not to an earlier one whose clock was ahead.
    pub fn set_joined(&mut self) {
        self.joined = true;
    }

    /// Whether a newer process of this VM is known.
    pub fn has_newer_process(&self) -> bool {
        self.newer_process
    }

    /// Returns the incarnation that this process publishes.
    pub fn incarnation(&self) -> Incarnation {
        self.local.incarnation
    }

    /// Whether there are updates that no message has carried yet.
    pub fn has_unsent_updates(&self) -> bool {
        self.unsent_updates
    }

    /// Returns the updates for a message to `to`: first the local member, then what is known of
    /// `to`, so that it can refute a suspicion, then queued updates.
    pub fn updates_for(&mut self, to: &VmId) -> Vec<Member> {
        self.unsent_updates = false;
        let mut batch = vec![self.local.clone()];
        batch.extend(self.tracked.get(to).map(|tracked| tracked.member.clone()));
        let shares_rollout = self.shares_rollout_updates(to);
        let max_len = batch.len() + self.settings.max_updates;
        for _ in 0..self.update_queue.len() {
            if batch.len() == max_len {
                break;
            }
            let Some(vm) = self.update_queue.pop_front() else { break };
            let Some(tracked) = self.tracked.get_mut(&vm) else { continue };
            if tracked.transmissions_left > 0 && (shares_rollout || tracked.scope == Scope::All) {
                tracked.transmissions_left -= 1;
                if vm != *to {
                    batch.push(tracked.member.clone());
                }
            }
            tracked.queued = tracked.transmissions_left > 0;
            if tracked.queued {
                self.update_queue.push_back(vm);
            }
        }
        batch
    }

    /// Whether updates with the scope `Rollout` are sent to `to`.
    fn shares_rollout_updates(&self, to: &VmId) -> bool {
        self.tracked.len() <= self.settings.small_fleet_size || self.rollout_vms.contains(to)
    }

    /// Merges updates from a peer.
    pub fn merge(&mut self, members: Vec<Member>, now: Instant) {
        for member in members {
            if member.vm == self.local.vm {
                self.merge_local(&member);
            } else if self.is_newer(&member) {
                self.update_member(member, now);
            }
        }
    }

    /// Handles an update about this VM: a higher incarnation belongs to a newer process, or before
    /// the join phase ends to an earlier one, so that this process takes a higher one. A wrong
    /// state is refuted by a higher beat.
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
        self.tracked.get(&member.vm).is_none_or(|tracked| order(member) > order(&tracked.member))
    }

    fn update_member(&mut self, member: Member, now: Instant) {
        let vm = member.vm.clone();
        let scope = self.scope(&member);
        let shares_rollout =
            self.tracked.len() <= self.settings.small_fleet_size || self.rollout_vms.contains(&vm);
        let is_forwarded = scope == Scope::All || shares_rollout;
        if member.state == MemberState::Suspect {
            self.suspects.insert(vm.clone());
        } else {
            self.suspects.remove(&vm);
        }
        let queued = self.tracked.get(&vm).is_some_and(|tracked| tracked.queued);
        if is_forwarded && !queued {
            self.update_queue.push_front(vm.clone());
        }
        self.unsent_updates |= is_forwarded;
        let left = if is_forwarded { self.settings.max_transmissions } else { 0 };
        let tracked = TrackedMember {
            member,
            updated_at: now,
            scope,
            transmissions_left: left,
            queued: queued || is_forwarded,
        };
        self.tracked.insert(vm, tracked);
    }

    fn scope(&self, member: &Member) -> Scope {
        let Some(tracked) = self.tracked.get(&member.vm) else {
            // Everyone assumes that a listed VM is alive.
            let expected = member.state == MemberState::Alive;
            return if expected { Scope::Rollout } else { Scope::All };
        };
        let same_incarnation = tracked.member.incarnation == member.incarnation;
        let same_state = tracked.member.state == member.state;
        let already_sent = tracked.scope == Scope::Rollout || tracked.transmissions_left == 0;
        if same_incarnation && same_state && already_sent { Scope::Rollout } else { Scope::All }
    }

    /// Marks a VM as suspect, because it answered neither this process nor the peers that probed
    /// it.
    pub fn suspect(&mut self, vm: &VmId, now: Instant) {
        if *vm == self.local.vm {
            return;
        }
        let member = match self.tracked.get(vm) {
            Some(tracked) if tracked.member.state == MemberState::Alive => tracked.member.clone(),
            Some(_) => return,
            None => initial_member(vm.clone(), Incarnation(0)),
        };
        self.update_member(Member { state: MemberState::Suspect, ..member }, now);
    }

    /// Declares suspects dead that did not refute the suspicion in time.
    pub fn tick(&mut self, now: Instant) {
        let due = |vm: &&VmId| {
            let since = self.tracked.get(*vm).map(|tracked| tracked.updated_at);
            since.is_some_and(|since| now >= since + self.settings.suspicion_timeout)
        };
        let dead: Vec<VmId> = self.suspects.iter().filter(due).cloned().collect();
        for vm in dead {
            let Some(tracked) = self.tracked.get(&vm) else { continue };
            let member = Member { state: MemberState::Dead, ..tracked.member.clone() };
            self.update_member(member, now);
        }
    }

    /// Removes members that a new VM list no longer contains.
    pub fn set_list(&mut self, vms: &VmList) {
        let listed: HashSet<&VmId> = vms.vms.iter().map(|v| &v.id).collect();
        self.tracked.retain(|vm, _| listed.contains(vm));
        self.suspects.retain(|vm| listed.contains(vm));
    }

    /// Returns what is known of a VM.
    pub fn get(&self, vm: &VmId) -> Option<&Member> {
        if *vm == self.local.vm {
            return Some(&self.local);
        }
        self.tracked.get(vm).map(|k| &k.member)
    }

    /// Whether a VM is considered dead or announced that it is stopping.
    pub fn is_gone(&self, vm: &VmId) -> bool {
        let state = self.get(vm).map(|m| m.state);
        matches!(state, Some(MemberState::Dead | MemberState::Leaving))
    }
}

/// The initial state of a member. With incarnation 0 it is the assumed state of a listed VM from
/// which no update has arrived, so that any update of its own is newer.
fn initial_member(vm: VmId, incarnation: Incarnation) -> Member {
    let state = MemberState::Alive;
    let manifest = Revision(0);
    Member { vm, incarnation, state, beat: 1, serving: None, wants: None, manifest, verdict: None }
}

#[cfg(test)]
mod tests;
