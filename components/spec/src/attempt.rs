//! Attempts of one unrepeatable request: entries, agents and endpoints with messages that are lost,
//! late or doubled, and agents that restart.
//!
//! The table of each agent is the real `attempts::Attempts`. A lost message is one that is never
//! delivered. A caller that was told "not run" may come back at any entry, which may know any run
//! of any agent.

use std::time::{Duration, Instant};

use attempts::{AttemptRequest, Attempts, AttemptsSettings};
use base::{AttemptId, Incarnation};
use proto::{AttemptRef, ExecutionStatus, RefusalReason};

use crate::{Rules, Step};

mod agent;
mod entry;

/// A check that the specification bypasses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An agent takes attempts that were made for another run as its own.
    Incarnation,
    /// A cancelled attempt that had not arrived is not remembered.
    Tombstone,
    /// A refused attempt is not remembered.
    Refusal,
    /// A finished attempt is forgotten at once.
    Finished,
    /// An entry repeats a request when it does not know whether it ran.
    Repeat,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Agents.
    pub agents: usize,
    /// Attempts of the request.
    pub attempts: usize,
    /// Restarts of agents.
    pub restarts: u32,
    /// Messages that are delivered twice.
    pub doubles: u32,
    /// Queries for the fate of an attempt.
    pub queries: u32,
    /// Steps of time of `UNIT` each.
    pub units: u32,
    /// Age of an attempt up to which its entry still asks to cancel it.
    pub patience: Duration,
    /// The check that is bypassed.
    pub fault: Option<Fault>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            agents: 2,
            attempts: 2,
            restarts: 1,
            doubles: 1,
            queries: 1,
            units: 0,
            patience: AttemptsSettings::default().max_deadline,
            fault: None,
        }
    }
}

/// One step of time, and the longest way of a message; a quarter of the retention.
pub const UNIT: Duration = Duration::from_secs(150);

/// Longer than any exploration lasts.
const HORIZON: Duration = Duration::from_secs(86_400);

/// A world of this specification.
#[derive(Debug, Clone)]
pub struct World {
    now: Instant,
    settings: Settings,
    agents: Vec<Agent>,
    attempts: Vec<Attempt>,
    /// Messages that may still arrive, in a canonical order.
    wire: Vec<Message>,
}

#[derive(Debug, Clone)]
struct Agent {
    run: Incarnation,
    table: Attempts,
}

#[derive(Debug, Clone)]
struct Attempt {
    agent: usize,
    run: Incarnation,
    made: Instant,
    /// The agent's clock when the attempt was made.
    stamp: Duration,
    entry: Entry,
    endpoint: Endpoint,
    /// Times that the endpoint ran it.
    runs: u32,
    /// Whether its entry was told that it did not run and never will.
    denied: bool,
}

/// Where the entry is with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Entry {
    /// It awaits the answer.
    Open,
    /// It lost the connection and asked to cancel.
    Settling,
    /// It knows all that it will know.
    Closed,
}

/// Where the endpoint is with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Endpoint {
    Idle,
    /// The agent accepted the attempt and connects.
    Connecting,
    Running,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Message {
    body: Body,
    attempt: usize,
    sent: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Body {
    Offer,
    Cancel,
    Query,
    /// Ends the connection that carried the offer.
    Ended(ExecutionStatus),
    /// Answers a cancel.
    Settled(ExecutionStatus),
    /// Answers a query.
    Told(ExecutionStatus),
}

/// The rules of this specification.
pub fn rules() -> Rules<World> {
    Rules {
        name: "attempt",
        steps,
        broken,
        now: |world| world.now,
        // Agents' clocks count from their start.
        horizon: HORIZON,
    }
}

fn broken(world: &World) -> Option<&'static str> {
    if world.attempts.iter().any(|a| a.denied && a.runs > 0) {
        return Some("what was said not to run never runs");
    }
    let runs: u32 = world.attempts.iter().map(|a| a.runs).sum();
    (runs > 1).then_some("an unrepeatable request runs at most once")
}

fn steps(world: &World) -> Vec<Step<World>> {
    let mut steps = world.entry_steps();
    steps.extend(world.agent_steps());
    steps.extend(world.deliveries());
    steps.extend(world.pass_time());
    for step in &mut steps {
        step.world.drop_ignored();
        step.world.wire.sort_by_cached_key(|message| format!("{message:?}"));
    }
    steps
}

impl World {
    /// No attempt was made yet.
    pub fn new(settings: Settings) -> World {
        let now = Instant::now();
        let agent = || Agent {
            run: Incarnation(1),
            table: Attempts::new(Incarnation(1), AttemptsSettings::default(), now),
        };
        World {
            now,
            agents: (0..settings.agents).map(|_| agent()).collect(),
            attempts: Vec::new(),
            wire: Vec::new(),
            settings,
        }
    }

    fn step(&self, label: String, change: impl FnOnce(&mut World)) -> Step<World> {
        let mut world = self.clone();
        change(&mut world);
        Step { label, world }
    }

    fn send(&mut self, attempt: usize, body: Body) {
        let message = Message { body, attempt, sent: self.now };
        if !self.wire.contains(&message) {
            self.wire.push(message);
        }
    }

    /// Drops messages that change nothing when they arrive, now or later.
    fn drop_ignored(&mut self) {
        let attempts = &self.attempts;
        self.wire.retain(|message| {
            let entry = attempts[message.attempt].entry;
            match message.body {
                Body::Ended(_) => entry == Entry::Open,
                Body::Settled(_) => entry != Entry::Closed,
                Body::Told(fate) => fate == ExecutionStatus::NotRun,
                Body::Offer | Body::Cancel | Body::Query => true,
            }
        });
    }

    fn deliveries(&self) -> Vec<Step<World>> {
        let mut steps = Vec::new();
        for (i, message) in self.wire.iter().enumerate() {
            let Message { body, attempt, .. } = message.clone();
            steps.extend(self.delivered(i, &format!("{body:?} of attempt {attempt} arrives")));
            if self.settings.doubles > 0 {
                let label = format!("{body:?} of attempt {attempt} arrives and will again");
                let mut doubled = self.clone();
                doubled.settings.doubles -= 1;
                doubled.wire.push(message.clone());
                steps.extend(doubled.delivered(i, &label));
            }
        }
        steps
    }

    fn delivered(&self, index: usize, label: &str) -> Vec<Step<World>> {
        let mut world = self.clone();
        let message = world.wire.remove(index);
        match message.body {
            Body::Offer | Body::Cancel | Body::Query => world.at_agent(&message, label),
            Body::Ended(_) | Body::Settled(_) | Body::Told(_) => {
                vec![world.step(label.to_owned(), |w| w.at_entry(&message))]
            }
        }
    }

    /// Time passes; messages that were on the way for longer than `UNIT` are lost.
    fn pass_time(&self) -> Option<Step<World>> {
        let settings = &self.settings;
        (settings.units > 0).then(|| {
            self.step(format!("{}s pass", UNIT.as_secs()), |w| {
                w.settings.units -= 1;
                w.now += UNIT;
                let now = w.now;
                w.wire.retain(|message| now.duration_since(message.sent) <= UNIT);
                w.agents.iter_mut().for_each(|agent| agent.table.tick(now));
            })
        })
    }
}
