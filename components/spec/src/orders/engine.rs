//! Transitions of the engine, a fake that executes all orders.

use super::*;

impl ModelState {
    /// Transitions of the engine and the network for one agent; they continue while it is paused.
    pub(super) fn engine_transitions(&self, i: usize) -> Vec<Transition<ModelState>> {
        let agent = &self.agents[i];
        let mut transitions = Vec::new();
        if agent.paused {
            transitions.push(self.transition(format!("agent {i} resumes"), |next| next.resume(i)));
        }
        if agent.status_requested_at.is_some() && agent.status_reply.is_none() {
            transitions.push(self.transition(
                format!("the engine sends its status to agent {i}"),
                |next| {
                    next.agents[i].status_reply = Some(next.engine.status());
                },
            ));
        }
        for k in 0..agent.orders.len() {
            let SentOrder { order, state } = &agent.orders[k];
            if matches!(state, OrderState::Answered(_)) {
                continue;
            }
            let label = format!(
                "the engine receives {} {} {} of agent {i}",
                order.order.as_str(),
                order.release,
                order.fence
            );
            transitions.push(self.transition(label, |next| next.deliver_order(i, k)));
            if self.settings.timeouts > 0 && *state == OrderState::InTransit && !agent.paused {
                let label = format!("agent {i} gets no answer to {} in time", order.order.as_str());
                transitions.push(self.transition(label, |next| next.time_out(i, k)));
            }
        }
        if let Some((release, load)) = &agent.loading
            && self.engine.prepared.as_ref() == Some(release)
            && agent.staged_notice.is_none()
        {
            let (release, load) = (release.clone(), *load);
            transitions.push(self.transition(format!("agent {i} stages all chunks"), |next| {
                next.engine.staged = true;
                next.agents[i].staged_notice = Some((release, load));
            }));
        }
        if self.engine.running.contains(&i) && !agent.paused {
            transitions.push(self.transition(
                format!("a request of agent {i} is answered"),
                |next| {
                    let at = next.engine.running.iter().position(|by| *by == i);
                    next.engine.running.remove(at.expect("checked above"));
                    next.complete_request(i);
                },
            ));
        }
        transitions
    }

    /// Crashes the engine: it loses its whole state, including the fencing number, and all connections
    /// to it break.
    pub(super) fn crash(&mut self) {
        self.settings.crashes -= 1;
        self.engine = Engine { newest_agent: self.engine.newest_agent, ..Engine::default() };
        for agent in &mut self.agents {
            agent.in_flight = 0;
            agent.orders.retain(|sent| sent.state != OrderState::TimedOut);
            for sent in &mut agent.orders {
                if sent.state == OrderState::InTransit {
                    sent.state = OrderState::Answered(false);
                }
            }
        }
    }

    fn deliver_order(&mut self, i: usize, k: usize) {
        let SentOrder { order, state } = self.agents[i].orders[k].clone();
        let accepted = self.apply(i, &order);
        match state {
            OrderState::TimedOut => {
                self.agents[i].orders.remove(k);
            }
            _ => self.agents[i].orders[k].state = OrderState::Answered(accepted),
        }
    }

    fn apply(&mut self, i: usize, order: &Order) -> bool {
        let checks_fence =
            self.settings.fencing && self.settings.fault != Some(Fault::NoFenceCheck);
        if checks_fence && order.fence < self.engine.fence {
            return false;
        }
        let fencing = self.settings.fencing;
        let engine = &mut self.engine;
        engine.fence = engine.fence.max(order.fence);
        if fencing && i < engine.newest_agent {
            self.violation = Some("no older agent's order is accepted after a newer one's");
        }
        engine.newest_agent = engine.newest_agent.max(i);
        match order.order {
            OrderKind::Prepare => {
                engine.prepared = Some(order.release.clone());
                engine.staged = false;
                true
            }
            OrderKind::Activate if engine.prepared.as_ref() != Some(&order.release) => false,
            OrderKind::Activate => {
                let complete = engine.staged;
                engine.prepared = None;
                engine.serving = Some(order.release.clone());
                self.check_own_requests(i);
                if !complete {
                    self.violation = Some("no release is served before it is complete");
                }
                true
            }
            OrderKind::Abort => {
                if engine.prepared.as_ref() == Some(&order.release) {
                    engine.prepared = None;
                    engine.staged = false;
                }
                true
            }
            OrderKind::Unload => {
                engine.serving = None;
                self.check_own_requests(i);
                true
            }
        }
    }

    fn check_own_requests(&mut self, by: usize) {
        if self.engine.running.contains(&by) {
            self.violation = Some("no agent switches while its own requests run");
        }
    }
}

impl Engine {
    fn status(&self) -> EngineStatus {
        EngineStatus {
            serving: self.serving.clone(),
            prepared: self.prepared.clone(),
            fence: self.fence,
        }
    }
}
