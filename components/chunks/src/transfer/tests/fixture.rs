//! Several transfers that exchange chunks in memory, with a clock that the test advances.

use std::collections::{BTreeMap, BTreeSet};

use base::Digest;

use super::super::*;
use crate::{Action, VmLocation};

pub(super) const CHUNKS: u32 = 32;
/// Time between looks at the transfers.
const STEP: Duration = Duration::from_millis(20);
/// Time of a fetch and of an announcement.
const LATENCY: Duration = Duration::from_millis(20);
/// Time after which a fetch from a VM that does not answer fails.
const TIMEOUT: Duration = Duration::from_secs(3);

pub(super) fn vm(i: usize) -> VmId {
    format!("vm-{i}").parse().unwrap()
}

pub(super) fn place(i: usize) -> VmLocation {
    let zone = format!("zone-{}", i % 2);
    VmLocation { vm: vm(i), zone: zone.parse().unwrap(), region: "region".parse().unwrap() }
}

pub(super) fn list() -> ChunkList {
    let weights: Vec<u8> = (0..CHUNKS as u8).collect();
    ChunkList::of(&weights, base::ByteSize(1))
}

pub(super) fn plan(me: usize, members: &[usize]) -> Plan {
    let places: Vec<VmLocation> = members.iter().map(|&i| place(i)).collect();
    Plan::new(&Digest::of(b"list"), &places, &vm(me))
}

/// How a VM fares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fate {
    Well,
    /// Connections to it are refused, and it does nothing.
    Dead,
    /// It does nothing and answers nobody.
    Paused,
    /// It acts, but those that fetch from it get no bytes.
    Stalled,
    /// It gives corrupted chunks.
    Corrupting,
}

enum Event {
    Fetched { to: usize, chunk: u32, source: Source, result: Result<(), FetchError> },
    Announced { from: usize, to: usize, chunks: Vec<u32> },
}

/// The transfers with the faults around them.
pub(super) struct Net {
    pub(super) now: Instant,
    pub(super) transfers: BTreeMap<usize, Transfer>,
    pub(super) fates: BTreeMap<usize, Fate>,
    /// VMs on the far side of a partition.
    pub(super) far: BTreeSet<usize>,
    /// Reads of each chunk from the origin that gave bytes.
    pub(super) origin_reads: u32,
    /// The answer of the origin.
    pub(super) origin: Result<(), FetchError>,
    pub(super) store: Result<(), FetchError>,
    /// Chunks that each VM keeps in memory.
    pub(super) memory: usize,
    /// Chunks in the memory of each VM, oldest first.
    pools: BTreeMap<usize, Vec<u32>>,
    events: Vec<(Instant, Event)>,
}

impl Net {
    pub(super) fn new(members: &[usize], settings: TransferSettings) -> Net {
        let now = Instant::now();
        let start = |&me: &usize| (me, Transfer::new(list(), plan(me, members), settings, now));
        Net {
            now,
            transfers: members.iter().map(start).collect(),
            fates: members.iter().map(|&i| (i, Fate::Well)).collect(),
            far: BTreeSet::new(),
            origin_reads: 0,
            origin: Ok(()),
            store: Err(FetchError::Missing),
            memory: usize::MAX,
            pools: members.iter().map(|&i| (i, Vec::new())).collect(),
            events: Vec::new(),
        }
    }

    /// Starts a VM, after `members` changed; the others learn of it.
    pub(super) fn join(&mut self, me: usize, members: &[usize], settings: TransferSettings) {
        self.fates.insert(me, Fate::Well);
        self.pools.insert(me, Vec::new());
        let transfer = Transfer::new(list(), plan(me, members), settings, self.now);
        self.transfers.insert(me, transfer);
        self.learn(members);
    }

    /// All VMs of `members` learn that they are the members.
    pub(super) fn learn(&mut self, members: &[usize]) {
        for &other in members {
            let transfer = self.transfers.get_mut(&other).unwrap();
            transfer.set_plan(plan(other, members), self.now);
        }
    }

    /// Goes on until all VMs that fare well have all chunks; returns the time it took.
    pub(super) fn run(&mut self, limit: Duration) -> Duration {
        let start = self.now;
        while !self.is_done() {
            assert!(self.now - start < limit, "not done: {:?}", self.missing());
            self.step();
        }
        self.now - start
    }

    pub(super) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn is_done(&self) -> bool {
        let idle = |i: &usize| matches!(self.fates[i], Fate::Dead | Fate::Paused);
        self.transfers.iter().all(|(i, transfer)| idle(i) || transfer.is_complete())
    }

    fn missing(&self) -> Vec<(usize, (usize, usize))> {
        let lacks = self.transfers.iter().filter(|(_, t)| !t.is_complete());
        lacks.map(|(&i, t)| (i, t.progress())).collect()
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.events).into_iter().partition(|e| e.0 <= now);
        self.events = later;
        let due: Vec<(Instant, Event)> = due;
        due.into_iter().for_each(|(_, event)| self.handle(event));
        for me in self.transfers.keys().copied().collect::<Vec<_>>() {
            if matches!(self.fates[&me], Fate::Dead | Fate::Paused) {
                continue;
            }
            for action in self.transfers.get_mut(&me).unwrap().poll(now) {
                self.act(me, action);
            }
        }
    }

    fn act(&mut self, me: usize, action: Action) {
        match action {
            Action::Announce { to, chunks } => {
                let to = number(&to);
                let event = Event::Announced { from: me, to, chunks };
                if self.far.contains(&me) == self.far.contains(&to) {
                    self.events.push((self.now + LATENCY, event));
                }
            }
            Action::Fetch { chunk, source, .. } => {
                let (result, took) = self.answer(me, chunk, &source);
                let event = Event::Fetched { to: me, chunk, source, result };
                self.events.push((self.now + took, event));
            }
        }
    }

    fn answer(
        &mut self,
        me: usize,
        chunk: u32,
        source: &Source,
    ) -> (Result<(), FetchError>, Duration) {
        let peer = match source {
            Source::Store => return (self.store, LATENCY),
            Source::Origin => {
                self.origin_reads += u32::from(self.origin.is_ok());
                return (self.origin, LATENCY);
            }
            Source::Peer(vm) => number(vm),
        };
        if self.far.contains(&me) != self.far.contains(&peer) {
            return (Err(FetchError::Failed), TIMEOUT);
        }
        let has = self.pools[&peer].contains(&chunk);
        match self.fates[&peer] {
            Fate::Dead => (Err(FetchError::Failed), LATENCY),
            Fate::Paused | Fate::Stalled => (Err(FetchError::Failed), TIMEOUT),
            _ if !has => (Err(FetchError::Missing), LATENCY),
            Fate::Corrupting => (Err(FetchError::Corrupted), LATENCY),
            Fate::Well => (Ok(()), LATENCY),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Fetched { to, chunk, source, result } => {
                let transfer = self.transfers.get_mut(&to).unwrap();
                match result {
                    Ok(()) => {
                        transfer.handle_fetched(chunk, &source, self.now);
                        let pool = self.pools.get_mut(&to).unwrap();
                        pool.push(chunk);
                        if pool.len() > self.memory {
                            pool.remove(0);
                        }
                    }
                    Err(error) => transfer.handle_failure(chunk, &source, error, self.now),
                }
            }
            Event::Announced { from, to, chunks } => {
                if matches!(self.fates[&to], Fate::Dead | Fate::Paused) {
                    return;
                }
                let transfer = self.transfers.get_mut(&to).unwrap();
                transfer.handle_announcement(&vm(from), &chunks, self.now);
            }
        }
    }
}

fn number(vm: &VmId) -> usize {
    vm.as_str().strip_prefix("vm-").unwrap().parse().unwrap()
}
