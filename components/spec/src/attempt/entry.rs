//! The entries' part.

use super::*;

impl World {
    pub(super) fn entry_steps(&self) -> Vec<Step<World>> {
        let mut steps = Vec::new();
        for (i, attempt) in self.attempts.iter().enumerate() {
            let age = self.now.duration_since(attempt.made);
            if attempt.entry == Entry::Open && age <= self.settings.patience {
                steps.push(self.step(format!("the entry cancels attempt {i}"), |w| {
                    w.attempts[i].entry = Entry::Settling;
                    w.send(i, Body::Cancel);
                }));
            }
            if self.settings.queries > 0 {
                steps.push(self.step(format!("the entry asks what became of attempt {i}"), |w| {
                    w.settings.queries -= 1;
                    w.send(i, Body::Query);
                }));
            }
        }
        let done = self.attempts.iter().all(|a| self.may_go_on(a));
        if done && self.attempts.len() < self.settings.attempts {
            steps.extend(self.new_attempts());
        }
        steps
    }

    /// Whether the request may be tried again after an attempt.
    fn may_go_on(&self, attempt: &Attempt) -> bool {
        let repeats = self.settings.fault == Some(Fault::Repeat);
        attempt.denied || (repeats && attempt.entry == Entry::Closed)
    }

    /// An attempt at any agent, for any run of it that an entry may have heard of.
    fn new_attempts(&self) -> Vec<Step<World>> {
        let mut steps = Vec::new();
        for (agent, current) in self.agents.iter().enumerate() {
            for run in (1..=current.run.0).map(Incarnation) {
                let label = format!(
                    "attempt {} is made at run {run} of agent {agent}",
                    self.attempts.len()
                );
                steps.push(self.step(label, |w| w.make(agent, run)));
            }
        }
        steps
    }

    fn make(&mut self, agent: usize, run: Incarnation) {
        let stamp = self.agents[agent].table.clock(self.now);
        self.attempts.push(Attempt {
            agent,
            run,
            made: self.now,
            stamp,
            entry: Entry::Open,
            endpoint: Endpoint::Idle,
            runs: 0,
            denied: false,
        });
        self.send(self.attempts.len() - 1, Body::Offer);
    }

    /// An entry receives a message.
    pub(super) fn at_entry(&mut self, message: &Message) {
        let attempt = &mut self.attempts[message.attempt];
        let (awaited, fate) = match message.body {
            Body::Ended(fate) => (Entry::Open, fate),
            Body::Settled(fate) => (Entry::Settling, fate),
            // A query changes nothing, but what it tells must be true.
            Body::Told(fate) => {
                attempt.denied |= fate == ExecutionStatus::NotRun;
                return;
            }
            Body::Offer | Body::Cancel | Body::Query => return,
        };
        if attempt.entry == awaited {
            attempt.entry = Entry::Closed;
            attempt.denied |= fate == ExecutionStatus::NotRun;
        }
    }
}
