//! The agents: events for the real endpoint, and its actions.

use super::*;

/// First fencing number of the first agent, and the distance to that of the next one.
const FENCES: u64 = 1_000_000;
/// Length of a pause in seconds.
const PAUSE_SECONDS: u32 = 3;

impl World {
    pub(super) fn start_agent(&mut self) {
        let fence = Fence(FENCES * (self.agents.len() as u64 + 1));
        self.agents.push(Agent {
            core: Endpoint::new(fence, self.now),
            paused: false,
            confirmed: false,
            refreshing: true,
            rival: false,
            in_flight: 0,
            asked: None,
            stated: None,
            orders: Vec::new(),
            loading: None,
            loads: 0,
            staged: None,
        });
        let newest = self.agents.len() - 1;
        self.aim(newest);
        self.tick(newest);
    }

    /// The first agent hears what the engine states before it acts.
    pub(super) fn first_read(&mut self) {
        self.agents[0].stated = Some(EngineStatus::default());
        self.read(0);
    }

    pub(super) fn agent_steps(&self, i: usize) -> Vec<Step<World>> {
        let agent = &self.agents[i];
        let mut steps = Vec::new();
        if *agent.core.phase() == Phase::Superseded {
            return steps;
        }
        if agent.stated.is_some() {
            steps.push(self.step(format!("agent {i} reads the engine's state"), |w| w.read(i)));
        }
        for k in 0..agent.orders.len() {
            if let OrderState::Answered(accepted) = agent.orders[k].state {
                let order = agent.orders[k].order.order.as_str();
                let label = format!("agent {i} hears of {order}: accepted {accepted}");
                steps.push(self.step(label, |w| w.hear(i, k, accepted)));
            }
        }
        if agent.staged.is_some() {
            steps.push(self.step(format!("agent {i} hears that all is staged"), |w| {
                w.hear_staged(i);
            }));
        }
        if agent.refreshing {
            steps.push(self.step(format!("peers confirm what agent {i} knows"), |w| {
                w.agents[i].refreshing = false;
                w.agents[i].confirmed = true;
                if w.agents[i].rival && w.settings.fault != Some(Fault::Peers) {
                    w.handle(i, Event::NewerProcess);
                }
                w.aim(i);
                w.handle(i, Event::PeersConfirmed);
            }));
        }
        if agent.core.target().map(|t| &t.release) != Some(&release(self.wanted)) {
            steps.push(self.step(format!("agent {i} learns the wanted release"), |w| w.aim(i)));
        }
        if *agent.core.phase() == Phase::Waiting {
            steps.push(self.step(format!("it is the turn of agent {i}"), |w| {
                w.handle(i, Event::MaySwitch(true));
            }));
        }
        if self.settings.requests > 0 && agent.core.is_accepting() {
            steps.push(self.step(format!("agent {i} accepts a request"), |w| w.accept(i)));
        }
        if self.settings.pauses > 0 {
            steps.push(self.step(format!("agent {i} pauses"), |w| {
                w.settings.pauses -= 1;
                w.agents[i].paused = true;
            }));
        }
        steps
    }

    /// A paused agent wakes after a while in which the others ticked.
    pub(super) fn wake(&mut self, i: usize) {
        // With the fault the agent's clock stands still while it pauses.
        if self.settings.fault != Some(Fault::Pause) {
            for _ in 0..PAUSE_SECONDS {
                self.pass_second();
            }
        }
        self.agents[i].paused = false;
        self.agents[i].confirmed = false;
    }

    /// The agent's target becomes what the fleet wants.
    pub(super) fn aim(&mut self, i: usize) {
        let rollout = "main".parse().expect("a well-formed id");
        let target = Target { rollout, release: release(self.wanted), soak: Duration::ZERO };
        self.handle(i, Event::Target(Some(target)));
    }

    pub(super) fn tick(&mut self, i: usize) {
        let in_flight = self.agents[i].in_flight;
        self.handle(i, Event::InFlight(in_flight));
        self.handle(i, Event::Tick);
    }

    fn read(&mut self, i: usize) {
        let agent = &mut self.agents[i];
        let (Some(view), Some(asked)) = (agent.stated.take(), agent.asked.take()) else { return };
        self.handle(i, Event::Engine { status: view, asked_at: asked });
    }

    fn hear(&mut self, i: usize, k: usize, accepted: bool) {
        let sent = &mut self.agents[i].orders[k];
        let order = sent.order.clone();
        match sent.state {
            OrderState::Answered(_) => {
                self.agents[i].orders.remove(k);
            }
            _ => sent.state = OrderState::Abandoned,
        }
        self.handle(i, Event::OrderAnswered { order, accepted });
    }

    /// The answer to an order does not come in time.
    pub(super) fn time_out(&mut self, i: usize, k: usize) {
        self.settings.timeouts -= 1;
        self.hear(i, k, false);
    }

    fn hear_staged(&mut self, i: usize) {
        let agent = &mut self.agents[i];
        let Some((release, load)) = agent.staged.take() else { return };
        let counts = agent.loading.as_ref().is_some_and(|(loading, current)| {
            let late = self.settings.fault == Some(Fault::LateStaged);
            *loading == release && (late || *current == load)
        });
        if !counts {
            return;
        }
        agent.loading = None;
        self.handle(i, Event::Staged(release));
    }

    fn accept(&mut self, i: usize) {
        self.settings.requests -= 1;
        self.agents[i].in_flight += 1;
        self.engine.running.push(i);
        if self.settings.fault != Some(Fault::LateCount) {
            let in_flight = self.agents[i].in_flight;
            self.handle(i, Event::InFlight(in_flight));
        }
    }

    pub(super) fn answered(&mut self, i: usize) {
        self.agents[i].in_flight -= 1;
        let in_flight = self.agents[i].in_flight;
        self.handle(i, Event::InFlight(in_flight));
    }

    pub(super) fn handle(&mut self, i: usize, event: Event) {
        self.now += MOMENT;
        let now = self.now;
        let rival = self.agents[i + 1..].iter().any(|later| later.confirmed);
        let agent = &mut self.agents[i];
        for action in agent.core.handle(event, now) {
            match action {
                Action::ReadEngine if agent.asked.is_none() => agent.asked = Some(now),
                Action::ReadEngine | Action::ReportReady(_) | Action::StepDown(_) => {}
                Action::ConfirmWithPeers => {
                    agent.refreshing = true;
                    agent.rival = rival;
                }
                Action::Order(order) => {
                    if !agent.confirmed {
                        self.broken = Some("no order before peers confirm what an agent knows");
                    }
                    if order.order == OrderKind::Prepare {
                        agent.loading = None;
                    }
                    agent.orders.push(Sent { order, state: OrderState::Travelling });
                }
                Action::LoadChunks(release) => {
                    agent.loads += 1;
                    agent.loading = Some((release, agent.loads));
                }
                Action::CancelLoad(_) => agent.loading = None,
            }
        }
    }
}
