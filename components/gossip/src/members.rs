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
    pub batch: usize,
    /// Messages that carry one item.
    pub repeats: u32,
    /// Time that a suspect has to refute.
    pub suspicion: Duration,
    /// Members up to which all learn what each one serves; in a larger fleet only the VMs of the
    /// same rollout pass that on.
    pub small_fleet: usize,
}

impl Default for MembersSettings {
    fn default() -> MembersSettings {
        let suspicion = Duration::from_secs(5);
        MembersSettings { batch: 5, repeats: 12, suspicion, small_fleet: 256 }
    }
}

/// What a process states of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stated {
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

impl Stated {
    /// States no release.
    pub fn only(state: MemberState) -> Stated {
        Stated { state, serving: None, wants: None, manifest: Revision(0), verdict: None }
    }
}

/// Whom an item of news concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// All processes: a member came, went or is suspected.
    All,
    /// The VMs of the same rollout: what it serves.
    Group,
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    /// When `member` was learned.
    since: Instant,
    scope: Scope,
    /// Messages that still carry it.
    left: u32,
    /// Whether it stands in the queue of news.
    queued: bool,
}

/// What this process knows of the others.
#[derive(Debug, Clone)]
pub struct Members {
    settings: MembersSettings,
    me: Member,
    known: HashMap<VmId, Known>,
    /// Members with news to pass on; each stands here at most once.
    news: VecDeque<VmId>,
    /// Members that are suspected now.
    suspects: HashSet<VmId>,
    /// VMs of this process's own rollout.
    group: HashSet<VmId>,
    /// Whether peers confirmed that no earlier run of this VM stated a higher incarnation.
    joined: bool,
    rival: bool,
    /// Whether something was learned that no message has carried yet.
    fresh: bool,
}

impl Members {
    /// Knows only itself.
    pub fn new(me: VmId, incarnation: Incarnation, settings: MembersSettings) -> Members {
        let me = first_member(me, incarnation);
        Members {
            settings,
            me,
            known: HashMap::new(),
            news: VecDeque::new(),
            suspects: HashSet::new(),
            group: HashSet::new(),
            joined: false,
            rival: false,
            fresh: true,
        }
    }

    /// States a change of this process.
    pub fn state(&mut self, stated: Stated) {
        let Stated { state, serving, wants, manifest, verdict } = stated;
        let me = Member { state, serving, wants, manifest, verdict, ..self.me.clone() };
        if me != self.me {
            self.me = Member { beat: me.beat + 1, ..me };
            self.fresh = true;
        }
    }

    /// Whether this process said that it stops.
    pub fn is_leaving(&self) -> bool {
        self.me.state == MemberState::Leaving
    }

    /// Sets the VMs of this process's own rollout.
    pub fn set_group(&mut self, group: impl IntoIterator<Item = VmId>) {
        self.group = group.into_iter().collect();
    }

    /// VMs of this process's own rollout.
    pub fn group(&self) -> &HashSet<VmId> {
        &self.group
    }

    /// From now on a later run of this VM is a rival, and not an earlier one with a wrong clock.
    pub fn set_joined(&mut self) {
        self.joined = true;
    }

    /// Whether a later run of this VM is known.
    pub fn has_rival(&self) -> bool {
        self.rival
    }

    /// The run that this process states.
    pub fn incarnation(&self) -> Incarnation {
        self.me.incarnation
    }

    /// Whether something was learned that no message has carried yet.
    pub fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// News for a message to `to`: this process first, then what is known of `to`, so that it can
    /// refute that, then what it may not have heard.
    pub fn news(&mut self, to: &VmId) -> Vec<Member> {
        self.fresh = false;
        let mut batch = vec![self.me.clone()];
        batch.extend(self.known.get(to).map(|known| known.member.clone()));
        let near = self.is_near(to);
        let room = batch.len() + self.settings.batch;
        for _ in 0..self.news.len() {
            if batch.len() == room {
                break;
            }
            let Some(vm) = self.news.pop_front() else { break };
            let Some(known) = self.known.get_mut(&vm) else { continue };
            if known.left > 0 && (near || known.scope == Scope::All) {
                known.left -= 1;
                if vm != *to {
                    batch.push(known.member.clone());
                }
            }
            known.queued = known.left > 0;
            if known.queued {
                self.news.push_back(vm);
            }
        }
        batch
    }

    fn is_near(&self, to: &VmId) -> bool {
        self.known.len() <= self.settings.small_fleet || self.group.contains(to)
    }

    /// Takes in news from a peer.
    pub fn learn(&mut self, members: Vec<Member>, now: Instant) {
        for member in members {
            if member.vm == self.me.vm {
                self.hear_of_me(&member);
            } else if self.is_newer(&member) {
                self.set(member, now);
            }
        }
    }

    fn hear_of_me(&mut self, member: &Member) {
        if member.incarnation > self.me.incarnation {
            if self.joined {
                self.rival = true;
            } else {
                self.me.incarnation = member.incarnation.next();
            }
        } else if member.incarnation == self.me.incarnation
            && member.state != self.me.state
            && member.beat >= self.me.beat
        {
            self.me.beat = member.beat + 1;
            self.fresh = true;
        }
    }

    fn is_newer(&self, member: &Member) -> bool {
        let order = |m: &Member| (m.incarnation, m.beat, m.state);
        self.known.get(&member.vm).is_none_or(|known| order(member) > order(&known.member))
    }

    fn set(&mut self, member: Member, now: Instant) {
        let vm = member.vm.clone();
        let scope = self.scope(&member);
        let near = self.known.len() <= self.settings.small_fleet || self.group.contains(&vm);
        let passed_on = scope == Scope::All || near;
        if member.state == MemberState::Suspect {
            self.suspects.insert(vm.clone());
        } else {
            self.suspects.remove(&vm);
        }
        let queued = self.known.get(&vm).is_some_and(|known| known.queued);
        if passed_on && !queued {
            self.news.push_front(vm.clone());
        }
        self.fresh |= passed_on;
        let left = if passed_on { self.settings.repeats } else { 0 };
        let known = Known { member, since: now, scope, left, queued: queued || passed_on };
        self.known.insert(vm, known);
    }

    fn scope(&self, member: &Member) -> Scope {
        let Some(known) = self.known.get(&member.vm) else {
            // That a listed VM is alive is what all assume.
            let expected = member.state == MemberState::Alive;
            return if expected { Scope::Group } else { Scope::All };
        };
        let same_run = known.member.incarnation == member.incarnation;
        let same_state = known.member.state == member.state;
        let told = known.scope == Scope::Group || known.left == 0;
        if same_run && same_state && told { Scope::Group } else { Scope::All }
    }

    /// A VM answered neither this process nor those that were asked to try.
    pub fn missed(&mut self, vm: &VmId, now: Instant) {
        if *vm == self.me.vm {
            return;
        }
        let member = match self.known.get(vm) {
            Some(known) if known.member.state == MemberState::Alive => known.member.clone(),
            Some(_) => return,
            None => first_member(vm.clone(), Incarnation(0)),
        };
        self.set(Member { state: MemberState::Suspect, ..member }, now);
    }

    /// Turns suspects that did not refute in time into dead ones.
    pub fn tick(&mut self, now: Instant) {
        let due = |vm: &&VmId| {
            let since = self.known.get(*vm).map(|known| known.since);
            since.is_some_and(|since| now >= since + self.settings.suspicion)
        };
        let dead: Vec<VmId> = self.suspects.iter().filter(due).cloned().collect();
        for vm in dead {
            let Some(known) = self.known.get(&vm) else { continue };
            let member = Member { state: MemberState::Dead, ..known.member.clone() };
            self.set(member, now);
        }
    }

    /// Forgets VMs that a new list does not name.
    pub fn set_list(&mut self, vms: &VmList) {
        let listed: HashSet<&VmId> = vms.vms.iter().map(|v| &v.id).collect();
        self.known.retain(|vm, _| listed.contains(vm));
        self.suspects.retain(|vm| listed.contains(vm));
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
}

/// What a run states at first; with incarnation 0, what is assumed of a listed VM whose process was
/// never heard of, so that anything it says is newer.
fn first_member(vm: VmId, incarnation: Incarnation) -> Member {
    let state = MemberState::Alive;
    let manifest = Revision(0);
    Member { vm, incarnation, state, beat: 1, serving: None, wants: None, manifest, verdict: None }
}

#[cfg(test)]
mod tests;
