//! The join phase: after its start and after a pause, a process asks peers for their document
//! revisions before it acts.

use std::time::{Duration, Instant};

use base::{Revision, VmId};

/// Number of peers that are asked.
pub const JOIN_PEERS: usize = 5;
/// Number of replies that are enough to end the phase.
const ENOUGH_REPLIES: usize = 3;
/// Maximum duration of the join phase.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Progress of the join phase.
#[derive(Debug, Clone)]
pub struct Joining {
    deadline: Instant,
    /// Peers that were asked and have neither replied nor failed.
    pending: Vec<VmId>,
    /// Distinct peers that replied.
    replied: Vec<VmId>,
    /// The highest revisions of the manifest and the VM list seen in replies.
    newest: (Revision, Revision),
}

impl Joining {
    /// Starts the join phase with the peers `asked`; it ends immediately if there are none.
    pub fn new(asked: Vec<VmId>, now: Instant) -> Joining {
        let newest = (Revision(0), Revision(0));
        Joining { deadline: now + JOIN_TIMEOUT, pending: asked, replied: Vec::new(), newest }
    }

    /// Records that a peer replied with its revisions of the manifest and the VM list, or (`None`)
    /// that it could not be reached. A reply of a peer that was not asked counts too.
    pub fn record_reply(&mut self, from: &VmId, revisions: Option<(Revision, Revision)>) {
        self.pending.retain(|vm| vm != from);
        if let Some((manifest, vms)) = revisions {
            if !self.replied.contains(from) {
                self.replied.push(from.clone());
            }
            self.newest = (self.newest.0.max(manifest), self.newest.1.max(vms));
        }
    }

    /// Whether enough peers replied and this process has documents at least as new as theirs, or
    /// the timeout has passed.
    pub fn is_over(&self, manifest: Revision, vms: Revision, now: Instant) -> bool {
        let enough = self.replied.len() >= ENOUGH_REPLIES || self.pending.is_empty();
        let newest = manifest >= self.newest.0 && vms >= self.newest.1;
        (enough && newest) || now >= self.deadline
    }
}

#[cfg(test)]
mod tests;
