//! The phase in which a process asks others before it acts: after its start, and after a pause.

use std::time::{Duration, Instant};

use base::{Revision, VmId};

/// Peers that are asked.
pub const JOIN_PEERS: usize = 5;
/// Replies that are enough.
const ENOUGH_REPLIES: usize = 3;
/// Longest time that the process waits for them.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Questions to peers that are on their way.
#[derive(Debug, Clone)]
pub struct Joining {
    deadline: Instant,
    /// Peers that have not replied.
    pending: Vec<VmId>,
    /// Peers that replied, each once.
    replied: Vec<VmId>,
    /// The highest revisions of manifest and VM list in the replies.
    newest: (Revision, Revision),
}

impl Joining {
    /// Begins with the peers `asked`; without any it ends at once.
    pub fn new(asked: Vec<VmId>, now: Instant) -> Joining {
        let newest = (Revision(0), Revision(0));
        Joining { deadline: now + JOIN_TIMEOUT, pending: asked, replied: Vec::new(), newest }
    }

    /// A peer replied, or could not be reached. Calls of others count too: any peer's word is good.
    pub fn record_reply(&mut self, from: &VmId, revisions: Option<(Revision, Revision)>) {
        self.pending.retain(|vm| vm != from);
        if let Some((manifest, vms)) = revisions {
            if !self.replied.contains(from) {
                self.replied.push(from.clone());
            }
            self.newest = (self.newest.0.max(manifest), self.newest.1.max(vms));
        }
    }

    /// Whether enough replied and the documents that they have are in force here, or the time is up.
    pub fn is_over(&self, manifest: Revision, vms: Revision, now: Instant) -> bool {
        let enough = self.replied.len() >= ENOUGH_REPLIES || self.pending.is_empty();
        let newest = manifest >= self.newest.0 && vms >= self.newest.1;
        (enough && newest) || now >= self.deadline
    }
}

#[cfg(test)]
mod tests;
