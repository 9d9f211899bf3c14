//! Requests that were in progress when endpoints crashed. Such suspects are reported to the other
//! entries, retried on isolated endpoints, and refused once they have crashed too many endpoints.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use audit::Change;
use base::{Digest, VmId, rendezvous_first};
use manifest::{Role, Vm, VmState};
use proto::{CrashRecord, PeerClient};
use quarantine::{QuarantineStatus, RecordEffect};
use routing::{EndpointRequirements, PickedEndpoint};

use crate::{
    core::Core,
    event::{Event, Failure, RequestContext},
};

/// Maximum number of crash records in one message.
pub(crate) const MAX_RECORDS: usize = 64;
/// Number of entries that a new crash is sent to at once; each of them forwards it to as many.
const FANOUT: usize = 8;
/// Interval of the exchange of all records with one random entry.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of endpoints that are isolated for suspects.
const MAX_ISOLATED: usize = 4;
/// One endpoint may be isolated for each group of this many.
const ENDPOINTS_PER_ISOLATED: usize = 4;

/// Delay before a suspect runs, in which crash records of other entries can arrive.
const SETTLE_DELAY: Duration = Duration::from_millis(500);

/// Time after which a suspect that was not considered again no longer counts as waiting.
const WAIT_EXPIRY: Duration = Duration::from_secs(1);

/// Endpoints that are isolated to run suspects.
#[derive(Debug, Default)]
pub(crate) struct IsolatedEndpoints {
    /// Endpoints that get no other requests from this entry, and whether a suspect runs there.
    reserved: HashMap<VmId, bool>,
    /// Waiting suspects: since when they wait, and when they were last considered.
    waiting: HashMap<Digest, (Instant, Instant)>,
}

impl IsolatedEndpoints {
    /// Releases `vm` after an attempt there ended.
    pub(crate) fn finished(&mut self, vm: &VmId) {
        self.reserved.remove(vm);
    }

    /// Whether a suspect has waited for the settle delay.
    fn has_settled(&mut self, fingerprint: Digest, now: Instant) -> bool {
        let (since, seen) = self.waiting.entry(fingerprint).or_insert((now, now));
        *seen = now;
        now >= *since + SETTLE_DELAY
    }
}

/// Crash records to send to other entries.
#[derive(Debug)]
pub(crate) struct CrashBroadcast {
    unsent: Vec<CrashRecord>,
    next_exchange: Instant,
}

impl CrashBroadcast {
    pub(crate) fn new(now: Instant) -> CrashBroadcast {
        CrashBroadcast { unsent: Vec::new(), next_exchange: now }
    }
}

impl Core {
    /// Handles a failed attempt; its request becomes a suspect if the endpoint crashed.
    pub(crate) fn handle_failure(&mut self, last: &Failure, now: Instant) {
        self.isolated.finished(&last.vm);
        if let Some(record) = last.crash.clone() {
            self.record_crashes(&[record], now);
        }
    }

    /// Handles a failed attempt whose request is not retried.
    pub(crate) fn handle_loss(&mut self, last: &Failure, now: Instant) {
        self.handle_failure(last, now);
        self.finish_request(last.attempt, &last.vm, last.endpoint_outcome(), false, now);
    }

    /// Adds crash records to the crash tracker and queues new ones for broadcast.
    pub(crate) fn record_crashes(&mut self, records: &[CrashRecord], now: Instant) {
        for record in records {
            match self.crash_tracker.record(record, now) {
                RecordEffect::AlreadyKnown => continue,
                RecordEffect::New => {}
                RecordEffect::Quarantined => {
                    let change =
                        Change::Quarantined { fingerprint: record.fingerprint.to_string() };
                    self.node.trail.record(change, "was in progress when endpoints crashed");
                }
            }
            if self.crash_broadcast.unsent.len() < MAX_RECORDS {
                self.crash_broadcast.unsent.push(record.clone());
            }
        }
    }

    /// Sends new crash records to a few entries, and periodically all records to one entry.
    pub(crate) fn broadcast_crashes(&mut self, now: Instant) {
        let unsent = std::mem::take(&mut self.crash_broadcast.unsent);
        if !unsent.is_empty() {
            self.send_crashes(&unsent, FANOUT);
        }
        if now >= self.crash_broadcast.next_exchange {
            self.crash_broadcast.next_exchange = now + EXCHANGE_INTERVAL;
            let all = self.crash_tracker.records(MAX_RECORDS, now);
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
                    // An entry that does not reply gets the records from another.
                    if let Ok(records) = reply {
                        mailbox.send(Event::Crashes(records));
                    }
                },
            );
        }
    }

    /// Chooses the endpoint for a waiting request; a suspect gets an endpoint of its own.
    pub(crate) fn choose(
        &mut self,
        context: &RequestContext,
        now: Instant,
    ) -> Option<PickedEndpoint> {
        let mut avoid = self.stale_endpoints();
        if self.crash_tracker.status(&context.fingerprint) == QuarantineStatus::Suspect {
            if !self.isolated.has_settled(context.fingerprint, now) {
                return None;
            }
            let excluded = [avoid.clone(), self.owned_by_other_entries()].concat();
            let avoid = if self.pick(context, &excluded, now).is_some() { excluded } else { avoid };
            return self.choose_isolated(context, avoid, now);
        }
        avoid.extend(self.isolated.reserved.keys().cloned());
        self.pick(context, &avoid, now)
    }

    /// Picks an endpoint outside `avoid`, preferably one that was not tried yet.
    fn pick(
        &mut self,
        context: &RequestContext,
        avoid: &[VmId],
        now: Instant,
    ) -> Option<PickedEndpoint> {
        let requirements = EndpointRequirements {
            service: &context.service,
            release: context.release.as_ref(),
            avoid,
            tried: &context.tried,
        };
        self.router.pick(&requirements, now)
    }

    fn choose_isolated(
        &mut self,
        context: &RequestContext,
        avoid: Vec<VmId>,
        now: Instant,
    ) -> Option<PickedEndpoint> {
        let endpoints: Vec<(VmId, bool)> = self
            .router
            .endpoints()
            .map(|(vm, tracked)| (vm.clone(), tracked.in_flight > 0))
            .collect();
        let busy = endpoints.iter().filter(|(_, busy)| *busy).map(|(vm, _)| vm.clone());
        let occupied =
            self.isolated.reserved.iter().filter(|(_, runs)| **runs).map(|(vm, _)| vm.clone());
        let not_idle: Vec<VmId> = avoid.iter().cloned().chain(busy).chain(occupied).collect();
        if let Some(endpoint) = self.pick(context, &not_idle, now) {
            let already_reserved = self.isolated.reserved.contains_key(&endpoint.vm);
            if already_reserved || self.may_reserve(endpoints.len()) {
                self.isolated.reserved.insert(endpoint.vm.clone(), true);
                self.isolated.waiting.remove(&context.fingerprint);
                return Some(endpoint);
            }
        }
        if self.may_reserve(endpoints.len()) {
            let taken: Vec<VmId> =
                avoid.into_iter().chain(self.isolated.reserved.keys().cloned()).collect();
            if let Some(endpoint) = self.pick(context, &taken, now) {
                // It gets no new requests, and runs the suspect once it is idle.
                self.isolated.reserved.insert(endpoint.vm, false);
            }
        }
        None
    }

    /// Endpoints at which other entries run their suspects, by rendezvous hashing.
    fn owned_by_other_entries(&self) -> Vec<VmId> {
        let me = &self.node.identity.settings.vm;
        let vms = &self.node.documents.vms().vms;
        let entry = |vm: &&Vm| vm.role == Role::Entry && vm.state == VmState::Live;
        let entries: Vec<&VmId> = vms.iter().filter(entry).map(|vm| &vm.id).collect();
        let owner = |vm: &VmId| {
            rendezvous_first(vm.as_str().as_bytes(), entries.iter().copied(), VmId::as_str)
        };
        let endpoints = self.router.endpoints().map(|(vm, _)| vm);
        endpoints.filter(|vm| owner(vm).is_some_and(|entry| entry != me)).cloned().collect()
    }

    fn may_reserve(&self, endpoints: usize) -> bool {
        self.isolated.reserved.len() < (endpoints / ENDPOINTS_PER_ISOLATED).clamp(1, MAX_ISOLATED)
    }

    /// Releases isolated endpoints when no suspect waits for them any more.
    pub(crate) fn release_unused(&mut self, now: Instant) {
        let is_expired = |seen: Instant| now.saturating_duration_since(seen) > WAIT_EXPIRY;
        self.isolated.waiting.retain(|_, (_, seen)| !is_expired(*seen));
        if self.isolated.reserved.values().all(|runs| *runs) {
            return;
        }
        if !self.has_suspects() {
            self.isolated.reserved.retain(|_, runs| *runs);
        }
    }

    /// Endpoints whose last reported state is from before this process was last paused.
    fn stale_endpoints(&self) -> Vec<VmId> {
        let stale =
            self.router.endpoints().filter(|(_, tracked)| tracked.seen_at < self.resumed_at);
        stale.map(|(vm, _)| vm.clone()).collect()
    }
}
