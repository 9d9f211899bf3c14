//! Requests that were in progress when endpoints crashed: they are told to other entries, tried
//! again apart from others, and refused once they crashed too many.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use audit::Change;
use base::{Digest, VmId, highest};
use manifest::{Role, Vm, VmState};
use proto::{CrashRecord, PeerClient};
use quarantine::{QuarantineStatus, RecordEffect};
use routing::{EndpointRequirements, PickedEndpoint};

use crate::{
    core::Core,
    event::{Ask, Event, Failure},
};

/// Most crash records in one message.
pub(crate) const MAX_RECORDS: usize = 64;
/// Entries that are told of a new crash at once; each tells as many.
const FANOUT: usize = 8;
/// Time between exchanges of all records with one entry.
const EXCHANGE_EVERY: Duration = Duration::from_secs(5);
/// Most endpoints that are set apart for suspects.
const MAX_LANES: usize = 4;
/// Of how many endpoints one may be set apart.
const ENDPOINTS_PER_LANE: usize = 4;

/// Time that a suspect waits before it runs, in which other entries tell their crashes.
const SETTLE: Duration = Duration::from_millis(500);

/// Time after which a suspect that is not looked at no longer waits.
const GONE: Duration = Duration::from_secs(1);

/// Endpoints that are set apart for suspects.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    /// Endpoints that get no other work from this entry, and whether a suspect runs there.
    open: HashMap<VmId, bool>,
    /// Suspects that wait: since when, and when they were last looked at.
    waiting: HashMap<Digest, (Instant, Instant)>,
}

impl Lanes {
    /// A suspect that ran on `vm` ended.
    pub(crate) fn finished(&mut self, vm: &VmId) {
        self.open.remove(vm);
    }

    /// Whether a suspect has waited long enough.
    fn has_settled(&mut self, fingerprint: Digest, now: Instant) -> bool {
        let (since, seen) = self.waiting.entry(fingerprint).or_insert((now, now));
        *seen = now;
        now >= *since + SETTLE
    }
}

/// Crash records to tell.
#[derive(Debug)]
pub(crate) struct CrashNews {
    fresh: Vec<CrashRecord>,
    exchange_at: Instant,
}

impl CrashNews {
    pub(crate) fn new(now: Instant) -> CrashNews {
        CrashNews { fresh: Vec::new(), exchange_at: now }
    }
}

impl Core {
    /// An attempt of a request was lost; it becomes a suspect if the endpoint crashed.
    pub(crate) fn suspect(&mut self, last: &Failure, now: Instant) {
        self.lanes.finished(&last.vm);
        if let Some(record) = last.crash.clone() {
            self.learn_crashes(&[record], now);
        }
    }

    /// An attempt was lost, and its request with it.
    pub(crate) fn lost(&mut self, last: &Failure, now: Instant) {
        self.suspect(last, now);
        self.ended(last.attempt, &last.vm, last.end(), false, now);
    }

    /// Takes in crash records, and passes those on that are news.
    pub(crate) fn learn_crashes(&mut self, records: &[CrashRecord], now: Instant) {
        for record in records {
            match self.ledger.record(record, now) {
                RecordEffect::AlreadyKnown => continue,
                RecordEffect::New => {}
                RecordEffect::Quarantined => {
                    let change =
                        Change::Quarantined { fingerprint: record.fingerprint.to_string() };
                    self.node.trail.record(change, "was in progress when endpoints crashed");
                }
            }
            if self.crash_news.fresh.len() < MAX_RECORDS {
                self.crash_news.fresh.push(record.clone());
            }
        }
    }

    /// Tells a few entries the newest crashes, and one entry all of them from time to time.
    pub(crate) fn tell_crashes(&mut self, now: Instant) {
        let fresh = std::mem::take(&mut self.crash_news.fresh);
        if !fresh.is_empty() {
            self.send_crashes(&fresh, FANOUT);
        }
        if now >= self.crash_news.exchange_at {
            self.crash_news.exchange_at = now + EXCHANGE_EVERY;
            let all = self.ledger.records(MAX_RECORDS, now);
            if !all.is_empty() {
                self.send_crashes(&all, 1);
            }
        }
    }

    fn send_crashes(&mut self, records: &[CrashRecord], count: usize) {
        let me = &self.node.identity.settings.vm;
        let other = |vm: &&Vm| vm.role == Role::Entry && vm.state == VmState::Live && vm.id != *me;
        let mut others: Vec<Vm> =
            self.node.documents.vms().vms.iter().filter(other).cloned().collect();
        self.rng.shuffle(&mut others);
        for vm in others.into_iter().take(count) {
            let (records, mailbox) = (records.to_vec(), self.mailbox.clone());
            self.node.peers.call(
                vm.control,
                move |client| async move { client.crashes(records).await },
                move |reply| {
                    // An entry that does not answer learns from another.
                    if let Ok(records) = reply {
                        mailbox.send(Event::Crashes(records));
                    }
                },
            );
        }
    }

    /// Chooses the endpoint for a request that waits; a suspect gets one to itself.
    pub(crate) fn choose(&mut self, ask: &Ask, now: Instant) -> Option<PickedEndpoint> {
        let mut avoid = self.unsure();
        if self.ledger.status(&ask.fingerprint) == QuarantineStatus::Suspect {
            if !self.lanes.has_settled(ask.fingerprint, now) {
                return None;
            }
            let foreign = [avoid.clone(), self.foreign()].concat();
            let apart = if self.pick(ask, &foreign, now).is_some() { foreign } else { avoid };
            return self.choose_apart(ask, apart, now);
        }
        avoid.extend(self.lanes.open.keys().cloned());
        self.pick(ask, &avoid, now)
    }

    /// Picks an endpoint that was not tried, or else any, but none of `avoid`.
    fn pick(&mut self, ask: &Ask, avoid: &[VmId], now: Instant) -> Option<PickedEndpoint> {
        let need = EndpointRequirements {
            service: &ask.service,
            release: ask.release.as_ref(),
            avoid,
            tried: &ask.tried,
        };
        self.router.pick(&need, now)
    }

    fn choose_apart(
        &mut self,
        ask: &Ask,
        avoid: Vec<VmId>,
        now: Instant,
    ) -> Option<PickedEndpoint> {
        let endpoints: Vec<(VmId, bool)> =
            self.router.endpoints().map(|(vm, known)| (vm.clone(), known.in_flight > 0)).collect();
        let busy = endpoints.iter().filter(|(_, busy)| *busy).map(|(vm, _)| vm.clone());
        let occupied = self.lanes.open.iter().filter(|(_, runs)| **runs).map(|(vm, _)| vm.clone());
        let not_idle: Vec<VmId> = avoid.iter().cloned().chain(busy).chain(occupied).collect();
        if let Some(choice) = self.pick(ask, &not_idle, now) {
            let reserved = self.lanes.open.contains_key(&choice.vm);
            if reserved || self.may_open(endpoints.len()) {
                self.lanes.open.insert(choice.vm.clone(), true);
                self.lanes.waiting.remove(&ask.fingerprint);
                return Some(choice);
            }
        }
        if self.may_open(endpoints.len()) {
            let taken: Vec<VmId> =
                avoid.into_iter().chain(self.lanes.open.keys().cloned()).collect();
            if let Some(choice) = self.pick(ask, &taken, now) {
                // It gets no more work, and takes the suspect once it is idle.
                self.lanes.open.insert(choice.vm, false);
            }
        }
        None
    }

    /// Endpoints where other entries run their suspects.
    fn foreign(&self) -> Vec<VmId> {
        let me = &self.node.identity.settings.vm;
        let vms = &self.node.documents.vms().vms;
        let entry = |vm: &&Vm| vm.role == Role::Entry && vm.state == VmState::Live;
        let entries: Vec<&VmId> = vms.iter().filter(entry).map(|vm| &vm.id).collect();
        let owner =
            |vm: &VmId| highest(vm.as_str().as_bytes(), entries.iter().copied(), VmId::as_str);
        let endpoints = self.router.endpoints().map(|(vm, _)| vm);
        endpoints.filter(|vm| owner(vm).is_some_and(|entry| entry != me)).cloned().collect()
    }

    fn may_open(&self, endpoints: usize) -> bool {
        self.lanes.open.len() < (endpoints / ENDPOINTS_PER_LANE).clamp(1, MAX_LANES)
    }

    /// Gives endpoints back that were set apart for suspects that no longer wait.
    pub(crate) fn close_lanes(&mut self, now: Instant) {
        let left = |seen: Instant| now.saturating_duration_since(seen) > GONE;
        self.lanes.waiting.retain(|_, (_, seen)| !left(*seen));
        if self.lanes.open.values().all(|runs| *runs) {
            return;
        }
        if !self.has_suspects() {
            self.lanes.open.retain(|_, runs| *runs);
        }
    }

    /// Endpoints whose state is from before this process last woke late.
    fn unsure(&self) -> Vec<VmId> {
        let old = self.router.endpoints().filter(|(_, known)| known.seen_at < self.woke);
        old.map(|(vm, _)| vm.clone()).collect()
    }
}
