//! Transitions of the agents: events for the real `Endpoint`, and its actions.

use super::*;

/// First fencing number of the first agent, and the distance between those of consecutive agents.
const FENCE_STEP: u64 = 1_000_000;
/// Length of a pause in seconds.
const PAUSE_SECONDS: u32 = 3;

impl ModelState {
    pub(super) fn start_agent(&mut self) {
        let fence = Fence(FENCE_STEP * (self.agents.len() as u64 + 1));
        self.agents.push(Agent {
            endpoint: Endpoint::new(fence, self.now),
            paused: false,
            confirmed: false,
            awaiting_peers: true,
            newer_agent_confirmed: false,
            in_flight: 0,
            status_requested_at: None,
            status_reply: None,
            orders: Vec::new(),
            loading: None,
            load_count: 0,
            staged_notice: None,
        });
        let newest = self.agents.len() - 1;
        self.update_target(newest);
        self.tick(newest);
    }

    /// Lets the first agent read the engine's status before it acts.
    pub(super) fn read_initial_status(&mut self) {
        self.agents[0].status_reply = Some(EngineStatus::default());
        self.read_status(0);
    }

    pub(super) fn agent_transitions(&self, i: usize) -> Vec<Transition<ModelState>> {
        let agent = &self.agents[i];
        let mut transitions = Vec::new();
        if *agent.endpoint.phase() == Phase::Superseded {
            return transitions;
        }
        if agent.status_reply.is_some() {
            transitions.push(
                self.transition(format!("agent {i} reads the engine's state"), |next| {
                    next.read_status(i)
                }),
            );
        }
        for k in 0..agent.orders.len() {
            if let OrderState::Answered(accepted) = agent.orders[k].state {
                let order = agent.orders[k].order.order.as_str();
                let label = format!("agent {i} gets the answer to {order}: accepted {accepted}");
                transitions
                    .push(self.transition(label, |next| next.handle_order_answer(i, k, accepted)));
            }
        }
        if agent.staged_notice.is_some() {
            transitions.push(self.transition(
                format!("agent {i} learns that all chunks are staged"),
                |next| {
                    next.handle_staged_notice(i);
                },
            ));
        }
        if agent.awaiting_peers {
            transitions.push(self.transition(
                format!("peers confirm what agent {i} knows"),
                |next| {
                    next.agents[i].awaiting_peers = false;
                    next.agents[i].confirmed = true;
                    if next.agents[i].newer_agent_confirmed
                        && next.settings.fault != Some(Fault::SilentPeers)
                    {
                        next.handle(i, Event::NewerProcess);
                    }
                    next.update_target(i);
                    next.handle(i, Event::PeersConfirmed);
                },
            ));
        }
        if agent.endpoint.target().map(|t| &t.release) != Some(&release(self.wanted_release)) {
            transitions.push(
                self.transition(format!("agent {i} learns the wanted release"), |next| {
                    next.update_target(i)
                }),
            );
        }
        if *agent.endpoint.phase() == Phase::Waiting {
            transitions.push(self.transition(format!("agent {i} may switch"), |next| {
                next.handle(i, Event::MaySwitch(true));
            }));
        }
        if self.settings.requests > 0 && agent.endpoint.is_accepting() {
            transitions.push(
                self.transition(format!("agent {i} accepts a request"), |next| {
                    next.accept_request(i)
                }),
            );
        }
        if self.settings.pauses > 0 {
            transitions.push(self.transition(format!("agent {i} pauses"), |next| {
                next.settings.pauses -= 1;
                next.agents[i].paused = true;
            }));
        }
        transitions
    }

    /// Resumes a paused agent after a time in which the others ticked.
    pub(super) fn resume(&mut self, i: usize) {
        // With this fault, the agent's clock does not advance during the pause.
        if self.settings.fault != Some(Fault::UnnoticedPause) {
            for _ in 0..PAUSE_SECONDS {
                self.advance_second();
            }
        }
        self.agents[i].paused = false;
        self.agents[i].confirmed = false;
    }

    /// Sets the agent's target to the wanted release.
    pub(super) fn update_target(&mut self, i: usize) {
        let rollout = "main".parse().expect("a well-formed id");
        let target =
            Target { rollout, release: release(self.wanted_release), soak: Duration::ZERO };
        self.handle(i, Event::Target(Some(target)));
    }

    pub(super) fn tick(&mut self, i: usize) {
        let in_flight = self.agents[i].in_flight;
        self.handle(i, Event::InFlight(in_flight));
        self.handle(i, Event::Tick);
    }

    fn read_status(&mut self, i: usize) {
        let agent = &mut self.agents[i];
        let (Some(status), Some(asked_at)) =
            (agent.status_reply.take(), agent.status_requested_at.take())
        else {
            return;
        };
        self.handle(i, Event::Engine { status, asked_at });
    }

    fn handle_order_answer(&mut self, i: usize, k: usize, accepted: bool) {
        let sent = &mut self.agents[i].orders[k];
        let order = sent.order.clone();
        match sent.state {
            OrderState::Answered(_) => {
                self.agents[i].orders.remove(k);
            }
            _ => sent.state = OrderState::TimedOut,
        }
        self.handle(i, Event::OrderAnswered { order, accepted });
    }

    /// The answer to an order times out.
    pub(super) fn time_out(&mut self, i: usize, k: usize) {
        self.settings.timeouts -= 1;
        self.handle_order_answer(i, k, false);
    }

    fn handle_staged_notice(&mut self, i: usize) {
        let agent = &mut self.agents[i];
        let Some((release, load)) = agent.staged_notice.take() else { return };
        let is_current = agent.loading.as_ref().is_some_and(|(loading, current)| {
            let accepts_stale = self.settings.fault == Some(Fault::StaleStagedNotice);
            *loading == release && (accepts_stale || *current == load)
        });
        if !is_current {
            return;
        }
        agent.loading = None;
        self.handle(i, Event::Staged(release));
    }

    fn accept_request(&mut self, i: usize) {
        self.settings.requests -= 1;
        self.agents[i].in_flight += 1;
        self.engine.running.push(i);
        if self.settings.fault != Some(Fault::StaleInFlightCount) {
            let in_flight = self.agents[i].in_flight;
            self.handle(i, Event::InFlight(in_flight));
        }
    }

    pub(super) fn complete_request(&mut self, i: usize) {
        self.agents[i].in_flight -= 1;
        let in_flight = self.agents[i].in_flight;
        self.handle(i, Event::InFlight(in_flight));
    }

    pub(super) fn handle(&mut self, i: usize, event: Event) {
        self.now += EVENT_INTERVAL;
        let now = self.now;
        let newer_agent_confirmed = self.agents[i + 1..].iter().any(|later| later.confirmed);
        let agent = &mut self.agents[i];
        for action in agent.endpoint.handle(event, now) {
            match action {
                Action::ReadEngine if agent.status_requested_at.is_none() => {
                    agent.status_requested_at = Some(now)
                }
                Action::ReadEngine | Action::ReportReady(_) | Action::StepDown(_) => {}
                Action::ConfirmWithPeers => {
                    agent.awaiting_peers = true;
                    agent.newer_agent_confirmed = newer_agent_confirmed;
                }
                Action::Order(order) => {
                    if !agent.confirmed {
                        self.violation =
                            Some("no agent gives orders before peers confirm its knowledge");
                    }
                    if order.order == OrderKind::Prepare {
                        agent.loading = None;
                    }
                    agent.orders.push(SentOrder { order, state: OrderState::InTransit });
                }
                Action::LoadChunks(release) => {
                    agent.load_count += 1;
                    agent.loading = Some((release, agent.load_count));
                }
                Action::CancelLoad(_) => agent.loading = None,
            }
        }
    }
}
