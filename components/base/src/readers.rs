//! Selects the processes of an availability zone that read from the platform; the others learn from
//! them.

use std::fmt::Display;

use crate::{Zone, rank::rendezvous_order};

/// The members of a zone in order of preference as readers. Processes that know the same members
/// compute the same order.
#[derive(Debug, Clone)]
pub struct Readers<M> {
    ranking: Vec<M>,
    /// Number of readers.
    count: usize,
}

impl<M: Clone + Display + PartialEq> Readers<M> {
    /// Orders the members of `zone`, of which `count` are to read.
    pub fn new(zone: &Zone, members: impl IntoIterator<Item = M>, count: usize) -> Readers<M> {
        let named: Vec<(String, M)> = members.into_iter().map(|m| (m.to_string(), m)).collect();
        let ranking = rendezvous_order(zone.as_str().as_bytes(), &named, |(name, _)| name);
        Readers { ranking: ranking.into_iter().map(|(_, member)| member.clone()).collect(), count }
    }

    /// The readers: the first members that are not gone.
    pub fn current<'a>(&'a self, gone: impl Fn(&M) -> bool + 'a) -> impl Iterator<Item = &'a M> {
        self.ranking.iter().filter(move |member| !gone(member)).take(self.count)
    }

    /// Whether `me` reads: it is one of the readers, or it is not in the list.
    pub fn is_reader(&self, me: &M, gone: impl Fn(&M) -> bool) -> bool {
        self.current(gone).any(|member| member == me) || !self.ranking.contains(me)
    }
}
