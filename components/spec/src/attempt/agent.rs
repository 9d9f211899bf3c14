//! The agents' part: the real table, and a fake endpoint.

use super::*;

impl World {
    pub(super) fn agent_steps(&self) -> Vec<Step<World>> {
        let mut steps = Vec::new();
        for (i, attempt) in self.attempts.iter().enumerate() {
            match attempt.endpoint {
                Endpoint::Idle => {}
                Endpoint::Connecting => {
                    steps.push(self.step(format!("attempt {i} reaches the endpoint"), |w| {
                        w.attempts[i].endpoint = Endpoint::Running;
                        w.attempts[i].runs += 1;
                    }));
                    let label = format!("attempt {i} finds no endpoint");
                    steps.push(self.step(label, |w| w.finish(i, ExecutionStatus::NotRun)));
                }
                Endpoint::Running => {
                    steps.push(self.step(format!("attempt {i} is answered"), |w| {
                        w.finish(i, ExecutionStatus::Done);
                    }));
                    steps.push(self.step(format!("the endpoint crashes in attempt {i}"), |w| {
                        w.finish(i, ExecutionStatus::Unknown);
                    }));
                }
            }
        }
        if self.settings.restarts > 0 {
            let restart = |i| self.step(format!("agent {i} restarts"), |w| w.restart(i));
            steps.extend((0..self.agents.len()).map(restart));
        }
        steps
    }

    /// The endpoint keeps what it runs; the new run of the agent knows nothing of it.
    fn restart(&mut self, agent: usize) {
        self.settings.restarts -= 1;
        let run = self.agents[agent].run.next();
        let table = Attempts::new(run, AttemptsSettings::default(), self.now);
        self.agents[agent] = Agent { run, table };
    }

    fn finish(&mut self, index: usize, fate: ExecutionStatus) {
        let now = self.now;
        let Attempt { agent, run, .. } = self.attempts[index];
        self.attempts[index].endpoint = Endpoint::Idle;
        let agent = &mut self.agents[agent];
        if agent.run != run && self.settings.fault != Some(Fault::Incarnation) {
            return;
        }
        agent.table.finish(id(index), fate, now);
        if self.settings.fault == Some(Fault::Finished) {
            agent.table.tick(now + AttemptsSettings::default().retention);
        }
        self.send(index, Body::Ended(fate));
    }

    /// An agent receives a message.
    pub(super) fn at_agent(&self, message: &Message, label: &str) -> Vec<Step<World>> {
        let index = message.attempt;
        match message.body {
            Body::Offer => [true, false]
                .map(|accepting| {
                    let takes = if accepting { "an agent that serves" } else { "one that drains" };
                    self.step(format!("{label} at {takes}"), |w| w.offer(index, accepting))
                })
                .into(),
            Body::Cancel => vec![self.step(label.to_owned(), |w| w.cancel(message))],
            _ => vec![self.step(label.to_owned(), |w| {
                let reference = w.reference(index);
                let fate = w.agents[w.attempts[index].agent].table.fate(&reference, w.now);
                w.send(index, Body::Told(fate));
            })],
        }
    }

    /// The run that an agent takes an attempt to be made for.
    fn run_of(&self, index: usize) -> Incarnation {
        let attempt = &self.attempts[index];
        match self.settings.fault {
            Some(Fault::Incarnation) => self.agents[attempt.agent].run,
            _ => attempt.run,
        }
    }

    fn offer(&mut self, index: usize, accepting: bool) {
        let offer = AttemptRequest {
            attempt: id(index),
            incarnation: self.run_of(index),
            release: None,
            deadline: AttemptsSettings::default().max_deadline,
            stamp: self.attempts[index].stamp,
            key: None,
        };
        let now = self.now;
        let agent = &mut self.agents[self.attempts[index].agent];
        let before = agent.table.clone();
        match agent.table.try_start(&offer, accepting, None, now) {
            Ok(()) => self.attempts[index].endpoint = Endpoint::Connecting,
            Err(reason) => {
                if self.settings.fault == Some(Fault::Refusal) {
                    agent.table = before;
                }
                self.send(index, Body::Ended(refusal_fate(&reason)));
            }
        }
    }

    fn cancel(&mut self, message: &Message) {
        let index = message.attempt;
        let reference = self.reference(index);
        let now = self.now;
        let agent = &mut self.agents[self.attempts[index].agent];
        let before = agent.table.clone();
        let fate = agent.table.cancel(&reference, now);
        let new = agent.table.len() > before.len();
        if new && self.settings.fault == Some(Fault::Tombstone) {
            agent.table = before;
        }
        self.send(index, Body::Settled(fate));
    }

    fn reference(&self, index: usize) -> AttemptRef {
        AttemptRef {
            attempt: id(index),
            incarnation: self.run_of(index),
            stamp: self.attempts[index].stamp.as_millis() as u64,
        }
    }
}

fn id(index: usize) -> AttemptId {
    AttemptId(index as u128)
}

/// What an agent tells about an attempt that it refuses.
fn refusal_fate(reason: &RefusalReason) -> ExecutionStatus {
    match reason {
        RefusalReason::Duplicate | RefusalReason::Incarnation => ExecutionStatus::Unknown,
        _ => ExecutionStatus::NotRun,
    }
}
