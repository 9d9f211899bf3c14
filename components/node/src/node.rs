//! The common part of a process.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use audit::{AuditTrail, Change};
use base::{Incarnation, Revision, VmId};
use gossip::{Documents, Joining, Members, MembersSettings, Picker, Stated, Taken};
use metrics::{counter, gauge};
use net::{Latch, PeerCaller};
use proto::{DocumentKind, DocumentReply, DocumentRequest, MemberState};
use settings::Settings;
use slog::{Logger, warn};
use telemetry::names;

use crate::{
    Changes, NodeEvent,
    readers::Readers,
    talk::{Burst, Probes},
    watcher::Watcher,
};

/// Milliseconds of the wall clock since 1970.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Who this process is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its settings.
    pub settings: Settings,
    /// Its run.
    pub incarnation: Incarnation,
}

pub(crate) type Send = Arc<dyn Fn(NodeEvent) -> bool + std::marker::Send + Sync>;

/// Documents, members and trail of a process.
pub struct Node {
    /// Who this process is.
    pub identity: Identity,
    /// The documents in force.
    pub documents: Documents,
    /// What is known of the others.
    pub members: Members,
    /// The audit trail.
    pub trail: AuditTrail,
    /// Calls to the others.
    pub peers: PeerCaller,
    pub(crate) picker: Picker,
    pub(crate) rng: fastrand::Rng,
    pub(crate) send: Send,
    /// Questions to peers before this process acts; `None` once it may.
    pub(crate) joining: Option<Joining>,
    pub(crate) probes: Probes,
    pub(crate) burst: Burst,
    /// When gossip is due next.
    pub(crate) gossip_at: Instant,
    /// Documents that were asked for, with the time until which no other peer is asked.
    pub(crate) asked: Vec<(DocumentKind, Instant)>,
    log: Logger,
    manifest_watcher: Watcher,
    vms_watcher: Watcher,
    /// The revision of the VM list that was last known to be the newest, and when.
    vms_confirmed: Option<(Revision, Instant)>,
    readers: Readers,
}

impl Node {
    /// Starts to watch the platform; `send` delivers events to the actor that owns the node.
    pub fn start(
        identity: Identity,
        peers: PeerCaller,
        log: Logger,
        stop: Latch,
        send: impl Fn(NodeEvent) -> bool + std::marker::Send + Sync + 'static,
    ) -> Node {
        let send: Send = Arc::new(send);
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
        Node {
            documents: Documents::default(),
            members,
            picker: Picker::default(),
            joining: None,
            probes: Probes::default(),
            burst: Burst::new(now),
            gossip_at: now,
            asked: Vec::new(),
            readers: Readers::default(),
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
                let taken = self.documents.offer(kind, &text);
                self.taken(kind, taken, cause, now)
            }
            NodeEvent::Confirmed { kind, revision, at } => {
                if kind == DocumentKind::Vms {
                    self.confirm_vms(revision, at);
                }
                Changes::default()
            }
            NodeEvent::Replied { from, kind, reply } => self.replied(&from, kind, reply, now),
            NodeEvent::Gossiped { to, reply, at } => {
                self.gossiped(to, reply, at, now);
                Changes::default()
            }
            NodeEvent::Probed { vm, alive } => {
                self.probed(&vm, alive, now);
                Changes::default()
            }
        };
        changes.joined = self.end_joining(now);
        changes
    }

    /// The revision of the VM list that was last known to be the newest, and when.
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

    /// Milliseconds since the VM list in force was last known to be the newest.
    pub(crate) fn vms_age(&self) -> Option<u64> {
        let (revision, at) = self.vms_confirmed?;
        (revision == self.documents.vms().revision).then(|| at.elapsed().as_millis() as u64)
    }

    fn replied(
        &mut self,
        from: &VmId,
        kind: DocumentKind,
        reply: Option<DocumentReply>,
        now: Instant,
    ) -> Changes {
        self.asked.retain(|(asked, _)| *asked != kind);
        let Some(reply) = reply else { return Changes::default() };
        let taken = self.documents.offer_reply(kind, reply);
        if taken == Taken::Mismatch {
            let whole = DocumentRequest { kind, have: Revision(0) };
            self.fetch_document(from, whole, now);
        }
        self.taken(kind, taken, "peer", now)
    }

    fn taken(
        &mut self,
        kind: DocumentKind,
        taken: Taken,
        cause: &'static str,
        now: Instant,
    ) -> Changes {
        match taken {
            Taken::Old | Taken::Mismatch => Changes::default(),
            Taken::Refused { digest, why } => {
                counter!(names::REFUSED).increment(1);
                warn!(self.log, "document refused"; "kind" => ?kind, "why" => &why);
                let change = Change::ManifestRefused { digest: digest.to_string() };
                self.trail.record(change, why);
                Changes::default()
            }
            Taken::Accepted(revision) => {
                self.burst.spread();
                match kind {
                    DocumentKind::Manifest => {
                        gauge!(names::MANIFEST).set(revision.0 as f64);
                        self.trail.set_revision(revision);
                        self.trail.record(Change::ManifestAccepted { manifest: revision }, cause);
                        self.manifest_watcher.set_have(revision);
                        Changes { manifest: true, ..Changes::default() }
                    }
                    DocumentKind::Vms => {
                        gauge!(names::VMS).set(revision.0 as f64);
                        self.trail.record(Change::VmsAccepted { vms: revision }, cause);
                        self.vms_watcher.set_have(revision);
                        self.listed(now);
                        Changes { vms: true, ..Changes::default() }
                    }
                }
            }
        }
    }

    /// Takes in a new VM list; the first one tells whom to ask before this process acts.
    fn listed(&mut self, now: Instant) {
        let Settings { vm, zone, .. } = &self.identity.settings;
        let first = self.picker.others() == 0 && self.joining.is_none();
        self.readers.set_list(self.documents.vms(), zone);
        self.picker.set_list(self.documents.vms(), vm, zone);
        self.members.set_list(self.documents.vms());
        self.select_readers();
        if first {
            self.join(now);
        }
    }

    /// Reads from the platform if this process is one of the readers of its zone.
    pub(crate) fn select_readers(&mut self) {
        let me = &self.identity.settings.vm;
        let reads = self.readers.reads(me, |vm| self.members.is_gone(vm));
        self.vms_watcher.enable(reads);
        self.manifest_watcher.enable(reads);
    }

    /// Answers a call for a document.
    pub fn document(&self, request: &DocumentRequest) -> DocumentReply {
        self.documents.reply(request)
    }

    /// Sets the VMs of this process's own rollout, with which it shares what each one serves.
    pub fn set_group(&mut self, vms: &[VmId]) {
        self.picker.set_group(vms, &self.identity.settings.vm);
        self.members.set_group(vms.iter().cloned());
    }

    /// States what this process's endpoint serves, and whether it stops.
    pub fn state(&mut self, stated: Stated) {
        if stated.state == MemberState::Leaving && !self.members.is_leaving() {
            self.burst.spread();
        }
        self.members.state(stated);
    }
}
