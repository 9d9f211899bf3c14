//! What one round of scheduling needs to know, gathered once, as each piece and each source is looked
//! up many times.

use std::{
    collections::{HashMap, HashSet},
    net::Ipv4Addr,
    time::Instant,
};

use super::{FetchScheduler, LAG_RATIO, MIN_ZONE_FRACTION_FOR_LAG, Source, owner_index};

/// State of the zone and of the fetches in flight at the start of a round.
pub(super) struct Round {
    pub(super) now: Instant,
    /// Place of this member in the order of the zone's members.
    own_index: usize,
    /// The neighbours that recently reported to hold a piece, by the index of the piece.
    holders: Vec<Vec<Ipv4Addr>>,
    /// Owners that have brought a much smaller part of their pieces into the zone than the others.
    lagging: HashSet<Ipv4Addr>,
    /// Number of fetches in flight by source.
    busy: HashMap<Source, usize>,
    /// Number of fetches in flight within the zone.
    busy_in_zone: usize,
    /// Number of fetches in flight from other zones.
    busy_elsewhere: usize,
}

impl Round {
    pub(super) fn new(scheduler: &FetchScheduler, now: Instant) -> Round {
        let mut holders = vec![Vec::new(); scheduler.piece_count as usize];
        for (ip, pieces) in scheduler.fresh_neighbours(now) {
            for (piece, holders) in (0..).zip(&mut holders) {
                if pieces.contains(piece) {
                    holders.push(ip);
                }
            }
        }
        let own_index = scheduler.zone_members.iter().position(|ip| *ip == scheduler.own_ip);
        let mut round = Round {
            now,
            own_index: own_index.unwrap_or(0),
            lagging: lagging_owners(scheduler, &holders),
            holders,
            busy: HashMap::new(),
            busy_in_zone: 0,
            busy_elsewhere: 0,
        };
        for (source, _) in scheduler.in_flight.values() {
            round.add_fetch(*source, scheduler.is_in_zone(*source));
        }
        round
    }

    /// The neighbours that hold a piece.
    pub(super) fn holders(&self, piece: u32) -> &[Ipv4Addr] {
        self.holders.get(piece as usize).map_or(&[], Vec::as_slice)
    }

    pub(super) fn own_index(&self) -> usize {
        self.own_index
    }

    pub(super) fn is_lagging(&self, owner: Ipv4Addr) -> bool {
        self.lagging.contains(&owner)
    }

    /// Number of fetches in flight from a source.
    pub(super) fn busy(&self, source: Source) -> usize {
        self.busy.get(&source).copied().unwrap_or(0)
    }

    pub(super) fn busy_in_zone(&self) -> usize {
        self.busy_in_zone
    }

    pub(super) fn busy_elsewhere(&self) -> usize {
        self.busy_elsewhere
    }

    /// Counts a fetch that is in flight now.
    pub(super) fn add_fetch(&mut self, source: Source, in_zone: bool) {
        *self.busy.entry(source).or_default() += 1;
        if in_zone {
            self.busy_in_zone += 1;
        } else if source != Source::Origin {
            self.busy_elsewhere += 1;
        }
    }
}

/// Owned pieces of one member, and how many of them are in the zone.
#[derive(Clone, Copy, Default)]
struct Progress {
    owned: u32,
    in_zone: u32,
}

impl Progress {
    fn fraction(self) -> f64 {
        f64::from(self.in_zone) / f64::from(self.owned.max(1))
    }
}

fn lagging_owners(scheduler: &FetchScheduler, holders: &[Vec<Ipv4Addr>]) -> HashSet<Ipv4Addr> {
    let members = &scheduler.zone_members;
    let mut progress = vec![Progress::default(); members.len()];
    let mut overall = Progress::default();
    for (piece, holders) in (0..).zip(holders) {
        let in_zone = u32::from(!holders.is_empty() || scheduler.held.contains(piece));
        let owner = owner_index(members.len(), scheduler.settings.max_owners, piece);
        for progress in progress.get_mut(owner).into_iter().chain([&mut overall]) {
            progress.owned += 1;
            progress.in_zone += in_zone;
        }
    }
    let overall = overall.fraction();
    if overall < MIN_ZONE_FRACTION_FOR_LAG {
        return HashSet::new();
    }
    let is_lagging =
        |progress: &Progress| progress.owned > 0 && progress.fraction() < overall * LAG_RATIO;
    let lagging = members.iter().zip(&progress).filter(|(_, progress)| is_lagging(progress));
    lagging.map(|(ip, _)| *ip).collect()
}
