//! Transitions of the entries.

use super::*;

impl ModelState {
    pub(super) fn entry_transitions(&self) -> Vec<Transition<ModelState>> {
        let mut transitions = Vec::new();
        for (i, attempt) in self.attempts.iter().enumerate() {
            let age = self.now.duration_since(attempt.created_at);
            if attempt.entry == EntryPhase::AwaitingResponse && age <= self.settings.cancel_timeout
            {
                transitions.push(self.transition(
                    format!("the entry cancels attempt {i}"),
                    |next| {
                        next.attempts[i].entry = EntryPhase::Cancelling;
                        next.send(i, Payload::Cancel);
                    },
                ));
            }
            if self.settings.queries > 0 {
                transitions.push(self.transition(
                    format!("the entry queries attempt {i}"),
                    |next| {
                        next.settings.queries -= 1;
                        next.send(i, Payload::Query);
                    },
                ));
            }
        }
        let may_create = self.attempts.iter().all(|a| self.may_retry(a));
        if may_create && self.attempts.len() < self.settings.attempts {
            transitions.extend(self.new_attempts());
        }
        transitions
    }

    /// Whether the request may be retried after an attempt.
    fn may_retry(&self, attempt: &Attempt) -> bool {
        let retries_unknown = self.settings.fault == Some(Fault::RetryUnknown);
        attempt.reported_not_run || (retries_unknown && attempt.entry == EntryPhase::Done)
    }

    /// Creates an attempt at any agent, for any incarnation of it that an entry may know.
    fn new_attempts(&self) -> Vec<Transition<ModelState>> {
        let mut transitions = Vec::new();
        for (agent, current) in self.agents.iter().enumerate() {
            for incarnation in (1..=current.incarnation.0).map(Incarnation) {
                let label = format!(
                    "attempt {} is created for incarnation {incarnation} of agent {agent}",
                    self.attempts.len()
                );
                transitions
                    .push(self.transition(label, |next| next.create_attempt(agent, incarnation)));
            }
        }
        transitions
    }

    fn create_attempt(&mut self, agent: usize, incarnation: Incarnation) {
        let stamp = self.agents[agent].table.clock(self.now);
        self.attempts.push(Attempt {
            agent,
            incarnation,
            created_at: self.now,
            stamp,
            entry: EntryPhase::AwaitingResponse,
            endpoint: EndpointPhase::Idle,
            run_count: 0,
            reported_not_run: false,
        });
        self.send(self.attempts.len() - 1, Payload::Start);
    }

    /// Delivers a message to its entry.
    pub(super) fn deliver_to_entry(&mut self, message: &Message) {
        let attempt = &mut self.attempts[message.attempt];
        let (awaited, fate) = match message.payload {
            Payload::Ended(fate) => (EntryPhase::AwaitingResponse, fate),
            Payload::CancelReply(fate) => (EntryPhase::Cancelling, fate),
            // A query does not change the entry's state, but its reply must be true.
            Payload::QueryReply(fate) => {
                attempt.reported_not_run |= fate == ExecutionStatus::NotRun;
                return;
            }
            Payload::Start | Payload::Cancel | Payload::Query => return,
        };
        if attempt.entry == awaited {
            attempt.entry = EntryPhase::Done;
            attempt.reported_not_run |= fate == ExecutionStatus::NotRun;
        }
    }
}
