//! In-memory simulation of several transfers that exchange chunks, driven by a virtual clock.

use std::collections::{BTreeMap, BTreeSet};

use base::Digest;

use super::super::*;
use crate::{Action, VmLocation};

pub(super) const CHUNKS: u32 = 32;
/// Interval at which the transfers are polled.
const STEP: Duration = Duration::from_millis(20);
/// Latency of a fetch or an announcement.
const LATENCY: Duration = Duration::from_millis(20);
/// Time after which a fetch from an unresponsive VM fails.
const TIMEOUT: Duration = Duration::from_secs(3);

pub(super) fn vm(i: usize) -> VmId {
    format!("vm-{i}").parse().unwrap()
}

pub(super) fn location(i: usize) -> VmLocation {
    let zone = format!("zone-{}", i % 2);
    VmLocation { vm: vm(i), zone: zone.parse().unwrap(), region: "region".parse().unwrap() }
}

pub(super) fn list() -> ChunkList {
    let weights: Vec<u8> = (0..CHUNKS as u8).collect();
    ChunkList::from_weights(&weights, base::ByteSize(1))
}

pub(super) fn plan(me: usize, members: &[usize]) -> Plan {
    let locations: Vec<VmLocation> = members.iter().map(|&i| location(i)).collect();
    Plan::new(&Digest::of(b"list"), &locations, &vm(me))
}

/// Fault injected into a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    Healthy,
    /// Refuses connections and does nothing.
    Dead,
    /// Does nothing and lets fetches time out.
    Paused,
    /// Acts normally, but fetches from it time out.
    Stalled,
    /// Sends corrupted chunks.
    Corrupting,
}

enum Event {
    Fetched { to: usize, chunk: u32, source: Source, result: Result<(), FetchError> },
    Announced { from: usize, to: usize, chunks: Vec<u32> },
}

/// The transfers, the injected faults and the sources of chunks.
pub(super) struct Simulation {
    pub(super) now: Instant,
    pub(super) transfers: BTreeMap<usize, Transfer>,
    pub(super) faults: BTreeMap<usize, Fault>,
    /// VMs on the far side of a partition.
    pub(super) partitioned: BTreeSet<usize>,
    /// Number of successful reads from the origin.
    pub(super) origin_reads: u32,
    /// The result of each read from the origin.
    pub(super) origin: Result<(), FetchError>,
    pub(super) store: Result<(), FetchError>,
    /// Number of chunks that each VM keeps in memory.
    pub(super) memory: usize,
    /// Cached chunks of each VM, oldest first.
    caches: BTreeMap<usize, Vec<u32>>,
    events: Vec<(Instant, Event)>,
}

impl Simulation {
    pub(super) fn new(members: &[usize], settings: TransferSettings) -> Simulation {
        let now = Instant::now();
        let start = |&me: &usize| (me, Transfer::new(list(), plan(me, members), settings, now));
        Simulation {
            now,
            transfers: members.iter().map(start).collect(),
            faults: members.iter().map(|&i| (i, Fault::Healthy)).collect(),
            partitioned: BTreeSet::new(),
            origin_reads: 0,
            origin: Ok(()),
            store: Err(FetchError::Missing),
            memory: usize::MAX,
            caches: members.iter().map(|&i| (i, Vec::new())).collect(),
            events: Vec::new(),
        }
    }

    /// Starts a VM and updates the plans of all `members`.
    pub(super) fn join(&mut self, me: usize, members: &[usize], settings: TransferSettings) {
        self.faults.insert(me, Fault::Healthy);
        self.caches.insert(me, Vec::new());
        let transfer = Transfer::new(list(), plan(me, members), settings, self.now);
        self.transfers.insert(me, transfer);
        self.update_members(members);
    }

    /// Gives all VMs of `members` a plan over these members.
    pub(super) fn update_members(&mut self, members: &[usize]) {
        for &other in members {
            let transfer = self.transfers.get_mut(&other).unwrap();
            transfer.set_plan(plan(other, members), self.now);
        }
    }

    /// Runs until all VMs except dead and paused ones have all chunks; returns the time it took.
    pub(super) fn run_until_complete(&mut self, limit: Duration) -> Duration {
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
        let is_inactive = |i: &usize| matches!(self.faults[i], Fault::Dead | Fault::Paused);
        self.transfers.iter().all(|(i, transfer)| is_inactive(i) || transfer.is_complete())
    }

    fn missing(&self) -> Vec<(usize, (usize, usize))> {
        let incomplete = self.transfers.iter().filter(|(_, t)| !t.is_complete());
        incomplete.map(|(&i, t)| (i, t.progress())).collect()
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.events).into_iter().partition(|e| e.0 <= now);
        self.events = later;
        let due: Vec<(Instant, Event)> = due;
        due.into_iter().for_each(|(_, event)| self.handle(event));
        for me in self.transfers.keys().copied().collect::<Vec<_>>() {
            if matches!(self.faults[&me], Fault::Dead | Fault::Paused) {
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
                let to = vm_index(&to);
                let event = Event::Announced { from: me, to, chunks };
                if self.partitioned.contains(&me) == self.partitioned.contains(&to) {
                    self.events.push((self.now + LATENCY, event));
                }
            }
            Action::Fetch { chunk, source, .. } => {
                let (result, took) = self.respond(me, chunk, &source);
                let event = Event::Fetched { to: me, chunk, source, result };
                self.events.push((self.now + took, event));
            }
        }
    }

    fn respond(
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
            Source::Peer(vm) => vm_index(vm),
        };
        if self.partitioned.contains(&me) != self.partitioned.contains(&peer) {
            return (Err(FetchError::Failed), TIMEOUT);
        }
        let is_cached = self.caches[&peer].contains(&chunk);
        match self.faults[&peer] {
            Fault::Dead => (Err(FetchError::Failed), LATENCY),
            Fault::Paused | Fault::Stalled => (Err(FetchError::Failed), TIMEOUT),
            _ if !is_cached => (Err(FetchError::Missing), LATENCY),
            Fault::Corrupting => (Err(FetchError::Corrupted), LATENCY),
            Fault::Healthy => (Ok(()), LATENCY),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Fetched { to, chunk, source, result } => {
                let transfer = self.transfers.get_mut(&to).unwrap();
                match result {
                    Ok(()) => {
                        transfer.handle_fetched(chunk, &source, self.now);
                        let cache = self.caches.get_mut(&to).unwrap();
                        cache.push(chunk);
                        if cache.len() > self.memory {
                            cache.remove(0);
                        }
                    }
                    Err(error) => transfer.handle_failure(chunk, &source, error, self.now),
                }
            }
            Event::Announced { from, to, chunks } => {
                if matches!(self.faults[&to], Fault::Dead | Fault::Paused) {
                    return;
                }
                let transfer = self.transfers.get_mut(&to).unwrap();
                transfer.handle_announcement(&vm(from), &chunks, self.now);
            }
        }
    }
}

fn vm_index(vm: &VmId) -> usize {
    vm.as_str().strip_prefix("vm-").unwrap().parse().unwrap()
}
