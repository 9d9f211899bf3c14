//! Distribution trees: each chunk has its own tree over the VMs of a rollout, and every VM passes on
//! about as many bytes as it takes in.

use base::{Digest, VmId, ranked};

/// Children of each VM in a tree.
pub const FAN_OUT: usize = 2;

/// The trees of one chunk list over a set of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tree {
    /// All VMs in the same order in every process that knows the same set.
    order: Vec<VmId>,
    /// Position of this VM in `order`; `None` if it is not a member.
    me: Option<usize>,
}

impl Tree {
    /// The trees for `list` over `members` as `me` sees them.
    pub fn new(list: &Digest, members: &[VmId], me: &VmId) -> Tree {
        let order: Vec<VmId> =
            ranked(&list.0, members, VmId::as_str).into_iter().cloned().collect();
        let me = order.iter().position(|vm| vm == me);
        Tree { order, me }
    }

    /// Position of this VM in the tree of `chunk`; the root has 0.
    pub fn depth_order(&self, chunk: u32) -> Option<usize> {
        let n = self.order.len();
        self.me.map(|me| (me + n - self.shift(chunk)) % n)
    }

    /// The VMs above this one in the tree of `chunk`, nearest first.
    pub fn ancestors(&self, chunk: u32) -> Vec<&VmId> {
        let mut above = Vec::new();
        let mut at = self.depth_order(chunk).unwrap_or(0);
        while at > 0 {
            at = (at - 1) / FAN_OUT;
            above.push(self.member(chunk, at));
        }
        above
    }

    /// The VMs directly below this one in the tree of `chunk`.
    pub fn children(&self, chunk: u32) -> Vec<&VmId> {
        let Some(at) = self.depth_order(chunk) else { return Vec::new() };
        let first = at * FAN_OUT + 1;
        let last = (first + FAN_OUT).min(self.order.len());
        (first..last).map(|i| self.member(chunk, i)).collect()
    }

    fn member(&self, chunk: u32, at: usize) -> &VmId {
        &self.order[(at + self.shift(chunk)) % self.order.len()]
    }

    /// Rotates the order, so that the roots and inner positions fall on all VMs in turn.
    fn shift(&self, chunk: u32) -> usize {
        chunk as usize % self.order.len()
    }
}

#[cfg(test)]
mod tests;
