//! The common part of a process.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use audit::{Change, Trail};
use base::{Incarnation, ReleaseId, Revision, VmId, ranked};
use gossip::{Documents, Members, MembersSettings, Taken};
use manifest::{Vm, VmState};
use metrics::{counter, gauge};
use net::{Latch, Peers};
use proto::{DocumentKind, DocumentReply, DocumentRequest, Gossip, MemberState, PeerClient};
use settings::Settings;
use slog::{Logger, warn};
use telemetry::names;

use crate::{Changes, NodeEvent, watcher::Watcher};

/// Processes in each zone that read from the platform.
const READERS_PER_ZONE: usize = 2;

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

type Send = Arc<dyn Fn(NodeEvent) -> bool + std::marker::Send + Sync>;

/// Documents, members and trail of a process.
pub struct Node {
    /// Who this process is.
    pub identity: Identity,
    /// The documents in force.
    pub documents: Documents,
    /// What is known of the others.
    pub members: Members,
    /// The audit trail.
    pub trail: Trail,
    /// Calls to the others.
    pub peers: Peers,
    log: Logger,
    manifest_watcher: Watcher,
    vms_watcher: Watcher,
    /// The revision of the VM list that was last known to be the newest, and when.
    vms_confirmed: Option<(Revision, Instant)>,
    rng: fastrand::Rng,
    send: Send,
}

impl Node {
    /// Starts to watch the platform; `send` delivers events to the actor that owns the node.
    pub fn start(
        identity: Identity,
        peers: Peers,
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
        Node {
            documents: Documents::default(),
            members,
            trail: Trail::new(log.clone()),
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

    /// Handles an event; returns the documents that came into force.
    pub fn handle(&mut self, event: NodeEvent, now: Instant) -> Changes {
        match event {
            NodeEvent::Document { kind, text, cause } => self.take(kind, &text, cause),
            NodeEvent::Confirmed { kind, revision, at } => {
                if kind == DocumentKind::Vms {
                    self.confirm_vms(revision, at);
                }
                Changes::default()
            }
            NodeEvent::Gossiped { to, reply: Some(gossip), at } => {
                counter!(names::GOSSIP, "result" => "replied").increment(1);
                if let Some(age) = gossip.vms_age_ms {
                    let then = at.checked_sub(Duration::from_millis(age)).unwrap_or(at);
                    self.confirm_vms(gossip.vms, then);
                }
                self.learn(&to, gossip, now);
                Changes::default()
            }
            NodeEvent::Gossiped { to, reply: None, .. } => {
                counter!(names::GOSSIP, "result" => "missed").increment(1);
                self.members.missed(&to, now);
                Changes::default()
            }
        }
    }

    /// The revision of the VM list that was last known to be the newest, and when.
    pub fn vms_confirmed(&self) -> Option<(Revision, Instant)> {
        self.vms_confirmed
    }

    fn confirm_vms(&mut self, revision: Revision, at: Instant) {
        if revision == self.documents.vms().revision {
            let newest =
                self.vms_confirmed.is_none_or(|(known, when)| (known, when) < (revision, at));
            if newest {
                self.vms_confirmed = Some((revision, at));
            }
        }
    }

    fn take(&mut self, kind: DocumentKind, text: &[u8], cause: &'static str) -> Changes {
        match self.documents.offer(kind, text) {
            Taken::Old => Changes::default(),
            Taken::Refused { digest, why } => {
                counter!(names::REFUSED).increment(1);
                warn!(self.log, "document refused"; "kind" => ?kind, "why" => &why);
                let change = Change::ManifestRefused { digest: digest.to_string() };
                self.trail.record(change, why);
                Changes::default()
            }
            Taken::Accepted(revision) => {
                self.select_readers();
                match kind {
                    DocumentKind::Manifest => {
                        gauge!(names::MANIFEST).set(revision.0 as f64);
                        self.trail.set_revision(revision);
                        self.trail.record(Change::ManifestAccepted { manifest: revision }, cause);
                        self.manifest_watcher.set_have(revision);
                        Changes { manifest: true, vms: false }
                    }
                    DocumentKind::Vms => {
                        gauge!(names::VMS).set(revision.0 as f64);
                        self.trail.record(Change::VmsAccepted { vms: revision }, cause);
                        self.vms_watcher.set_have(revision);
                        Changes { manifest: false, vms: true }
                    }
                }
            }
        }
    }

    /// Reads from the platform if this process is one of the readers of its zone, or knows nothing.
    fn select_readers(&mut self) {
        let settings = &self.identity.settings;
        let vms = &self.documents.vms().vms;
        let in_zone = vms.iter().filter(|v| v.zone == settings.zone && v.state == VmState::Live);
        let order = ranked(settings.zone.as_str().as_bytes(), in_zone, |vm| vm.id.as_str());
        let reader = order.iter().take(READERS_PER_ZONE).any(|vm| vm.id == settings.vm);
        let listed = order.iter().any(|vm| vm.id == settings.vm);
        self.vms_watcher.enable(reader || !listed);
        self.manifest_watcher.enable(reader || !listed);
    }

    /// Answers a gossip call.
    pub fn gossip(&mut self, gossip: Gossip, now: Instant) -> Gossip {
        let from = gossip.from.clone();
        self.learn(&from, gossip, now);
        self.message()
    }

    /// Answers a call for a document.
    pub fn document(&self, request: &DocumentRequest) -> DocumentReply {
        self.documents.reply(request)
    }

    fn learn(&mut self, from: &VmId, gossip: Gossip, now: Instant) {
        for request in self.documents.wanted(gossip.manifest, gossip.vms) {
            self.fetch_document(from, request);
        }
        self.members.learn(gossip.members, now);
    }

    fn fetch_document(&self, from: &VmId, request: DocumentRequest) {
        let Some(vm) = self.documents.vms().get(from) else { return };
        let kind = request.kind;
        let send = self.send.clone();
        self.peers.call(
            vm.control,
            move |client| async move { client.document(request).await },
            move |reply| {
                if let Some(text) = reply.ok().and_then(|r| r.text) {
                    send(NodeEvent::Document { kind, text: text.into_bytes(), cause: "peer" });
                }
            },
        );
    }

    fn message(&mut self) -> Gossip {
        Gossip {
            from: self.identity.settings.vm.clone(),
            incarnation: self.identity.incarnation,
            manifest: self.documents.manifest().revision,
            vms: self.documents.vms().revision,
            vms_age_ms: self.vms_age(),
            members: self.members.news(),
        }
    }

    fn vms_age(&self) -> Option<u64> {
        let (revision, at) = self.vms_confirmed?;
        (revision == self.documents.vms().revision).then(|| at.elapsed().as_millis() as u64)
    }

    /// Gossips with one random member and judges the suspects.
    pub fn tick(&mut self, now: Instant) {
        self.members.tick(self.documents.vms(), now);
        let me = &self.identity.settings.vm;
        let vms = &self.documents.vms().vms;
        let others: Vec<&Vm> = vms.iter().filter(|vm| vm.id != *me).collect();
        if others.is_empty() {
            return;
        }
        let vm = others[self.rng.usize(..others.len())].clone();
        let message = self.message();
        let send = self.send.clone();
        let at = Instant::now();
        self.peers.call(
            vm.control,
            move |client| async move { client.gossip(message).await },
            move |reply| {
                send(NodeEvent::Gossiped { to: vm.id, reply: reply.ok(), at });
            },
        );
    }

    /// States what this process's endpoint serves, and whether it stops.
    pub fn state(&mut self, state: MemberState, serving: Option<ReleaseId>) {
        self.members.state(state, serving);
    }
}
