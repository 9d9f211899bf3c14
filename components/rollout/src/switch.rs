//! Decides when a VM may switch to a new release. Each VM decides for itself.
//!
//! VMs switch in placement order. A VM counts the replicas that will not stop serving: those before
//! it that have finished the switch, and those after it that serve any release. Only replicas with
//! the same target release count, as a replica that targets an older one may switch to that. Only
//! states reported under a manifest at least as new as this VM's count, as a release can be
//! targeted, replaced and targeted again. A VM may switch if the count is at least the floor.
//!
//! Among VMs that switch at the same time, the last one in placement order counted none of the
//! others. So the floor holds although VMs know only stale states of each other: a finished replica
//! stays finished, and a stale state can only delay a switch.

use std::collections::BTreeMap;

use base::{ReleaseId, Revision};
use proto::{TrialOutcome, Verdict};

/// The known state of one replica of the rollout, in placement order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Replica {
    /// The release that its endpoint serves and accepts requests for.
    pub serving: Option<ReleaseId>,
    /// The release that it is switching to or already serves.
    pub target: Option<ReleaseId>,
    /// Revision of the manifest under which it reported this state.
    pub manifest_revision: Revision,
    /// Whether it is considered dead or is shutting down.
    pub unavailable: bool,
    /// Whether its last release passed or failed there.
    pub verdict: Option<Verdict>,
}

/// Limits on how a rollout proceeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwitchPolicy {
    /// Number of VMs that switch first; the others wait for their verdicts.
    pub canary: usize,
    /// Minimum number of ready replicas during a switch; capped at all but one.
    pub floor: usize,
}

impl Replica {
    fn trial_outcome(&self, release: &ReleaseId) -> Option<TrialOutcome> {
        self.verdict.as_ref().filter(|v| v.release == *release).map(|v| v.outcome)
    }

    fn has_finished(&self, release: &ReleaseId) -> bool {
        let failed = self.trial_outcome(release) == Some(TrialOutcome::Failed);
        failed || self.serving.as_ref() == Some(release)
    }

    fn serves_other(&self, release: &ReleaseId) -> bool {
        !self.unavailable && self.serving.as_ref().is_some_and(|serving| serving != release)
    }
}

/// Whether the VM at position `own_index` may stop serving its old release to switch to `release`.
pub fn may_switch(
    policy: SwitchPolicy,
    release: &ReleaseId,
    replicas: &[Replica],
    own_index: usize,
) -> bool {
    if is_halted(policy.canary, release, replicas) {
        return false;
    }
    if !replicas.iter().any(|r| r.serves_other(release)) {
        return true;
    }
    let canaries = canaries(policy.canary, replicas);
    let is_follower = policy.canary > 0 && !canaries.contains(&own_index);
    if is_follower && !canaries_passed(&canaries, release, replicas) {
        return false;
    }
    replicas[own_index].serving.is_none() || keeps_floor(policy.floor, release, replicas, own_index)
}

/// Whether enough replicas stay ready while the VM at `own_index` switches.
fn keeps_floor(floor: usize, release: &ReleaseId, replicas: &[Replica], own_index: usize) -> bool {
    let stays_ready = |(i, r): &(usize, &Replica)| {
        let serves = !r.unavailable && r.serving.is_some() && r.target.as_ref() == Some(release);
        let is_recent = r.manifest_revision >= replicas[own_index].manifest_revision;
        *i != own_index && serves && is_recent && (*i > own_index || r.has_finished(release))
    };
    let ready = replicas.iter().enumerate().filter(stays_ready).count();
    ready >= floor.min(replicas.len() - 1)
}

/// Positions of the VMs that switch first: the first `count` available ones. At most twice `count`
/// positions are considered, so that a release that crashes its VMs cannot take them down one after
/// the other.
fn canaries(count: usize, replicas: &[Replica]) -> Vec<usize> {
    let window = replicas.iter().take(2 * count).enumerate();
    window.filter(|(_, r)| !r.unavailable).map(|(i, _)| i).take(count).collect()
}

fn canaries_passed(canaries: &[usize], release: &ReleaseId, replicas: &[Replica]) -> bool {
    let outcomes = || canaries.iter().map(|&i| replicas[i].trial_outcome(release));
    outcomes().all(|o| o.is_some()) && outcomes().any(|o| o == Some(TrialOutcome::Passed))
}

/// Whether the rollout of `release` is halted: it failed on most canaries, and on more VMs than it
/// passed on. Without canaries, the first failure halts it. If no replica serves another release,
/// no capacity can be lost, and VMs keep retrying.
pub fn is_halted(canary: usize, release: &ReleaseId, replicas: &[Replica]) -> bool {
    if !replicas.iter().any(|r| r.serves_other(release)) {
        return false;
    }
    let count =
        |outcome| replicas.iter().filter(|r| r.trial_outcome(release) == Some(outcome)).count();
    let (failed, passed) = (count(TrialOutcome::Failed), count(TrialOutcome::Passed));
    2 * failed > canary.min(replicas.len()) && failed > passed
}

/// The release to roll back to from `release`: the one that most other replicas serve.
pub fn fallback_release(release: &ReleaseId, replicas: &[Replica]) -> Option<ReleaseId> {
    let mut served: BTreeMap<&ReleaseId, usize> = BTreeMap::new();
    for replica in replicas.iter().filter(|r| r.serves_other(release)) {
        *served.entry(replica.serving.as_ref()?).or_default() += 1;
    }
    served.into_iter().max_by_key(|(_, count)| *count).map(|(release, _)| release.clone())
}

#[cfg(test)]
mod tests;
