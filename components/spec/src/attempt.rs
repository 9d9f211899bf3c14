//! Attempts of one request that must not be retried: entries, agents and endpoints with messages that
//! are lost, delayed or duplicated, and agents that restart.
//!
//! The table of each agent is the real `attempts::Attempts`. A lost message is one that is never
//! delivered. A caller that was told "not run" may retry at any entry, which may know any incarnation
//! of any agent.

use std::time::{Duration, Instant};

use attempts::{AttemptRequest, Attempts, AttemptsSettings};
use base::{AttemptId, Incarnation};
use proto::{AttemptRef, ExecutionStatus, RefusalReason};

use crate::{Specification, Transition};

mod agent;
mod entry;

/// A fault that disables one check of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An agent accepts attempts that were addressed to another incarnation.
    IgnoreIncarnation,
    /// An agent does not remember a cancelled attempt that had not arrived yet.
    ForgetCancelled,
    /// An agent does not remember a refused attempt.
    ForgetRefused,
    /// An agent forgets a finished attempt immediately.
    ForgetFinished,
    /// An entry retries a request without knowing whether it ran.
    RetryUnknown,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Number of agents.
    pub agents: usize,
    /// Maximum number of attempts of the request.
    pub attempts: usize,
    /// Maximum number of agent restarts.
    pub restarts: u32,
    /// Maximum number of messages that are delivered twice.
    pub duplicates: u32,
    /// Maximum number of queries for the execution status of an attempt.
    pub queries: u32,
    /// Maximum number of time steps of `TIME_STEP` each.
    pub time_transitions: u32,
    /// Age of an attempt up to which its entry still cancels it.
    pub cancel_timeout: Duration,
    /// The fault to inject, if any.
    pub fault: Option<Fault>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            agents: 2,
            attempts: 2,
            restarts: 1,
            duplicates: 1,
            queries: 1,
            time_transitions: 0,
            cancel_timeout: AttemptsSettings::default().max_deadline,
            fault: None,
        }
    }
}

/// Length of a time step, and the maximum delay of a message; a quarter of the retention.
pub const TIME_STEP: Duration = Duration::from_secs(150);

/// Longer than the simulated time of any exploration.
const HORIZON: Duration = Duration::from_secs(86_400);

/// A state of the model.
#[derive(Debug, Clone)]
pub struct ModelState {
    now: Instant,
    settings: Settings,
    agents: Vec<Agent>,
    attempts: Vec<Attempt>,
    /// Messages that may still arrive, in canonical order.
    in_transit: Vec<Message>,
}

#[derive(Debug, Clone)]
struct Agent {
    incarnation: Incarnation,
    table: Attempts,
}

#[derive(Debug, Clone)]
struct Attempt {
    agent: usize,
    incarnation: Incarnation,
    created_at: Instant,
    /// The agent's clock when the attempt was made.
    stamp: Duration,
    entry: EntryPhase,
    endpoint: EndpointPhase,
    /// How often the endpoint ran it.
    run_count: u32,
    /// Whether its entry was told that it did not run and never will run.
    reported_not_run: bool,
}

/// The entry's state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryPhase {
    /// The entry waits for the response.
    AwaitingResponse,
    /// The entry lost the connection and sent a cancel.
    Cancelling,
    /// The entry has a final result.
    Done,
}

/// The endpoint's state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndpointPhase {
    Idle,
    /// The agent accepted the attempt and connects to the endpoint.
    Connecting,
    Running,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Message {
    payload: Payload,
    attempt: usize,
    sent_at: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Payload {
    Start,
    Cancel,
    Query,
    /// Ends the connection that carried the start message.
    Ended(ExecutionStatus),
    /// Reply to a cancel.
    CancelReply(ExecutionStatus),
    /// Reply to a query.
    QueryReply(ExecutionStatus),
}

/// The transitions and invariants of this specification.
pub fn specification() -> Specification<ModelState> {
    Specification {
        name: "attempt",
        transitions,
        violation,
        now: |state| state.now,
        // Each agent's clock counts from its start.
        horizon: HORIZON,
    }
}

fn violation(state: &ModelState) -> Option<&'static str> {
    if state.attempts.iter().any(|a| a.reported_not_run && a.run_count > 0) {
        return Some("an attempt that was reported as not run never runs");
    }
    let run_count: u32 = state.attempts.iter().map(|a| a.run_count).sum();
    (run_count > 1).then_some("a request that must not be retried runs at most once")
}

fn transitions(state: &ModelState) -> Vec<Transition<ModelState>> {
    let mut transitions = state.entry_transitions();
    transitions.extend(state.agent_transitions());
    transitions.extend(state.deliveries());
    transitions.extend(state.advance_time());
    for transition in &mut transitions {
        transition.state.drop_irrelevant_messages();
        transition.state.in_transit.sort_by_cached_key(|message| format!("{message:?}"));
    }
    transitions
}

impl ModelState {
    /// The initial state, without attempts.
    pub fn new(settings: Settings) -> ModelState {
        let now = Instant::now();
        let agent = || Agent {
            incarnation: Incarnation(1),
            table: Attempts::new(Incarnation(1), AttemptsSettings::default(), now),
        };
        ModelState {
            now,
            agents: (0..settings.agents).map(|_| agent()).collect(),
            attempts: Vec::new(),
            in_transit: Vec::new(),
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

    fn send(&mut self, attempt: usize, payload: Payload) {
        let message = Message { payload, attempt, sent_at: self.now };
        if !self.in_transit.contains(&message) {
            self.in_transit.push(message);
        }
    }

    /// Drops messages that have no effect, whenever they arrive.
    fn drop_irrelevant_messages(&mut self) {
        let attempts = &self.attempts;
        self.in_transit.retain(|message| {
            let entry = attempts[message.attempt].entry;
            match message.payload {
                Payload::Ended(_) => entry == EntryPhase::AwaitingResponse,
                Payload::CancelReply(_) => entry != EntryPhase::Done,
                Payload::QueryReply(fate) => fate == ExecutionStatus::NotRun,
                Payload::Start | Payload::Cancel | Payload::Query => true,
            }
        });
    }

    fn deliveries(&self) -> Vec<Transition<ModelState>> {
        let mut transitions = Vec::new();
        for (i, message) in self.in_transit.iter().enumerate() {
            let Message { payload, attempt, .. } = message.clone();
            transitions
                .extend(self.deliver(i, &format!("{payload:?} of attempt {attempt} arrives")));
            if self.settings.duplicates > 0 {
                let label = format!("{payload:?} of attempt {attempt} arrives and is duplicated");
                let mut duplicated = self.clone();
                duplicated.settings.duplicates -= 1;
                duplicated.in_transit.push(message.clone());
                transitions.extend(duplicated.deliver(i, &label));
            }
        }
        transitions
    }

    fn deliver(&self, index: usize, label: &str) -> Vec<Transition<ModelState>> {
        let mut state = self.clone();
        let message = state.in_transit.remove(index);
        match message.payload {
            Payload::Start | Payload::Cancel | Payload::Query => {
                state.deliver_to_agent(&message, label)
            }
            Payload::Ended(_) | Payload::CancelReply(_) | Payload::QueryReply(_) => {
                vec![state.transition(label.to_owned(), |next| next.deliver_to_entry(&message))]
            }
        }
    }

    /// Advances time; messages in transit for longer than `TIME_STEP` are lost.
    fn advance_time(&self) -> Option<Transition<ModelState>> {
        let settings = &self.settings;
        (settings.time_transitions > 0).then(|| {
            self.transition(format!("{}s pass", TIME_STEP.as_secs()), |next| {
                next.settings.time_transitions -= 1;
                next.now += TIME_STEP;
                let now = next.now;
                next.in_transit.retain(|message| now.duration_since(message.sent_at) <= TIME_STEP);
                next.agents.iter_mut().for_each(|agent| agent.table.tick(now));
            })
        })
    }
}
