//! The entry's actor: admits requests, queues them and chooses endpoints.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use audit::Change;
use base::{AttemptId, ReleaseId, RolloutId, VmId, WorkspaceId};
use crossbeam_channel::Sender;
use fastrand::Rng;
use limits::{Admission, RetryBudget, RetrySettings};
use manifest::{Role, VmState};
use net::{Mailbox, PeerCall, answer_call};
use node::{Node, NodeEvent};
use placement::{Placement, place};
use proto::{EndpointRow, MemberState, Outcome, PeerClient, RolloutRow, Status};
use quarantine::{Ledger, LedgerSettings, Verdict};
use routing::{Candidate, Router, RouterSettings};
use stakker::{CX, after, stop};

use crate::event::{Ask, Decision, Event, Failure, Grant, Refusal};

/// Time between looks at the queue.
const TICK: Duration = Duration::from_millis(20);
/// Time between gossip calls.
const GOSSIP_EVERY: Duration = Duration::from_millis(200);
/// Time between questions to each endpoint's agent.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// Most requests that wait for an endpoint.
const MAX_QUEUE: usize = 1024;

/// A request that waits for an endpoint.
struct Waiting {
    ask: Ask,
    workspace: WorkspaceId,
    reply: Sender<Decision>,
    /// No endpoint is chosen before.
    not_before: Instant,
}

/// The actor.
pub(crate) struct Core {
    node: Node,
    mailbox: Mailbox<Event>,
    router: Router,
    admission: Admission,
    retries: RetryBudget,
    ledger: Ledger,
    placement: Placement,
    queue: VecDeque<Waiting>,
    in_flight: usize,
    draining: Option<Instant>,
    gossip_at: Instant,
    ask_at: Instant,
    /// Since when each rollout's release is wanted.
    since: Vec<(RolloutId, ReleaseId, Instant)>,
    rng: Rng,
}

impl Core {
    pub(crate) fn init(cx: CX![], node: Node, mailbox: Mailbox<Event>) -> Option<Self> {
        let now = cx.now();
        let zone = node.identity.settings.zone.clone();
        after!(TICK, [cx], tick());
        Some(Core {
            node,
            mailbox,
            router: Router::new(zone, RouterSettings::default(), Rng::new()),
            admission: Admission::default(),
            retries: RetryBudget::new(RetrySettings::default()),
            ledger: Ledger::new(LedgerSettings::default()),
            placement: Placement::default(),
            queue: VecDeque::new(),
            in_flight: 0,
            draining: None,
            gossip_at: now,
            ask_at: now,
            since: Vec::new(),
            rng: Rng::new(),
        })
    }

    pub(crate) fn handle(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        match event {
            Event::Peer(call) => self.answer(call, now),
            Event::Node(event) => self.node_event(event, now),
            Event::Endpoint { vm, state: Some(state) } if state.vm == vm => {
                self.router.observe(state, now);
                self.serve_queue(now);
            }
            Event::Endpoint { vm, .. } => self.node.members.missed(&vm, now),
            Event::Arrived { ask, reply } => self.arrived(ask, reply, now),
            Event::Again { ask, last, reply } => self.again(ask, &last, reply, now),
            Event::Answered { vm } => {
                self.retries.succeeded();
                self.ended(&vm, false, now);
            }
            Event::Ended { vm, failed } => self.ended(&vm, failed, now),
            Event::Drain => self.drain(now),
        }
        self.stop_if_drained(cx);
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        if now >= self.gossip_at {
            self.gossip_at = now + GOSSIP_EVERY;
            self.node.tick(now);
            self.update_candidates(now);
            for digest in self.ledger.tick(now) {
                let change = Change::Released { fingerprint: digest.to_string() };
                self.node.trail.record(change, "expired");
            }
        }
        if now >= self.ask_at {
            self.ask_at = now + ASK_EVERY;
            self.ask_endpoints();
        }
        self.serve_queue(now);
        self.stop_if_drained(cx);
        after!(TICK, [cx], tick());
    }

    fn drain(&mut self, now: Instant) {
        if self.draining.is_none() {
            self.draining = Some(now + self.node.identity.settings.drain.0);
            self.node.trail.record(Change::Draining, "planned stop");
            self.node.state(MemberState::Leaving, None);
        }
    }

    fn stop_if_drained(&mut self, cx: CX![]) {
        let Some(until) = self.draining else { return };
        let idle = self.in_flight == 0 && self.queue.is_empty();
        if idle || cx.now() >= until {
            stop!(cx);
        }
    }

    fn node_event(&mut self, event: NodeEvent, now: Instant) {
        let changes = self.node.handle(event, now);
        if !changes.any() {
            return;
        }
        self.placement = place(self.node.documents.manifest(), self.node.documents.vms());
        self.admission.set_manifest(self.node.documents.manifest());
        self.note_releases(now);
        self.update_candidates(now);
    }

    fn note_releases(&mut self, now: Instant) {
        let manifest = self.node.documents.manifest();
        let wanted = manifest.rollouts.iter().filter_map(|rollout| {
            let release = manifest.release(rollout)?.id;
            let same = |s: &&(_, _, _)| s.0 == rollout.id && s.1 == release;
            let since = self.since.iter().find(same).map_or(now, |s| s.2);
            Some((rollout.id.clone(), release, since))
        });
        self.since = wanted.collect();
    }

    fn update_candidates(&mut self, now: Instant) {
        let gone = |vm: &VmId| self.node.members.is_gone(vm);
        let vms = &self.node.documents.vms().vms;
        let candidates = vms
            .iter()
            .filter(|vm| vm.role != Role::Entry && vm.state == VmState::Live && !gone(&vm.id))
            .map(|vm| Candidate { vm: vm.id.clone(), zone: vm.zone.clone() })
            .collect();
        let (added, removed) = self.router.set_candidates(candidates, now);
        for vm in added {
            self.node.trail.record(Change::RoutedIn { vm }, "listed and not gone");
        }
        for vm in removed {
            self.node.trail.record(Change::RoutedOut { vm }, "leaving, gone or off the list");
        }
    }

    fn ask_endpoints(&self) {
        for (id, _) in self.router.endpoints() {
            let Some(vm) = self.node.documents.vms().get(id) else { continue };
            let (vm, mailbox) = (vm.clone(), self.mailbox.clone());
            self.node.peers.call(
                vm.control,
                |client| async move { client.endpoint().await },
                move |state| {
                    mailbox.send(Event::Endpoint { vm: vm.id, state: state.ok() });
                },
            );
        }
    }

    fn arrived(&mut self, ask: Ask, reply: Sender<Decision>, now: Instant) {
        match self.admit(&ask, now) {
            Ok(workspace) => {
                self.in_flight += 1;
                self.queue.push_back(Waiting { ask, workspace, reply, not_before: now });
                self.serve_queue(now);
            }
            Err(refusal) => decide(&reply, Decision::Refuse(refusal)),
        }
    }

    fn admit(&mut self, ask: &Ask, now: Instant) -> Result<WorkspaceId, Refusal> {
        if self.draining.is_some() {
            return Err(not_run(503, "this entry stops; retry in 1s at another", Some(1)));
        }
        let manifest = self.node.documents.manifest();
        let workspace = manifest.workspace_of(&ask.key).map(|w| w.id.clone());
        let workspace = workspace
            .ok_or_else(|| not_run(401, "the key is not known; use a key of a workspace", None))?;
        if manifest.service(&ask.service).is_none() {
            let message = format!("service {} does not exist; check the path", ask.service);
            return Err(not_run(404, &message, None));
        }
        if self.ledger.verdict(&ask.fingerprint) == Verdict::Quarantined {
            let message = "requests like this one crashed endpoints; change it";
            return Err(not_run(422, message, None));
        }
        let entries = self.live_entries();
        let part = 1.0 / entries.max(1) as f64;
        self.admission.admit(manifest, &workspace, part, now).map_err(|refusal| match refusal {
            limits::Refusal::Unknown => not_run(401, "the workspace is gone; use another", None),
            limits::Refusal::Rate { retry } => {
                let seconds = retry.as_secs() + 1;
                let message = format!("the workspace is over its rate; retry in {seconds}s");
                not_run(429, &message, Some(seconds))
            }
        })?;
        if self.queue.len() >= MAX_QUEUE {
            return Err(not_run(503, "too many requests wait; retry in 1s", Some(1)));
        }
        Ok(workspace)
    }

    fn live_entries(&self) -> usize {
        let vms = &self.node.documents.vms().vms;
        vms.iter().filter(|vm| vm.role == Role::Entry && vm.state == VmState::Live).count()
    }

    /// Gives endpoints to the requests that wait, oldest first.
    fn serve_queue(&mut self, now: Instant) {
        for _ in 0..self.queue.len() {
            let Some(waiting) = self.queue.pop_front() else { break };
            if now >= waiting.ask.deadline {
                self.in_flight -= 1;
                let refusal = not_run(503, "no endpoint was free in time; retry in 1s", Some(1));
                decide(&waiting.reply, Decision::Refuse(refusal));
                continue;
            }
            if now < waiting.not_before {
                self.queue.push_back(waiting);
                continue;
            }
            match self.grant(&waiting, now) {
                Some(grant) => {
                    self.router.started(&grant.choice.vm);
                    decide(&waiting.reply, Decision::Go(grant));
                }
                None => self.queue.push_back(waiting),
            }
        }
    }

    fn grant(&mut self, waiting: &Waiting, now: Instant) -> Option<Grant> {
        let ask = &waiting.ask;
        let release = ask.release.as_ref();
        let choice = self
            .router
            .pick(&ask.service, release, &ask.tried, now)
            .or_else(|| self.router.pick(&ask.service, release, &[], now))?;
        let vm = self.node.documents.vms().get(&choice.vm)?;
        let service = self.node.documents.manifest().service(&ask.service)?;
        Some(Grant {
            attempt: AttemptId(self.rng.u128(..)),
            data: vm.data,
            control: vm.control,
            workspace: waiting.workspace.clone(),
            repeatable: service.repeatable(&ask.method, &ask.path),
            choice,
        })
    }

    fn again(&mut self, ask: Ask, last: &Failure, reply: Sender<Decision>, now: Instant) {
        self.router.finished(&last.vm, last.fault, now);
        if last.crashed && self.ledger.crashed(ask.fingerprint, now) {
            let change = Change::Quarantined { fingerprint: ask.fingerprint.to_string() };
            self.node.trail.record(change, "was in progress when endpoints crashed");
        }
        match self.retry(&ask, last, now) {
            Ok((workspace, not_before)) => {
                self.queue.push_back(Waiting { ask, workspace, reply, not_before });
                self.serve_queue(now);
            }
            Err(refusal) => {
                self.in_flight -= 1;
                decide(&reply, Decision::Refuse(refusal));
            }
        }
    }

    fn retry(
        &mut self,
        ask: &Ask,
        last: &Failure,
        now: Instant,
    ) -> Result<(WorkspaceId, Instant), Refusal> {
        let outcome = last.outcome;
        let refuse = |status, message: &str| Refusal {
            status,
            message: message.to_owned(),
            outcome,
            retry_after: Some(1),
        };
        let manifest = self.node.documents.manifest();
        let workspace = manifest.workspace_of(&ask.key).map(|w| w.id.clone());
        let workspace = workspace.ok_or_else(|| refuse(401, "the key is not known any more"))?;
        if self.ledger.verdict(&ask.fingerprint) == Verdict::Quarantined {
            let message = "requests like this one crashed endpoints; change it";
            return Err(refuse(422, message));
        }
        let nth = ask.tried.len() as u32;
        let backoff = self.retries.take(nth, &mut self.rng);
        let backoff = backoff.ok_or_else(|| refuse(503, "too many requests fail; retry in 1s"))?;
        Ok((workspace, now + backoff))
    }

    fn ended(&mut self, vm: &VmId, failed: bool, now: Instant) {
        self.router.finished(vm, failed, now);
        self.in_flight -= 1;
        self.serve_queue(now);
    }

    fn answer(&mut self, call: PeerCall, now: Instant) {
        match call {
            PeerCall::Gossip(gossip, reply) => answer_call(reply, self.node.gossip(gossip, now)),
            PeerCall::Document(request, reply) => {
                answer_call(reply, self.node.document(&request));
            }
            PeerCall::Status(reply) => answer_call(reply, self.status(now)),
            PeerCall::Audit(from, reply) => answer_call(reply, self.node.trail.page(from)),
            // Only agents serve these; the dropped reply says so.
            PeerCall::Announce(_)
            | PeerCall::Endpoint(_)
            | PeerCall::Cancel(..)
            | PeerCall::Fate(..) => {}
        }
    }

    fn status(&self, now: Instant) -> Status {
        let documents = &self.node.documents;
        Status {
            vm: self.node.identity.settings.vm.clone(),
            role: "entry".to_owned(),
            manifest: documents.manifest().revision,
            refused: documents.refused().map(str::to_owned),
            vms: documents.vms().revision,
            accepting: self.draining.is_none(),
            in_flight: self.in_flight,
            origin_bytes: 0,
            rollouts: self.since.iter().map(|row| self.rollout_row(row, now)).collect(),
            endpoints: self.router.endpoints().map(|(vm, k)| endpoint_row(vm, k)).collect(),
            quarantined: self.ledger.quarantined().iter().map(|d| d.to_string()).collect(),
        }
    }

    fn rollout_row(&self, row: &(RolloutId, ReleaseId, Instant), now: Instant) -> RolloutRow {
        let (rollout, release, since) = row;
        let vms = self.placement.vms_of(rollout);
        let ready = |vm: &&VmId| {
            let member = self.node.members.get(vm);
            member.is_some_and(|m| m.serving.as_ref() == Some(release))
        };
        RolloutRow {
            rollout: rollout.clone(),
            release: release.clone(),
            ready: vms.iter().filter(ready).count(),
            wanted: vms.len(),
            seconds: now.duration_since(*since).as_secs_f64(),
        }
    }
}

fn endpoint_row(vm: &VmId, known: &routing::Known) -> EndpointRow {
    let serving = known.state.as_ref().and_then(|s| s.serving.as_ref());
    let state = match &known.state {
        None => "suspect",
        Some(state) if state.accepting => "ready",
        Some(_) => "out",
    };
    EndpointRow {
        vm: vm.clone(),
        release: serving.and_then(|s| s.release.clone()),
        state: state.to_owned(),
        in_flight: known.in_flight,
    }
}

fn not_run(status: u16, message: &str, retry_after: Option<u64>) -> Refusal {
    let outcome = Outcome::NotRun;
    Refusal { status, message: message.to_owned(), outcome, retry_after }
}

/// Answers the thread that handles a request; it always waits for the answer.
fn decide(reply: &Sender<Decision>, decision: Decision) {
    let _ = reply.send(decision);
}
