//! Whose turn it is to switch to a new release, decided by each VM for itself.
//!
//! VMs switch in the order of the placement. A VM counts as ready the others that will not stop
//! serving: those before it that are through with the new release, and those after it that serve
//! anything. Only VMs that want the same release count, as one that wants an older one may switch to
//! that, and only what they stated under a manifest at least as new as this VM's, as a release can be
//! wanted, replaced and wanted again. It may switch if these are at least the floor. Of all VMs that switch at a time, the
//! last one in the order counted none of the others, so the floor holds though each knows only old
//! news: a VM that is through stays so, and late news only delays a switch.

use std::collections::BTreeMap;

use base::{ReleaseId, Revision};
use proto::{Trialled, Verdict};

/// What is known of one VM of the rollout, in placement order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Replica {
    /// The release that its endpoint serves and takes work for.
    pub serving: Option<ReleaseId>,
    /// The release that it switches to, or serves already.
    pub target: Option<ReleaseId>,
    /// Revision of the manifest under which it stated this.
    pub manifest_revision: Revision,
    /// Whether it is thought dead, or stops.
    pub unavailable: bool,
    /// How its last release fared there.
    pub verdict: Option<Verdict>,
}

/// The rule of the rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwitchPolicy {
    /// VMs that switch first; the others wait for their verdicts.
    pub canary: usize,
    /// Ready replicas that a switch leaves, at most all but one.
    pub floor: usize,
}

impl Replica {
    fn outcome(&self, release: &ReleaseId) -> Option<Trialled> {
        self.verdict.as_ref().filter(|v| v.release == *release).map(|v| v.outcome)
    }

    fn is_through(&self, release: &ReleaseId) -> bool {
        let failed = self.outcome(release) == Some(Trialled::Failed);
        failed || self.serving.as_ref() == Some(release)
    }

    fn serves_other(&self, release: &ReleaseId) -> bool {
        !self.unavailable && self.serving.as_ref().is_some_and(|serving| serving != release)
    }
}

/// Whether the VM at position `me` may stop serving its old release to switch to `release`.
pub fn may_switch(
    turn: SwitchPolicy,
    release: &ReleaseId,
    replicas: &[Replica],
    me: usize,
) -> bool {
    if is_halted(turn.canary, release, replicas) {
        return false;
    }
    if !replicas.iter().any(|r| r.serves_other(release)) {
        return true;
    }
    let canaries = canaries(turn.canary, replicas);
    let wait = turn.canary > 0 && !canaries.contains(&me);
    if wait && !canaries_passed(&canaries, release, replicas) {
        return false;
    }
    replicas[me].serving.is_none() || floor_holds(turn.floor, release, replicas, me)
}

/// Whether the switch of `me` leaves enough ready replicas.
fn floor_holds(floor: usize, release: &ReleaseId, replicas: &[Replica], me: usize) -> bool {
    let stays = |(i, r): &(usize, &Replica)| {
        let serves = !r.unavailable && r.serving.is_some() && r.target.as_ref() == Some(release);
        let recent = r.manifest_revision >= replicas[me].manifest_revision;
        *i != me && serves && recent && (*i > me || r.is_through(release))
    };
    let ready = replicas.iter().enumerate().filter(stays).count();
    ready >= floor.min(replicas.len() - 1)
}

/// Positions of the VMs that switch first: the first `count` that are not dead. No more than twice
/// `count` positions are looked at, so that a release which kills its VMs cannot take one after the
/// other.
fn canaries(count: usize, replicas: &[Replica]) -> Vec<usize> {
    let window = replicas.iter().take(2 * count).enumerate();
    window.filter(|(_, r)| !r.unavailable).map(|(i, _)| i).take(count).collect()
}

fn canaries_passed(canaries: &[usize], release: &ReleaseId, replicas: &[Replica]) -> bool {
    let outcomes = || canaries.iter().map(|&i| replicas[i].outcome(release));
    outcomes().all(|o| o.is_some()) && outcomes().any(|o| o == Some(Trialled::Passed))
}

/// Whether `release` is given up: it failed on most canaries, and on more VMs than it passed on.
/// Without canaries the first failure counts. Where nothing else serves there is nothing to spare,
/// and VMs go on trying.
pub fn is_halted(canary: usize, release: &ReleaseId, replicas: &[Replica]) -> bool {
    if !replicas.iter().any(|r| r.serves_other(release)) {
        return false;
    }
    let count = |outcome| replicas.iter().filter(|r| r.outcome(release) == Some(outcome)).count();
    let (failed, passed) = (count(Trialled::Failed), count(Trialled::Passed));
    2 * failed > canary.min(replicas.len()) && failed > passed
}

/// The release to go back to from `release`: the one that most of the others serve.
pub fn fallback_release(release: &ReleaseId, replicas: &[Replica]) -> Option<ReleaseId> {
    let mut served: BTreeMap<&ReleaseId, usize> = BTreeMap::new();
    for replica in replicas.iter().filter(|r| r.serves_other(release)) {
        *served.entry(replica.serving.as_ref()?).or_default() += 1;
    }
    served.into_iter().max_by_key(|(_, count)| *count).map(|(release, _)| release.clone())
}

#[cfg(test)]
mod tests;
