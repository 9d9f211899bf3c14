//! Which piece of the weights is fetched next, and from where.
//!
//! Each piece has an owner in each zone, which brings it there once: in the zone of the origin from
//! the origin, in the others from the owner there. All others fetch it within their zone from whoever
//! holds it, the rarest first. Owners that fail are stood in for by the next ones.

use std::{
    collections::HashMap,
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use fastrand::Rng;
use peering::PieceSet;

/// Bounds of fetching.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpreadSettings {
    /// Pieces that are fetched from the own zone at a time.
    pub flights: usize,
    /// Pieces that are fetched from one source of the own zone at a time.
    pub per_source: usize,
    /// Pieces that are fetched from the origin at a time.
    pub origin_flights: usize,
    /// Pieces that are asked for in another zone at a time; the answer comes when they are there.
    pub far_flights: usize,
    /// Time without progress after which the next owner stands in for one that lives.
    pub owner_patience: Duration,
    /// Time for which a source that failed is not asked.
    pub penalty: Duration,
    /// Time after which what a neighbour said no longer counts.
    pub news_life: Duration,
    /// Time after which a member of the zone that says nothing counts as gone.
    pub alive: Duration,
    /// Time without progress after which the origin is asked by owners of all zones.
    pub origin_patience: Duration,
}

impl Default for SpreadSettings {
    fn default() -> SpreadSettings {
        SpreadSettings {
            flights: 8,
            per_source: 2,
            origin_flights: 2,
            far_flights: 5,
            owner_patience: Duration::from_millis(1500),
            penalty: Duration::from_millis(800),
            news_life: Duration::from_secs(3),
            alive: Duration::from_millis(2200),
            origin_patience: Duration::from_millis(2500),
        }
    }
}

/// Where a piece is fetched from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Source {
    /// The agent of another VM.
    Peer(Ipv4Addr),
    /// The origin.
    Origin,
}

/// A piece to fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fetch {
    /// The piece.
    pub piece: u32,
    /// Where it is fetched from.
    pub source: Source,
}

/// Why a piece did not come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The source does not hold it.
    Missing,
    /// The source did not answer, or what came is not the piece.
    Failed,
}

/// What a neighbour said that it holds of the wanted version.
#[derive(Debug, Clone)]
pub struct Neighbour {
    /// The pieces.
    pub pieces: PieceSet,
    /// When it said so.
    pub at: Instant,
}

/// The state of fetching one version.
#[derive(Debug)]
pub struct Spread {
    settings: SpreadSettings,
    me: Ipv4Addr,
    count: u32,
    held: PieceSet,
    since: Instant,
    /// When a piece last came to this VM or to one of its zone.
    progress: Instant,
    /// Whether the own zone fetches from the origin.
    near_origin: bool,
    /// Members of the own zone in the order of ownership, this one included.
    zone: Vec<Ipv4Addr>,
    /// Members of the zone of the origin in the order of ownership, if that is another zone.
    root: Vec<Ipv4Addr>,
    neighbours: HashMap<Ipv4Addr, Neighbour>,
    /// When members of the zone were last heard.
    alive: HashMap<Ipv4Addr, Instant>,
    flights: HashMap<u32, (Source, Instant)>,
    /// Usual time of a fetch from a source, in milliseconds, newer ones weighing more.
    times: HashMap<Source, f64>,
    /// The same over all sources of the zone.
    time: f64,
    /// Sources that failed, and until when they are not asked.
    penalties: HashMap<Source, Instant>,
    rng: Rng,
}

/// Time of a fetch from a source that was not asked before, in milliseconds.
const FIRST_TIME_MS: f64 = 60.0;
/// Time of a fetch up to which the link counts as wide enough for all, in milliseconds.
const USUAL_TIME_MS: f64 = 250.0;
/// Weight of the newest fetch in the usual time of all sources.
const NEWEST_OF_ALL: f64 = 0.15;
/// Weight of the newest fetch in the usual time of a source.
const NEWEST: f64 = 0.4;
/// Part of all pieces that must be in the zone before an owner can lag behind.
const LAG_FROM: f64 = 0.4;
/// Part of what all brought below which an owner lags.
const LAG_PART: f64 = 0.5;

/// The members that bring a piece to their zone: its owner, then those that stand in for it. Those of
/// one owner's pieces differ, so that they share its work.
fn owners_in_turn(members: &[Ipv4Addr], piece: u32) -> impl Iterator<Item = Ipv4Addr> {
    let count = members.len().max(1);
    let (owner, turn) = (piece as usize % count, piece as usize / count);
    let others = (1..count).map(move |i| (owner + 1 + (turn + i - 1) % (count - 1)) % count);
    std::iter::once(owner).chain(others).filter_map(|i| members.get(i).copied())
}

impl Spread {
    /// Fetching of `count` pieces that begins now. `zone` are the members of the own zone, `root`
    /// those of the zone of the origin, empty if that is the own one, both in an order that all
    /// members share.
    pub fn new(
        settings: SpreadSettings,
        me: Ipv4Addr,
        count: u32,
        seed: u64,
        now: Instant,
    ) -> Spread {
        Spread {
            settings,
            me,
            count,
            held: PieceSet::default(),
            since: now,
            progress: now,
            near_origin: true,
            zone: vec![me],
            root: Vec::new(),
            neighbours: HashMap::new(),
            alive: HashMap::new(),
            flights: HashMap::new(),
            times: HashMap::new(),
            time: FIRST_TIME_MS,
            penalties: HashMap::new(),
            rng: Rng::with_seed(seed),
        }
    }

    /// Takes in who else there is.
    pub fn set_members(&mut self, zone: Vec<Ipv4Addr>, root: Vec<Ipv4Addr>) {
        self.near_origin = root.is_empty();
        self.zone = zone;
        if !self.zone.contains(&self.me) {
            self.zone.push(self.me);
        }
        self.root = root;
    }

    /// The pieces that are held.
    pub fn held(&self) -> &PieceSet {
        &self.held
    }

    /// Whether all pieces are held.
    pub fn is_complete(&self) -> bool {
        self.held.len() == self.count
    }

    /// A piece is held.
    pub fn hold(&mut self, piece: u32, now: Instant) {
        if let Some((source, since)) = self.flights.remove(&piece) {
            self.note_time(source, now.saturating_duration_since(since));
        }
        self.progress = now;
        if piece < self.count {
            self.held.insert(piece);
        }
    }

    /// A neighbour said what it holds.
    pub fn heard(&mut self, from: Ipv4Addr, neighbour: Neighbour) {
        self.lives(from, neighbour.at);
        let before = self.neighbours.get(&from).map_or(0, |known| known.pieces.len());
        if neighbour.pieces.len() > before {
            self.progress = neighbour.at;
        }
        self.neighbours.insert(from, neighbour);
    }

    /// A piece did not come.
    pub fn failed(&mut self, fetch: Fetch, failure: Failure, now: Instant) {
        if let Some((source, since)) = self.flights.remove(&fetch.piece)
            && failure == Failure::Failed
        {
            self.note_time(source, now.saturating_duration_since(since));
        }
        let factor = match failure {
            Failure::Missing => 4,
            Failure::Failed => 1,
        };
        self.penalties.insert(fetch.source, now + self.settings.penalty / factor);
    }

    /// The pieces to fetch now.
    pub fn next(&mut self, now: Instant) -> Vec<Fetch> {
        self.penalties.retain(|_, until| now < *until);
        let mut fetches = Vec::new();
        for piece in self.missing(now) {
            let Some(source) = self.source_of(piece, now) else { continue };
            self.flights.insert(piece, (source, now));
            fetches.push(Fetch { piece, source });
        }
        fetches
    }

    /// Pieces that are neither held nor on their way, the rarest in the zone first.
    fn missing(&mut self, now: Instant) -> Vec<u32> {
        let all = 0..self.count;
        let missing = all.filter(|p| !self.held.contains(*p) && !self.flights.contains_key(p));
        let mut missing: Vec<u32> = missing.collect();
        self.rng.shuffle(&mut missing);
        let holders = |piece: &u32| {
            self.fresh_neighbours(now).filter(|(_, pieces)| pieces.contains(*piece)).count()
        };
        missing.sort_by_cached_key(holders);
        missing
    }

    fn fresh_neighbours(&self, now: Instant) -> impl Iterator<Item = (Ipv4Addr, &PieceSet)> {
        let life = self.settings.news_life;
        let fresh = move |n: &Neighbour| now.saturating_duration_since(n.at) < life;
        self.neighbours.iter().filter(move |(_, n)| fresh(n)).map(|(ip, n)| (*ip, &n.pieces))
    }

    /// Whether one more piece may be fetched from a source.
    fn is_free(&self, source: Source) -> bool {
        if self.penalties.contains_key(&source) {
            return false;
        }
        let SpreadSettings { flights, per_source, origin_flights, far_flights, .. } = self.settings;
        let is_near =
            |source: &Source| matches!(source, Source::Peer(ip) if self.zone.contains(ip));
        let busy = |counts: &dyn Fn(&Source) -> bool| {
            self.flights.values().filter(|(source, _)| counts(source)).count()
        };
        if source == Source::Origin {
            return busy(&|s| *s == Source::Origin) < origin_flights;
        }
        if !is_near(&source) {
            let far = busy(&|s| *s != Source::Origin && !is_near(s));
            return far < far_flights.min(self.window());
        }
        busy(&|s| *s == source) < per_source && busy(&is_near) < flights.min(self.window())
    }

    fn source_of(&mut self, piece: u32, now: Instant) -> Option<Source> {
        let holders = self.fresh_neighbours(now).filter(|(_, pieces)| pieces.contains(piece));
        let holders: Vec<Source> = holders.map(|(ip, _)| Source::Peer(ip)).collect();
        let free: Vec<Source> = holders.iter().copied().filter(|s| self.is_free(*s)).collect();
        if !free.is_empty() {
            return self.quickest(&free);
        }
        let stands_in = self.stands_in(piece, now);
        // While another brings it here, or somebody here holds it, it does not cross the border again.
        if !holders.is_empty() && self.stalled(now) < self.settings.origin_patience {
            return None;
        }
        if stands_in { self.outside(piece, now) } else { None }
    }

    /// The source that is likely to give a piece first.
    fn quickest(&mut self, sources: &[Source]) -> Option<Source> {
        let wait = |source: &Source| {
            let busy = self.flights.values().filter(|(s, _)| s == source).count() as f64;
            let usual = self.times.get(source).copied().unwrap_or(FIRST_TIME_MS);
            // Small differences are chance.
            ((busy + 1.0) * usual.max(FIRST_TIME_MS) / FIRST_TIME_MS).round() as u32
        };
        let least = sources.iter().map(wait).min()?;
        let quick: Vec<Source> = sources.iter().copied().filter(|s| wait(s) == least).collect();
        Some(quick[self.rng.usize(..quick.len())])
    }

    /// Pieces that may be on their way within the zone. A link that turned narrow is not filled with
    /// them, as the requests for the endpoint come over it too.
    fn window(&self) -> usize {
        let time = self.time.max(1.0);
        let window = self.settings.flights as f64 * USUAL_TIME_MS / time;
        (window.round() as usize).max(1)
    }

    fn note_time(&mut self, source: Source, took: Duration) {
        let took = took.as_secs_f64() * 1e3;
        let time = self.times.entry(source).or_insert(took);
        *time += (took - *time) * NEWEST;
        if matches!(source, Source::Peer(ip) if self.zone.contains(&ip)) {
            self.time += (took - self.time) * NEWEST_OF_ALL;
        }
    }

    /// Time since a piece last came to the zone.
    fn stalled(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.progress)
    }

    /// Time since fetching began.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Whether it is up to this agent to bring a piece to its zone: it owns it, or those before it
    /// are silent or did not bring it for long.
    fn stands_in(&self, piece: u32, now: Instant) -> bool {
        let before = owners_in_turn(&self.zone, piece).take_while(|ip| *ip != self.me);
        let young = self.age(now) < self.settings.news_life;
        let lives = |ip: &Ipv4Addr| {
            let heard = self.is_heard(*ip, now) || (young && !self.alive.contains_key(ip));
            heard && !self.lags(*ip, now)
        };
        let living = before.filter(lives).count() as u32;
        self.stalled(now) >= self.settings.owner_patience * living
    }

    /// Whether an owner brought far fewer of its pieces to the zone than the others did of theirs.
    fn lags(&self, owner: Ipv4Addr, now: Instant) -> bool {
        let known = |piece: &u32| {
            self.held.contains(*piece)
                || self.fresh_neighbours(now).any(|(_, p)| p.contains(*piece))
        };
        let part = |pieces: &[u32]| {
            let there = pieces.iter().filter(|piece| known(piece)).count();
            there as f64 / pieces.len().max(1) as f64
        };
        let all: Vec<u32> = (0..self.count).collect();
        let own = |piece: &u32| owners_in_turn(&self.zone, *piece).next() == Some(owner);
        let owned: Vec<u32> = all.iter().copied().filter(own).collect();
        let whole = part(&all);
        whole >= LAG_FROM && part(&owned) < whole * LAG_PART
    }

    fn is_heard(&self, ip: Ipv4Addr, now: Instant) -> bool {
        let heard = self.alive.get(&ip);
        heard.is_some_and(|at| now.saturating_duration_since(*at) < self.settings.alive)
    }

    /// A member of the zone said something.
    pub fn lives(&mut self, from: Ipv4Addr, now: Instant) {
        self.alive.insert(from, now);
    }

    /// Where a piece is fetched from that nobody in the zone holds.
    fn outside(&self, piece: u32, now: Instant) -> Option<Source> {
        if self.near_origin {
            return Some(Source::Origin).filter(|s| self.is_free(*s));
        }
        let mut peers = owners_in_turn(&self.root, piece).map(Source::Peer);
        let peer = peers.find(|peer| self.is_free(*peer));
        let late = self.stalled(now) >= self.settings.origin_patience;
        peer.or_else(|| Some(Source::Origin).filter(|s| late && self.is_free(*s)))
    }
}

#[cfg(test)]
mod tests;
