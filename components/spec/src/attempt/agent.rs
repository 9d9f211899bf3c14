//! Transitions of the agents: the real attempt table, and a fake endpoint.

use super::*;

impl ModelState {
    pub(super) fn agent_transitions(&self) -> Vec<Transition<ModelState>> {
        let mut transitions = Vec::new();
        for (i, attempt) in self.attempts.iter().enumerate() {
            match attempt.endpoint {
                EndpointPhase::Idle => {}
                EndpointPhase::Connecting => {
                    transitions.push(self.transition(
                        format!("attempt {i} reaches the endpoint"),
                        |next| {
                            next.attempts[i].endpoint = EndpointPhase::Running;
                            next.attempts[i].run_count += 1;
                        },
                    ));
                    let label = format!("attempt {i} cannot reach the endpoint");
                    transitions.push(
                        self.transition(label, |next| next.finish(i, ExecutionStatus::NotRun)),
                    );
                }
                EndpointPhase::Running => {
                    transitions.push(self.transition(format!("attempt {i} is answered"), |next| {
                        next.finish(i, ExecutionStatus::Done);
                    }));
                    transitions.push(self.transition(
                        format!("the endpoint crashes in attempt {i}"),
                        |next| {
                            next.finish(i, ExecutionStatus::Unknown);
                        },
                    ));
                }
            }
        }
        if self.settings.restarts > 0 {
            let restart =
                |i| self.transition(format!("agent {i} restarts"), |next| next.restart(i));
            transitions.extend((0..self.agents.len()).map(restart));
        }
        transitions
    }

    /// Restarts an agent. The endpoint keeps running its attempts, of which the new incarnation knows
    /// nothing.
    fn restart(&mut self, agent: usize) {
        self.settings.restarts -= 1;
        let incarnation = self.agents[agent].incarnation.next();
        let table = Attempts::new(incarnation, AttemptsSettings::default(), self.now);
        self.agents[agent] = Agent { incarnation, table };
    }

    fn finish(&mut self, index: usize, fate: ExecutionStatus) {
        let now = self.now;
        let Attempt { agent, incarnation, .. } = self.attempts[index];
        self.attempts[index].endpoint = EndpointPhase::Idle;
        let agent = &mut self.agents[agent];
        if agent.incarnation != incarnation && self.settings.fault != Some(Fault::IgnoreIncarnation)
        {
            return;
        }
        agent.table.finish(id(index), fate, now);
        if self.settings.fault == Some(Fault::ForgetFinished) {
            agent.table.tick(now + AttemptsSettings::default().retention);
        }
        self.send(index, Payload::Ended(fate));
    }

    /// Delivers a message to its agent.
    pub(super) fn deliver_to_agent(
        &self,
        message: &Message,
        label: &str,
    ) -> Vec<Transition<ModelState>> {
        let index = message.attempt;
        match message.payload {
            Payload::Start => [true, false]
                .map(|accepting| {
                    let receiver =
                        if accepting { "an accepting agent" } else { "a draining agent" };
                    self.transition(format!("{label} at {receiver}"), |next| {
                        next.start(index, accepting)
                    })
                })
                .into(),
            Payload::Cancel => vec![self.transition(label.to_owned(), |next| next.cancel(message))],
            _ => vec![self.transition(label.to_owned(), |next| {
                let reference = next.reference(index);
                let fate = next.agents[next.attempts[index].agent].table.fate(&reference, next.now);
                next.send(index, Payload::QueryReply(fate));
            })],
        }
    }

    /// The incarnation to which the agent believes the attempt is addressed.
    fn perceived_incarnation(&self, index: usize) -> Incarnation {
        let attempt = &self.attempts[index];
        match self.settings.fault {
            Some(Fault::IgnoreIncarnation) => self.agents[attempt.agent].incarnation,
            _ => attempt.incarnation,
        }
    }

    fn start(&mut self, index: usize, accepting: bool) {
        let request = AttemptRequest {
            attempt: id(index),
            incarnation: self.perceived_incarnation(index),
            release: None,
            deadline: AttemptsSettings::default().max_deadline,
            stamp: self.attempts[index].stamp,
            key: None,
        };
        let now = self.now;
        let agent = &mut self.agents[self.attempts[index].agent];
        let before = agent.table.clone();
        match agent.table.try_start(&request, accepting, None, now) {
            Ok(()) => self.attempts[index].endpoint = EndpointPhase::Connecting,
            Err(reason) => {
                if self.settings.fault == Some(Fault::ForgetRefused) {
                    agent.table = before;
                }
                self.send(index, Payload::Ended(refusal_fate(&reason)));
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
        let added = agent.table.len() > before.len();
        if added && self.settings.fault == Some(Fault::ForgetCancelled) {
            agent.table = before;
        }
        self.send(index, Payload::CancelReply(fate));
    }

    fn reference(&self, index: usize) -> AttemptRef {
        AttemptRef {
            attempt: id(index),
            incarnation: self.perceived_incarnation(index),
            stamp: self.attempts[index].stamp.as_millis() as u64,
        }
    }
}

fn id(index: usize) -> AttemptId {
    AttemptId(index as u128)
}

/// The execution status that an agent reports for an attempt that it refuses.
fn refusal_fate(reason: &RefusalReason) -> ExecutionStatus {
    match reason {
        RefusalReason::Duplicate | RefusalReason::Incarnation => ExecutionStatus::Unknown,
        _ => ExecutionStatus::NotRun,
    }
}
