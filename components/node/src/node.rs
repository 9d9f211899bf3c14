//! The part that all processes share.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use audit::{AuditTrail, Change};
use base::{Incarnation, Readers, Revision, VmId};
use gossip::{Documents, Joining, LocalState, Members, MembersSettings, OfferResult, Picker};
use metrics::{counter, gauge};
use net::{Latch, PeerCaller};
use proto::{DocumentKind, DocumentReply, DocumentRequest, MemberState};
use settings::Settings;
use slog::{Logger, warn};
use telemetry::names;

use crate::{
    Changes, NodeEvent,
    readers::zone_readers,
    talk::{BurstLimiter, Probes},
    watcher::Watcher,
};

/// Returns the wall clock in milliseconds since 1970.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Identity of this process.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Settings of the process.
    pub settings: Settings,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

pub(crate) type SendEvent = Arc<dyn Fn(NodeEvent) -> bool + std::marker::Send + Sync>;

/// Documents, membership and audit trail of a process.
pub struct Node {
    /// Identity of this process.
    pub identity: Identity,
    /// The documents in force.
    pub documents: Documents,
    /// The known members.
    pub members: Members,
    /// The audit trail.
    pub trail: AuditTrail,
    /// Client for RPC calls to peers.
    pub peers: PeerCaller,
    pub(crate) picker: Picker,
    pub(crate) rng: fastrand::Rng,
    pub(crate) send: SendEvent,
    /// The join phase, before which this process must not act; `None` once it has ended.
    pub(crate) joining: Option<Joining>,
    pub(crate) probes: Probes,
    pub(crate) burst_limiter: BurstLimiter,
    /// When the next regular gossip call is due.
    pub(crate) gossip_at: Instant,
    /// Documents that were requested, with the time until which no other peer is asked for them.
    pub(crate) requested: Vec<(DocumentKind, Instant)>,
    log: Logger,
    manifest_watcher: Watcher,
    vms_watcher: Watcher,
    /// The revision of the VM list that was last confirmed as the newest, and when.
    vms_confirmed: Option<(Revision, Instant)>,
    readers: Readers<VmId>,
}

impl Node {
    /// Starts watching the platform; `send` delivers events to the actor that owns the node.
    pub fn start(
        identity: Identity,
        peers: PeerCaller,
        log: Logger,
        stop: Latch,
        send: impl Fn(NodeEvent) -> bool + std::marker::Send + Sync + 'static,
    ) -> Node {
        let send: SendEvent = Arc::new(send);
        let platform = &identity.settings.platform;
        let watch = |kind, addrs: &Vec<SocketAddr>| {
            let send = send.clone();
            Watcher::start(kind, addrs.clone(), stop.clone(), move |event| send(event))
        };
        let manifest_watcher = watch(DocumentKind::Manifest, &platform.config);
        let vms_watcher = watch(DocumentKind::Vms, &platform.vms);
        let vm = identity.settings.vm.clone();
        let members = Members::new(vm, identity.incarnation, MembersSettings::default());
        let now = Instant::now();
        let readers = zone_readers(&manifest::VmList::default(), &identity.settings.zone);
        Node {
            documents: Documents::default(),
            members,
            picker: Picker::default(),
            joining: None,
            probes: Probes::default(),
            burst_limiter: BurstLimiter::new(now),
            gossip_at: now,
            requested: Vec::new(),
            readers,
            trail: AuditTrail::new(log.clone()),
            peers,
            log,
            manifest_watcher,
            vms_watcher,
            vms_confirmed: None,
            rng: fastrand::Rng::new(),
            send,
            identity,
        }
    }

    /// Handles an event; returns what it changed.
    pub fn handle(&mut self, event: NodeEvent, now: Instant) -> Changes {
        let mut changes = match event {
            NodeEvent::Document { kind, text, cause } => {
                let result = self.documents.offer(kind, &text);
                self.handle_offer_result(kind, result, cause, now)
            }
            NodeEvent::Confirmed { kind, revision, at } => {
                if kind == DocumentKind::Vms {
                    self.confirm_vms(revision, at);
                }
                Changes::default()
            }
            NodeEvent::DocumentReplied { from, kind, reply } => {
                self.handle_document_reply(&from, kind, reply, now)
            }
            NodeEvent::GossipReplied { to, reply, at } => {
                self.handle_gossip_reply(to, reply, at, now);
                Changes::default()
            }
            NodeEvent::Probed { vm, alive } => {
                self.handle_probe_result(&vm, alive, now);
                Changes::default()
            }
        };
        changes.joined = self.end_joining(now);
        changes
    }

    /// Returns the revision of the VM list that was last confirmed as the newest, and when.
    pub fn vms_confirmed(&self) -> Option<(Revision, Instant)> {
        self.vms_confirmed
    }

    pub(crate) fn confirm_vms(&mut self, revision: Revision, at: Instant) {
        if revision == self.documents.vms().revision {
            let newest =
                self.vms_confirmed.is_none_or(|(known, when)| (known, when) < (revision, at));
            if newest {
                self.vms_confirmed = Some((revision, at));
            }
        }
    }

    /// Returns the milliseconds since the VM list in force was last confirmed as the newest.
    pub(crate) fn vms_age_ms(&self) -> Option<u64> {
        let (revision, at) = self.vms_confirmed?;
        (revision == self.documents.vms().revision).then(|| at.elapsed().as_millis() as u64)
    }

    fn handle_document_reply(
        &mut self,
        from: &VmId,
        kind: DocumentKind,
        reply: Option<DocumentReply>,
        now: Instant,
    ) -> Changes {
        self.requested.retain(|(requested, _)| *requested != kind);
        let Some(reply) = reply else { return Changes::default() };
        let result = self.documents.offer_reply(kind, reply);
        if result == OfferResult::Mismatch {
            let full_request = DocumentRequest { kind, have: Revision(0) };
            self.fetch_document(from, full_request, now);
        }
        self.handle_offer_result(kind, result, "peer", now)
    }

    fn handle_offer_result(
        &mut self,
        kind: DocumentKind,
        result: OfferResult,
        cause: &'static str,
        now: Instant,
    ) -> Changes {
        match result {
            OfferResult::NotNewer | OfferResult::Mismatch => Changes::default(),
            OfferResult::Refused { digest, reason: why } => {
                counter!(names::REFUSED).increment(1);
                warn!(self.log, "document refused"; "kind" => ?kind, "why" => &why);
                let change = Change::ManifestRefused { digest: digest.to_string() };
                self.trail.record(change, why);
                Changes::default()
            }
            OfferResult::Accepted(revision) => {
                self.burst_limiter.request_spread();
                match kind {
                    DocumentKind::Manifest => {
                        gauge!(names::MANIFEST).set(revision.0 as f64);
                        self.trail.set_revision(revision);
                        self.trail.record(Change::ManifestAccepted { manifest: revision }, cause);
                        self.manifest_watcher.set_revision(revision);
                        Changes { manifest: true, ..Changes::default() }
                    }
                    DocumentKind::Vms => {
                        gauge!(names::VMS).set(revision.0 as f64);
                        self.trail.record(Change::VmsAccepted { vms: revision }, cause);
                        self.vms_watcher.set_revision(revision);
                        self.handle_vm_list(now);
                        Changes { vms: true, ..Changes::default() }
                    }
                }
            }
        }
    }

    /// Applies a new VM list; the first one starts the join phase.
    fn handle_vm_list(&mut self, now: Instant) {
        let Settings { vm, zone, .. } = &self.identity.settings;
        let first = self.picker.peer_count() == 0 && self.joining.is_none();
        self.readers = zone_readers(self.documents.vms(), zone);
        self.picker.set_list(self.documents.vms(), vm, zone);
        self.members.set_list(self.documents.vms());
        self.select_readers();
        if first {
            self.join(now);
        }
    }

    /// Enables the watchers of the platform if this process is one of the readers of its zone.
    pub(crate) fn select_readers(&mut self) {
        let me = &self.identity.settings.vm;
        let reads = self.readers.is_reader(me, |vm| self.members.is_gone(vm));
        self.vms_watcher.set_enabled(reads);
        self.manifest_watcher.set_enabled(reads);
    }

    /// Answers a peer's request for a document.
    pub fn document(&self, request: &DocumentRequest) -> DocumentReply {
        self.documents.reply(request)
    }

    /// Sets the VMs of the rollout that this process serves. They tell each other what each one
    /// serves.
    pub fn set_rollout_vms(&mut self, vms: &[VmId]) {
        self.picker.set_rollout_vms(vms, &self.identity.settings.vm);
        self.members.set_rollout_vms(vms.iter().cloned());
    }

    /// Publishes what the endpoint of this process serves, and whether the process is stopping.
    pub fn publish_state(&mut self, stated: LocalState) {
        if stated.state == MemberState::Leaving && !self.members.is_leaving() {
            self.burst_limiter.request_spread();
        }
        self.members.publish_state(stated);
    }
}
