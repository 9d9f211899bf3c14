//! The current manifest of processes that read it from a possibly stale service, query each other, and
//! restart.
//!
//! Documents and the queries after a start are the real `gossip::Documents` and `gossip::Joining`.
//! Replies arrive late, twice or never; an unreachable peer is either detected as such or just does
//! not reply.

use std::time::{Duration, Instant};

use base::{Rate, Revision, VmId};
use gossip::{Documents, Joining};
use manifest::{Manifest, Workspace};
use proto::{DocumentKind, DocumentReply, DocumentRequest};

use crate::{Specification, Transition};

/// A fault that disables one check of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A process accepts any document, newer or not.
    AcceptOlder,
    /// A process acts before it has queried its peers.
    SkipJoining,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Number of processes.
    pub processes: usize,
    /// Number of published revisions.
    pub revisions: u64,
    /// Maximum number of process restarts.
    pub restarts: u32,
    /// Maximum number of replies that arrive twice.
    pub duplicates: u32,
    /// The fault to inject, if any.
    pub fault: Option<Fault>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { processes: 2, revisions: 2, restarts: 1, duplicates: 1, fault: None }
    }
}

/// A state of the model.
#[derive(Debug, Clone)]
pub struct ModelState {
    settings: Settings,
    now: Instant,
    processes: Vec<Process>,
    replies: Vec<Reply>,
    violation: Option<&'static str>,
}

#[derive(Debug, Clone)]
struct Process {
    documents: Documents,
    /// Queries to its peers after a start; `None` once it acts.
    joining: Option<Joining>,
    /// The highest revision that peers reported since its start.
    max_peer_revision: Revision,
    /// Peers that replied since its start.
    replied: Vec<usize>,
    /// Peers that it detected as unreachable since its start.
    unreachable: Vec<usize>,
}

#[derive(Debug, Clone, PartialEq)]
struct Reply {
    to: usize,
    from: usize,
    /// The sender's revision when it replied.
    revision: Revision,
    reply: DocumentReply,
}

/// The transitions and invariants of this specification.
pub fn specification() -> Specification<ModelState> {
    Specification {
        name: "revision",
        transitions,
        violation: |state| state.violation,
        now: |state| state.now,
        horizon: Duration::ZERO,
    }
}

/// The manifest of a revision; its content differs for each revision.
fn manifest(revision: u64) -> Manifest {
    let workspace = Workspace {
        id: "counter".parse().expect("a well-formed id"),
        share: base::Permille::WHOLE,
        requests: Rate(revision as f64),
        queue: 1,
        keys: Vec::new(),
    };
    Manifest { revision: Revision(revision), workspaces: vec![workspace], ..Manifest::default() }
}

fn vm_id(process: usize) -> VmId {
    format!("vm-{process}").parse().expect("a well-formed id")
}

fn transitions(state: &ModelState) -> Vec<Transition<ModelState>> {
    let mut transitions = Vec::new();
    for i in 0..state.processes.len() {
        transitions.extend(state.process_transitions(i));
    }
    for k in 0..state.replies.len() {
        transitions.extend(state.deliveries(k));
    }
    for transition in &mut transitions {
        transition.state.replies.sort_by_cached_key(|reply| format!("{reply:?}"));
    }
    transitions
}

impl ModelState {
    /// The initial state: all processes have the first revision.
    pub fn new(settings: Settings) -> ModelState {
        let mut documents = Documents::default();
        documents.offer(DocumentKind::Manifest, manifest(1).to_text().as_bytes());
        let process = Process {
            documents,
            joining: None,
            max_peer_revision: Revision(0),
            replied: Vec::new(),
            unreachable: Vec::new(),
        };
        ModelState {
            now: Instant::now(),
            processes: vec![process; settings.processes],
            replies: Vec::new(),
            violation: None,
            settings,
        }
    }

    fn transition(
        &self,
        label: String,
        change: impl FnOnce(&mut ModelState),
    ) -> Transition<ModelState> {
        let mut state = self.clone();
        change(&mut state);
        Transition { label, state }
    }

    fn process_transitions(&self, i: usize) -> Vec<Transition<ModelState>> {
        let mut transitions = Vec::new();
        // The service may return any published revision.
        for revision in 1..=self.settings.revisions {
            transitions.push(self.transition(
                format!("process {i} reads revision {revision}"),
                |next| {
                    next.offer(i, DocumentReply::Whole(manifest(revision).to_text()));
                },
            ));
        }
        for from in (0..self.processes.len()).filter(|from| *from != i) {
            let reply = self.reply(i, from);
            if !self.replies.contains(&reply) {
                transitions.push(self.transition(
                    format!("process {from} replies to process {i}"),
                    |next| {
                        next.replies.push(reply);
                    },
                ));
            }
            let not_yet_unreachable = !self.processes[i].unreachable.contains(&from);
            if not_yet_unreachable && self.processes[i].joining.is_some() {
                let label = format!("process {i} finds process {from} unreachable");
                transitions.push(self.transition(label, |next| {
                    next.replies.retain(|reply| (reply.to, reply.from) != (i, from));
                    next.record_reply(i, from, None);
                }));
            }
        }
        if self.settings.restarts > 0 {
            transitions
                .push(self.transition(format!("process {i} restarts"), |next| next.restart(i)));
        }
        transitions
    }

    fn reply(&self, to: usize, from: usize) -> Reply {
        let have = self.processes[to].documents.manifest().revision;
        let documents = &self.processes[from].documents;
        let request = DocumentRequest { kind: DocumentKind::Manifest, have };
        let revision = documents.manifest().revision;
        Reply { to, from, revision, reply: documents.reply(&request) }
    }

    fn deliveries(&self, k: usize) -> Vec<Transition<ModelState>> {
        let Reply { to, from, revision, .. } = self.replies[k];
        let label = format!("process {to} receives revision {revision} from process {from}");
        let mut transitions = vec![self.transition(label.clone(), |next| next.deliver(k))];
        if self.settings.duplicates > 0 {
            transitions.push(self.transition(format!("{label}, and it is duplicated"), |next| {
                next.settings.duplicates -= 1;
                let reply = next.replies[k].clone();
                next.deliver(k);
                next.replies.push(reply);
            }));
        }
        transitions
    }

    fn deliver(&mut self, k: usize) {
        let Reply { to, from, revision, reply } = self.replies.remove(k);
        self.offer(to, reply);
        self.record_reply(to, from, Some(revision));
    }

    /// Offers a document to a process and checks its current manifest.
    fn offer(&mut self, i: usize, reply: DocumentReply) {
        let documents = &mut self.processes[i].documents;
        let before = documents.manifest().clone();
        match (self.settings.fault, reply) {
            (Some(Fault::AcceptOlder), DocumentReply::Whole(text)) => {
                *documents = Documents::default();
                documents.offer(DocumentKind::Manifest, text.as_bytes());
            }
            (_, reply) => {
                documents.offer_reply(DocumentKind::Manifest, reply);
            }
        }
        let after = documents.manifest();
        if after.revision < before.revision {
            self.violation = Some("the current revision never decreases");
        }
        if *after != manifest(after.revision.0) && after.revision.0 > 0 {
            self.violation = Some("the current manifest is a published one");
        }
        self.end_joining(i);
    }

    fn record_reply(&mut self, i: usize, from: usize, revision: Option<Revision>) {
        let process = &mut self.processes[i];
        if let Some(joining) = &mut process.joining {
            joining.record_reply(&vm_id(from), revision.map(|r| (r, Revision(0))));
            match revision {
                Some(revision) => {
                    process.max_peer_revision = process.max_peer_revision.max(revision);
                    process.replied.push(from);
                }
                None => process.unreachable.push(from),
            }
        }
        self.end_joining(i);
    }

    fn restart(&mut self, i: usize) {
        self.settings.restarts -= 1;
        let others = (0..self.processes.len()).filter(|j| *j != i).map(vm_id).collect();
        let joining = Some(Joining::new(others, self.now));
        let documents = Documents::default();
        let (max_peer_revision, replied, unreachable) = (Revision(0), Vec::new(), Vec::new());
        self.processes[i] = Process { documents, joining, max_peer_revision, replied, unreachable };
        // Replies to the earlier incarnation are lost with its connections.
        self.replies.retain(|reply| reply.to != i);
    }

    /// Lets the process act if it may. It must not be behind any revision that a peer reported.
    fn end_joining(&mut self, i: usize) {
        let skips_joining = self.settings.fault == Some(Fault::SkipJoining);
        let now = self.now;
        let process = &mut self.processes[i];
        let revision = process.documents.manifest().revision;
        let Some(joining) = &process.joining else { return };
        if !skips_joining && !joining.is_over(revision, Revision(0), now) {
            return;
        }
        if revision == Revision(0) {
            return;
        }
        let (max_peer_revision, replied) =
            (process.max_peer_revision, std::mem::take(&mut process.replied));
        let unreachable = std::mem::take(&mut process.unreachable);
        process.joining = None;
        let heard_from = |peer: usize| replied.contains(&peer) || unreachable.contains(&peer);
        let all = (0..self.processes.len()).all(|peer| peer == i || heard_from(peer));
        if !all || revision < max_peer_revision {
            self.violation =
                Some("a restarted process acts on no older revision than its peers report");
        }
    }
}
