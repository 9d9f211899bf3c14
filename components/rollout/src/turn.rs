//! Whose turn it is to switch to a new release, decided by each VM for itself.
//!
//! VMs switch in the order of the placement. A VM may switch when all before it, but for the last
//! `step - 1`, are ready on the new release or dead. As "ready on the new release" does not become
//! untrue by waiting, late news can delay a switch but never let more than `step` VMs switch at once.

use base::ReleaseId;

/// What is known of one VM of the rollout, in placement order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// The release that its endpoint serves.
    pub serving: Option<ReleaseId>,
    /// Whether it is thought dead.
    pub dead: bool,
}

/// The rule of the rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// VMs that switch first, one after the other; the others wait for all of them.
    pub canary: usize,
    /// VMs that may switch at a time.
    pub step: usize,
}

/// Whether the VM at position `me` may stop serving its old release to switch to `release`.
pub fn my_turn(turn: Turn, release: &ReleaseId, replicas: &[Replica], me: usize) -> bool {
    let settled = |r: &Replica| r.dead || r.serving.as_ref() == Some(release);
    let canary = turn.canary.min(replicas.len());
    if me < canary {
        return replicas[..me].iter().all(settled);
    }
    let canaries_ready = replicas[..canary].iter().all(settled)
        && replicas[..canary].iter().any(|r| r.serving.as_ref() == Some(release));
    let first = me.saturating_sub(turn.step.max(1) - 1);
    (canary == 0 || canaries_ready) && replicas[..first].iter().all(settled)
}

#[cfg(test)]
mod tests;
