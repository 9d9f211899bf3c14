//! The manifest in force: processes that read a service which may be stale, ask each other, and
//! restart.
//!
//! Documents and the questions after a start are the real `gossip::Documents` and
//! `gossip::Joining`. Replies arrive late, twice or never; peers that cannot be reached are known
//! to be so or keep silent.

use std::time::{Duration, Instant};

use base::{Rate, Revision, VmId};
use gossip::{Documents, Joining};
use manifest::{Manifest, Workspace};
use proto::{DocumentKind, DocumentReply, DocumentRequest};

use crate::{Rules, Step};

/// A check that the specification bypasses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A process takes any document, newer or not.
    Older,
    /// A process acts before it asked others.
    Join,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Processes.
    pub processes: usize,
    /// Revisions that are published.
    pub revisions: u64,
    /// Restarts of processes.
    pub restarts: u32,
    /// Replies that arrive twice.
    pub doubles: u32,
    /// The check that is bypassed.
    pub fault: Option<Fault>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { processes: 2, revisions: 2, restarts: 1, doubles: 1, fault: None }
    }
}

/// A world of this specification.
#[derive(Debug, Clone)]
pub struct World {
    settings: Settings,
    now: Instant,
    processes: Vec<Process>,
    replies: Vec<Reply>,
    broken: Option<&'static str>,
}

#[derive(Debug, Clone)]
struct Process {
    documents: Documents,
    /// Questions to the others after a start; `None` once it acts.
    joining: Option<Joining>,
    /// The highest revision that peers told it of since its start.
    told: Revision,
    /// Peers that replied since its start.
    heard: Vec<usize>,
    /// Peers that it found unreachable since its start.
    lost: Vec<usize>,
}

#[derive(Debug, Clone, PartialEq)]
struct Reply {
    to: usize,
    from: usize,
    /// The sender's revision when it replied.
    revision: Revision,
    reply: DocumentReply,
}

/// The rules of this specification.
pub fn rules() -> Rules<World> {
    Rules {
        name: "revision",
        steps,
        broken: |world| world.broken,
        now: |world| world.now,
        horizon: Duration::ZERO,
    }
}

/// The manifest of a revision; each differs from the one before.
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

fn name(process: usize) -> VmId {
    format!("vm-{process}").parse().expect("a well-formed id")
}

fn steps(world: &World) -> Vec<Step<World>> {
    let mut steps = Vec::new();
    for i in 0..world.processes.len() {
        steps.extend(world.process_steps(i));
    }
    for k in 0..world.replies.len() {
        steps.extend(world.deliveries(k));
    }
    for step in &mut steps {
        step.world.replies.sort_by_cached_key(|reply| format!("{reply:?}"));
    }
    steps
}

impl World {
    /// All processes have the first revision in force.
    pub fn new(settings: Settings) -> World {
        let mut documents = Documents::default();
        documents.offer(DocumentKind::Manifest, manifest(1).to_text().as_bytes());
        let process = Process {
            documents,
            joining: None,
            told: Revision(0),
            heard: Vec::new(),
            lost: Vec::new(),
        };
        World {
            now: Instant::now(),
            processes: vec![process; settings.processes],
            replies: Vec::new(),
            broken: None,
            settings,
        }
    }

    fn step(&self, label: String, change: impl FnOnce(&mut World)) -> Step<World> {
        let mut world = self.clone();
        change(&mut world);
        Step { label, world }
    }

    fn process_steps(&self, i: usize) -> Vec<Step<World>> {
        let mut steps = Vec::new();
        // The service is stale to any extent.
        for revision in 1..=self.settings.revisions {
            steps.push(self.step(format!("process {i} reads revision {revision}"), |w| {
                w.offer(i, DocumentReply::Whole(manifest(revision).to_text()));
            }));
        }
        for from in (0..self.processes.len()).filter(|from| *from != i) {
            let reply = self.reply(i, from);
            if !self.replies.contains(&reply) {
                steps.push(self.step(format!("process {from} answers process {i}"), |w| {
                    w.replies.push(reply);
                }));
            }
            let asked = !self.processes[i].lost.contains(&from);
            if asked && self.processes[i].joining.is_some() {
                let label = format!("process {i} finds process {from} unreachable");
                steps.push(self.step(label, |w| {
                    w.replies.retain(|reply| (reply.to, reply.from) != (i, from));
                    w.hear(i, from, None);
                }));
            }
        }
        if self.settings.restarts > 0 {
            steps.push(self.step(format!("process {i} restarts"), |w| w.restart(i)));
        }
        steps
    }

    fn reply(&self, to: usize, from: usize) -> Reply {
        let have = self.processes[to].documents.manifest().revision;
        let documents = &self.processes[from].documents;
        let request = DocumentRequest { kind: DocumentKind::Manifest, have };
        let revision = documents.manifest().revision;
        Reply { to, from, revision, reply: documents.reply(&request) }
    }

    fn deliveries(&self, k: usize) -> Vec<Step<World>> {
        let Reply { to, from, revision, .. } = self.replies[k];
        let label = format!("process {to} hears of revision {revision} from process {from}");
        let mut steps = vec![self.step(label.clone(), |w| w.deliver(k))];
        if self.settings.doubles > 0 {
            steps.push(self.step(format!("{label}, and will again"), |w| {
                w.settings.doubles -= 1;
                let reply = w.replies[k].clone();
                w.deliver(k);
                w.replies.push(reply);
            }));
        }
        steps
    }

    fn deliver(&mut self, k: usize) {
        let Reply { to, from, revision, reply } = self.replies.remove(k);
        self.offer(to, reply);
        self.hear(to, from, Some(revision));
    }

    /// Takes in a document and checks what is in force then.
    fn offer(&mut self, i: usize, reply: DocumentReply) {
        let documents = &mut self.processes[i].documents;
        let before = documents.manifest().clone();
        match (self.settings.fault, reply) {
            (Some(Fault::Older), DocumentReply::Whole(text)) => {
                *documents = Documents::default();
                documents.offer(DocumentKind::Manifest, text.as_bytes());
            }
            (_, reply) => {
                documents.offer_reply(DocumentKind::Manifest, reply);
            }
        }
        let after = documents.manifest();
        if after.revision < before.revision {
            self.broken = Some("the revision in force never falls");
        }
        if *after != manifest(after.revision.0) && after.revision.0 > 0 {
            self.broken = Some("what is in force is what was published");
        }
        self.end_joining(i);
    }

    fn hear(&mut self, i: usize, from: usize, revision: Option<Revision>) {
        let process = &mut self.processes[i];
        if let Some(joining) = &mut process.joining {
            joining.record_reply(&name(from), revision.map(|r| (r, Revision(0))));
            match revision {
                Some(revision) => {
                    process.told = process.told.max(revision);
                    process.heard.push(from);
                }
                None => process.lost.push(from),
            }
        }
        self.end_joining(i);
    }

    fn restart(&mut self, i: usize) {
        self.settings.restarts -= 1;
        let others = (0..self.processes.len()).filter(|j| *j != i).map(name).collect();
        let joining = Some(Joining::new(others, self.now));
        let documents = Documents::default();
        let (told, heard, lost) = (Revision(0), Vec::new(), Vec::new());
        self.processes[i] = Process { documents, joining, told, heard, lost };
        // Replies to the earlier run are lost with its connections.
        self.replies.retain(|reply| reply.to != i);
    }

    /// The process acts once it may; peers that could be asked must not know of a newer revision.
    fn end_joining(&mut self, i: usize) {
        let skips = self.settings.fault == Some(Fault::Join);
        let now = self.now;
        let process = &mut self.processes[i];
        let revision = process.documents.manifest().revision;
        let Some(joining) = &process.joining else { return };
        if !skips && !joining.is_over(revision, Revision(0), now) {
            return;
        }
        if revision == Revision(0) {
            return;
        }
        let (told, heard) = (process.told, std::mem::take(&mut process.heard));
        let lost = std::mem::take(&mut process.lost);
        process.joining = None;
        let asked = |peer: usize| heard.contains(&peer) || lost.contains(&peer);
        let all = (0..self.processes.len()).all(|peer| peer == i || asked(peer));
        if !all || revision < told {
            self.broken = Some("a restarted process acts on nothing older than its peers state");
        }
    }
}
