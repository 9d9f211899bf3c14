//! Selects which piece of the weights to fetch next and from which source.
//!
//! Each piece has one owner in each availability zone, which brings it into that zone once: in the
//! origin's zone from the origin, in other zones from the piece's owner in the origin's zone. A
//! zone has a bounded number of owners: the more fetches share the origin's link, the later the
//! first of them is through and can be passed on. All
//! other members fetch it within their zone from any member that holds it, rarest pieces first. If
//! an owner fails, the next candidate takes over its pieces. While the source outside the zone has
//! nothing to give, no owner is at fault: few members probe it, and the others wait for their success.

mod outage;
mod round;
mod spread;

use std::{
    collections::{HashMap, HashSet},
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use fastrand::Rng;
use peering::PieceSet;

use self::round::Round;

/// Limits for fetching pieces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchSettings {
    /// Maximum number of concurrent fetches within the zone.
    pub max_fetches: usize,
    /// Maximum number of concurrent fetches from one source within the zone.
    pub max_fetches_per_source: usize,
    /// Maximum number of concurrent fetches from the origin.
    pub max_origin_fetches: usize,
    /// Maximum number of concurrent fetches from the origin by all owners of a zone, if each makes at
    /// least one.
    pub max_zone_origin_fetches: usize,
    /// Number of members of a zone that ask an origin which does not respond again and again.
    pub max_origin_probers: usize,
    /// Time between two attempts of such a member.
    pub origin_probe_delay: Duration,
    /// Time after which any other member asks such an origin again.
    pub origin_retry_delay: Duration,
    /// Maximum number of members of a zone that own pieces.
    pub max_owners: usize,
    /// Number of members that may fetch a piece for each member of their zone that holds it, while it
    /// spreads.
    pub spread_factor: usize,
    /// Time after which any member may fetch a piece that spreads.
    pub spread_delay: Duration,
    /// Maximum number of concurrent fetches from other zones, which respond once they hold the
    /// piece.
    pub max_other_zone_fetches: usize,
    /// Time that a member of the zone leaves to each one before it in the order of addresses to
    /// fetch the digests from the origin.
    pub digest_step: Duration,
    /// Time without progress after which the next candidate takes over from an owner that is alive.
    pub owner_fallback_delay: Duration,
    /// Time for which a source that failed is not asked again.
    pub failure_backoff: Duration,
    /// Age at which a neighbour's inventory no longer counts.
    pub inventory_timeout: Duration,
    /// Time without a message after which a member of the zone counts as gone.
    pub member_timeout: Duration,
    /// Time without progress after which owners of all zones may fetch from the origin, if no member
    /// of the origin's zone responds.
    pub origin_fallback_delay: Duration,
    /// Maximum time for which owners do without the origin because its zone responds, and for which
    /// members do not take over from each other because the source outside the zone has nothing.
    pub max_outage: Duration,
}

impl Default for FetchSettings {
    fn default() -> FetchSettings {
        FetchSettings {
            max_fetches: 8,
            max_fetches_per_source: 2,
            max_origin_fetches: 2,
            max_zone_origin_fetches: 12,
            max_origin_probers: 2,
            origin_probe_delay: Duration::from_millis(100),
            origin_retry_delay: Duration::from_secs(2),
            max_owners: 12,
            spread_factor: 3,
            spread_delay: Duration::from_millis(400),
            max_other_zone_fetches: 5,
            digest_step: Duration::from_millis(300),
            owner_fallback_delay: Duration::from_millis(1500),
            failure_backoff: Duration::from_millis(800),
            inventory_timeout: Duration::from_secs(3),
            member_timeout: Duration::from_millis(2200),
            origin_fallback_delay: Duration::from_millis(2500),
            max_outage: Duration::from_secs(8),
        }
    }
}

impl FetchSettings {
    /// Time after the start of a download from which the member with `rank` in the order of
    /// addresses of its zone fetches the digests from the origin, if no neighbour has them.
    pub fn digest_delay(&self, rank: usize) -> Duration {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        self.digest_step.saturating_mul(rank).min(self.owner_fallback_delay)
    }
}

/// Where a piece is fetched from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Source {
    /// The stager on another VM.
    Peer(Ipv4Addr),
    /// The origin of the weights.
    Origin,
}

/// A fetch of one piece from one source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fetch {
    /// The index of the piece.
    pub piece: u32,
    /// The source to fetch it from.
    pub source: Source,
}

/// Why a fetch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchFailure {
    /// The source does not hold the piece.
    Missing,
    /// The source asked to be sent nothing for this time, and nothing was sent.
    Backoff(Duration),
    /// The source did not respond with the piece.
    Failed,
    /// The response does not match the piece's digest.
    Corrupted,
}

impl FetchFailure {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            FetchFailure::Missing => "Missing",
            FetchFailure::Backoff(_) => "Backoff",
            FetchFailure::Failed | FetchFailure::Corrupted => "Failed",
        }
    }
}

/// The pieces of the downloaded version that a neighbour reported to hold.
#[derive(Debug, Clone)]
pub struct Neighbour {
    /// The pieces that it holds.
    pub pieces: PieceSet,
    /// When it reported them.
    pub reported_at: Instant,
}

/// The state of downloading one version.
#[derive(Debug)]
pub struct FetchScheduler {
    settings: FetchSettings,
    own_ip: Ipv4Addr,
    piece_count: u32,
    held: PieceSet,
    started_at: Instant,
    /// When this VM or another member of its zone last got a piece.
    last_progress: Instant,
    /// When the origin last failed, unless it has given a piece since.
    origin_failed_at: Option<Instant>,
    /// When a member of the origin's zone last responded that it does not hold a piece.
    origin_zone_lacked_at: Option<Instant>,
    /// Whether this zone fetches from the origin.
    in_origin_zone: bool,
    /// Members of this zone in the order of ownership, including this VM.
    zone_members: Vec<Ipv4Addr>,
    /// The same members, for look-ups.
    zone_set: HashSet<Ipv4Addr>,
    /// Members of the origin's zone in the order of ownership; empty if it is this zone.
    origin_zone_members: Vec<Ipv4Addr>,
    neighbours: HashMap<Ipv4Addr, Neighbour>,
    /// When a neighbour first reported to hold a piece, by the index of the piece.
    first_reported: Vec<Option<Instant>>,
    /// When members of the zone last sent a message.
    last_heard: HashMap<Ipv4Addr, Instant>,
    in_flight: HashMap<u32, (Source, Instant)>,
    /// Pieces that are not fetched for now.
    held_back: HashSet<u32>,
    /// Exponentially weighted moving average of the fetch time per source, in milliseconds.
    source_fetch_ms: HashMap<Source, f64>,
    /// The same average over all sources of the zone.
    zone_fetch_ms: f64,
    /// Sources that failed, with the time until which they are not asked.
    backoff_until: HashMap<Source, Instant>,
    rng: Rng,
}

/// Assumed fetch time of a source that has not been asked before, in milliseconds.
const DEFAULT_FETCH_MS: f64 = 60.0;
/// Average fetch time up to which the link counts as uncongested, in milliseconds.
const UNCONGESTED_FETCH_MS: f64 = 250.0;
/// Weight of the newest fetch in the average over all sources.
const ZONE_EWMA_WEIGHT: f64 = 0.15;
/// Weight of the newest fetch in the average of one source.
const SOURCE_EWMA_WEIGHT: f64 = 0.4;
/// Fraction of all pieces that must be in the zone before an owner can count as lagging.
const MIN_ZONE_FRACTION_FOR_LAG: f64 = 0.4;
/// An owner lags if the fraction of its pieces in the zone is below this part of the fraction of
/// all pieces.
const LAG_RATIO: f64 = 0.5;

/// The index of the member that owns a piece, of `count` members.
fn owner_index(count: usize, max_owners: usize, piece: u32) -> usize {
    piece as usize % count.min(max_owners).max(1)
}

/// The members that may bring a piece into their zone: its owner, then the candidates that take
/// over. The first candidate differs between the pieces of one owner, so that several members share
/// its work.
fn owner_candidates(
    members: &[Ipv4Addr],
    max_owners: usize,
    piece: u32,
) -> impl Iterator<Item = Ipv4Addr> {
    let count = members.len().max(1);
    let owner = owner_index(count, max_owners, piece);
    let round = piece as usize / count.min(max_owners).max(1);
    let others = (1..count).map(move |i| (owner + 1 + (round + i - 1) % (count - 1)) % count);
    std::iter::once(owner).chain(others).filter_map(|i| members.get(i).copied())
}

impl FetchScheduler {
    /// Starts the download of `piece_count` pieces at `now`. Until `set_members` is called, this VM
    /// is the only member and fetches from the origin.
    pub fn new(
        settings: FetchSettings,
        own_ip: Ipv4Addr,
        piece_count: u32,
        seed: u64,
        now: Instant,
    ) -> FetchScheduler {
        FetchScheduler {
            settings,
            own_ip,
            piece_count,
            held: PieceSet::default(),
            started_at: now,
            last_progress: now,
            origin_failed_at: None,
            origin_zone_lacked_at: None,
            in_origin_zone: true,
            zone_members: vec![own_ip],
            zone_set: HashSet::from([own_ip]),
            origin_zone_members: Vec::new(),
            neighbours: HashMap::new(),
            first_reported: vec![None; piece_count as usize],
            last_heard: HashMap::new(),
            in_flight: HashMap::new(),
            held_back: HashSet::new(),
            source_fetch_ms: HashMap::new(),
            zone_fetch_ms: DEFAULT_FETCH_MS,
            backoff_until: HashMap::new(),
            rng: Rng::with_seed(seed),
        }
    }

    /// Sets the members of this zone and those of the origin's zone, which are empty if it is this
    /// zone. All members must use the same order.
    pub fn set_members(&mut self, zone_members: Vec<Ipv4Addr>, origin_zone_members: Vec<Ipv4Addr>) {
        self.in_origin_zone = origin_zone_members.is_empty();
        self.zone_members = zone_members;
        if !self.zone_members.contains(&self.own_ip) {
            self.zone_members.push(self.own_ip);
        }
        self.zone_set = self.zone_members.iter().copied().collect();
        self.origin_zone_members = origin_zone_members;
    }

    /// The pieces that this VM holds.
    pub fn held(&self) -> &PieceSet {
        &self.held
    }

    /// Whether this VM holds all pieces.
    pub fn is_complete(&self) -> bool {
        self.held.len() == self.piece_count
    }

    /// Records that this VM holds a piece.
    pub fn mark_held(&mut self, piece: u32, now: Instant) {
        if let Some((source, started_at)) = self.in_flight.remove(&piece) {
            self.record_fetch_time(source, now.saturating_duration_since(started_at));
            if source == Source::Origin {
                self.origin_failed_at = None;
            }
        }
        self.last_progress = now;
        if piece < self.piece_count {
            self.held.insert(piece);
        }
    }

    /// Records which pieces a neighbour holds.
    pub fn handle_inventory(&mut self, from: Ipv4Addr, neighbour: Neighbour) {
        self.mark_alive(from, neighbour.reported_at);
        let known_pieces = self.neighbours.get(&from).map_or(0, |known| known.pieces.len());
        if neighbour.pieces.len() > known_pieces {
            self.last_progress = neighbour.reported_at;
        }
        self.record_first_reports(&neighbour);
        self.neighbours.insert(from, neighbour);
    }

    /// Records that a fetch failed.
    pub fn handle_failure(&mut self, fetch: Fetch, failure: FetchFailure, now: Instant) {
        if let Some((source, started_at)) = self.in_flight.remove(&fetch.piece)
            && matches!(failure, FetchFailure::Failed | FetchFailure::Corrupted)
        {
            self.record_fetch_time(source, now.saturating_duration_since(started_at));
        }
        let backoff = match (failure, fetch.source) {
            (FetchFailure::Failed, Source::Origin) => {
                self.origin_failed_at = Some(now);
                return;
            }
            (FetchFailure::Failed | FetchFailure::Corrupted, _) => self.settings.failure_backoff,
            (FetchFailure::Missing, _) => self.settings.failure_backoff / 4,
            (FetchFailure::Backoff(time), _) => time,
        };
        if failure == FetchFailure::Missing && self.is_in_origin_zone(fetch.source) {
            self.origin_zone_lacked_at = Some(now);
        }
        self.backoff_until.insert(fetch.source, now + backoff);
    }

    /// Does not fetch a piece until `release` is called.
    pub fn hold_back(&mut self, piece: u32) {
        self.held_back.insert(piece);
    }

    /// Fetches the pieces again that were held back.
    pub fn release(&mut self) {
        self.held_back.clear();
    }

    /// Selects the fetches to start now.
    pub fn next_fetches(&mut self, now: Instant) -> Vec<Fetch> {
        if self.is_complete() {
            return Vec::new();
        }
        self.backoff_until.retain(|_, until| now < *until);
        let mut round = Round::new(self, now);
        let mut fetches = Vec::new();
        for piece in self.missing_pieces(&round) {
            let Some(source) = self.choose_source(piece, &round) else { continue };
            self.in_flight.insert(piece, (source, now));
            round.add_fetch(source, self.is_in_zone(source));
            fetches.push(Fetch { piece, source });
        }
        fetches
    }

    /// Pieces that are neither held nor in flight, rarest in the zone first, and of those the ones that
    /// this VM owns.
    fn missing_pieces(&mut self, round: &Round) -> Vec<u32> {
        let all = 0..self.piece_count;
        let missing = all.filter(|p| !self.held.contains(*p) && !self.in_flight.contains_key(p));
        let mut missing: Vec<u32> = missing.filter(|p| !self.held_back.contains(p)).collect();
        self.rng.shuffle(&mut missing);
        missing.sort_by_key(|piece| {
            (round.holders(*piece).len(), self.places_after_owner(*piece, round) != 0)
        });
        missing
    }

    fn fresh_neighbours(&self, now: Instant) -> impl Iterator<Item = (Ipv4Addr, &PieceSet)> {
        let max_age = self.settings.inventory_timeout;
        let is_fresh = move |n: &Neighbour| now.saturating_duration_since(n.reported_at) < max_age;
        self.neighbours.iter().filter(move |(_, n)| is_fresh(n)).map(|(ip, n)| (*ip, &n.pieces))
    }

    fn is_in_zone(&self, source: Source) -> bool {
        matches!(source, Source::Peer(ip) if self.zone_set.contains(&ip))
    }

    /// Whether a source is a member of the origin's zone, which is another zone.
    fn is_in_origin_zone(&self, source: Source) -> bool {
        matches!(source, Source::Peer(ip) if self.origin_zone_members.contains(&ip))
    }

    /// Whether one more piece may be fetched from a source.
    fn has_capacity(&self, source: Source, round: &Round) -> bool {
        if self.backoff_until.contains_key(&source) {
            return false;
        }
        let FetchSettings { max_fetches, max_fetches_per_source, max_other_zone_fetches, .. } =
            self.settings;
        if source == Source::Origin {
            return round.busy(source) < self.max_origin_fetches(round.now);
        }
        if !self.is_in_zone(source) {
            return round.busy_elsewhere() < max_other_zone_fetches.min(self.fetch_window());
        }
        round.busy(source) < max_fetches_per_source
            && round.busy_in_zone() < max_fetches.min(self.fetch_window())
    }

    fn choose_source(&mut self, piece: u32, round: &Round) -> Option<Source> {
        let holders = round.holders(piece);
        if self.leaves_to_others(piece, round) {
            return None;
        }
        let sources = holders.iter().map(|ip| Source::Peer(*ip));
        let free: Vec<Source> = sources.filter(|s| self.has_capacity(*s, round)).collect();
        if !free.is_empty() {
            return self.fastest(&free, round);
        }
        // While another member brings the piece into the zone or holds it, it is not fetched from
        // outside again.
        if !holders.is_empty()
            && self.time_without_progress(round.now) < self.settings.origin_fallback_delay
        {
            return None;
        }
        let responsible = self.is_responsible(piece, round);
        if responsible { self.upstream_source(piece, round) } else { None }
    }

    /// The source with the shortest expected fetch time.
    fn fastest(&mut self, sources: &[Source], round: &Round) -> Option<Source> {
        let expected = |source: &Source| {
            let busy = round.busy(*source) as f64;
            let mean = self.source_fetch_ms.get(source).copied().unwrap_or(DEFAULT_FETCH_MS);
            // Rounded, as small differences are noise.
            ((busy + 1.0) * mean.max(DEFAULT_FETCH_MS) / DEFAULT_FETCH_MS).round() as u32
        };
        let shortest = sources.iter().map(expected).min()?;
        let fastest: Vec<Source> =
            sources.iter().copied().filter(|s| expected(s) == shortest).collect();
        Some(fastest[self.rng.usize(..fastest.len())])
    }

    /// The number of pieces that may be in flight within the zone. It shrinks when the link becomes
    /// congested, as requests for the endpoint use the same link.
    fn fetch_window(&self) -> usize {
        let mean = self.zone_fetch_ms.max(1.0);
        let window = self.settings.max_fetches as f64 * UNCONGESTED_FETCH_MS / mean;
        (window.round() as usize).max(1)
    }

    fn record_fetch_time(&mut self, source: Source, took: Duration) {
        let took_ms = took.as_secs_f64() * 1e3;
        let mean = self.source_fetch_ms.entry(source).or_insert(took_ms);
        *mean += (took_ms - *mean) * SOURCE_EWMA_WEIGHT;
        if self.is_in_zone(source) {
            self.zone_fetch_ms += (took_ms - self.zone_fetch_ms) * ZONE_EWMA_WEIGHT;
        }
    }

    /// Time since a member of the zone last got a piece.
    fn time_without_progress(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_progress)
    }

    /// Time since the download started.
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Whether this stager must bring a piece into the zone: it owns the piece, or the candidates
    /// before it are silent, lag, or made no progress for too long.
    fn is_responsible(&self, piece: u32, round: &Round) -> bool {
        let now = round.now;
        let before = owner_candidates(&self.zone_members, self.settings.max_owners, piece)
            .take_while(|ip| *ip != self.own_ip);
        let is_new = self.elapsed(now) < self.settings.inventory_timeout;
        let is_working = |ip: &Ipv4Addr| {
            let alive = self.is_alive(*ip, now) || (is_new && !self.last_heard.contains_key(ip));
            alive && !round.is_lagging(*ip)
        };
        let working = before.filter(is_working).count() as u32;
        if self.is_outage(now) {
            return working == 0 || self.is_origin_prober(now);
        }
        self.time_without_progress(now) >= self.settings.owner_fallback_delay * working
    }

    fn is_alive(&self, ip: Ipv4Addr, now: Instant) -> bool {
        let heard = self.last_heard.get(&ip);
        heard.is_some_and(|at| now.saturating_duration_since(*at) < self.settings.member_timeout)
    }

    /// Records that a member of the zone sent a message.
    pub fn mark_alive(&mut self, from: Ipv4Addr, now: Instant) {
        self.last_heard.insert(from, now);
    }

    /// The source outside the zone for a piece that no member of the zone holds.
    fn upstream_source(&self, piece: u32, round: &Round) -> Option<Source> {
        if self.in_origin_zone {
            return Some(Source::Origin).filter(|s| self.has_capacity(*s, round));
        }
        let members = &self.origin_zone_members;
        let candidates = owner_candidates(members, self.settings.max_owners, piece);
        let mut peers = candidates.map(Source::Peer);
        let peer = peers.find(|peer| self.has_capacity(*peer, round));
        let late = self.is_cut_from_origin_zone(round.now);
        peer.or_else(|| Some(Source::Origin).filter(|s| late && self.has_capacity(*s, round)))
    }
}

#[cfg(test)]
mod tests;
