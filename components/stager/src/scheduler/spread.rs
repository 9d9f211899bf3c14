//! How a piece that is new in a zone spreads there.
//!
//! If all members asked its only holder at once, its link would carry a copy for each of them, while
//! the links of those that have just got one are idle. So few members fetch it from each holder, in
//! the order of addresses after its owner, which is the order in which members tell each other what
//! they hold.

use super::{FetchScheduler, Neighbour, owner_index, round::Round};

impl FetchScheduler {
    /// Records which pieces a neighbour is the first to report.
    pub(super) fn record_first_reports(&mut self, neighbour: &Neighbour) {
        for (piece, first) in (0..).zip(&mut self.first_reported) {
            if first.is_none() && neighbour.pieces.contains(piece) {
                *first = Some(neighbour.reported_at);
            }
        }
    }

    /// Whether other members of the zone are to fetch a piece from its holders before this one.
    pub(super) fn leaves_to_others(&self, piece: u32, round: &Round) -> bool {
        let holders = round.holders(piece).len();
        let Some(first) = self.first_reported[piece as usize].filter(|_| holders > 0) else {
            return false;
        };
        let waited = round.now.saturating_duration_since(first);
        waited < self.settings.spread_delay
            && self.places_after_owner(piece, round) > holders * self.settings.spread_factor
    }

    /// Number of places in the order of addresses from the owner of a piece to this member.
    pub(super) fn places_after_owner(&self, piece: u32, round: &Round) -> usize {
        let count = self.zone_members.len();
        let owner = owner_index(count, self.settings.max_owners, piece);
        (round.own_index() + count - owner) % count.max(1)
    }
}
