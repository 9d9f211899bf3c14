//! The engine: a fake that does as it is told.

use super::*;

impl World {
    /// Steps of the engine and the network for one agent; they go on while it pauses.
    pub(super) fn engine_steps(&self, i: usize) -> Vec<Step<World>> {
        let agent = &self.agents[i];
        let mut steps = Vec::new();
        if agent.paused {
            steps.push(self.step(format!("agent {i} wakes"), |w| w.wake(i)));
        }
        if agent.asked.is_some() && agent.stated.is_none() {
            steps.push(self.step(format!("the engine states its state to agent {i}"), |w| {
                w.agents[i].stated = Some(w.engine.view());
            }));
        }
        for k in 0..agent.orders.len() {
            let Sent { order, state } = &agent.orders[k];
            if matches!(state, OrderState::Answered(_)) {
                continue;
            }
            let label = format!(
                "the engine gets {} {} {} of agent {i}",
                order.order.as_str(),
                order.release,
                order.fence
            );
            steps.push(self.step(label, |w| w.obey(i, k)));
            if self.settings.timeouts > 0 && *state == OrderState::Travelling && !agent.paused {
                let label = format!("agent {i} hears nothing of {}", order.order.as_str());
                steps.push(self.step(label, |w| w.time_out(i, k)));
            }
        }
        if let Some((release, load)) = &agent.loading
            && self.engine.prepared.as_ref() == Some(release)
            && agent.staged.is_none()
        {
            let (release, load) = (release.clone(), *load);
            steps.push(self.step(format!("agent {i} hands all chunks over"), |w| {
                w.engine.staged = true;
                w.agents[i].staged = Some((release, load));
            }));
        }
        if self.engine.running.contains(&i) && !agent.paused {
            steps.push(self.step(format!("a request of agent {i} is answered"), |w| {
                let at = w.engine.running.iter().position(|by| *by == i);
                w.engine.running.remove(at.expect("checked above"));
                w.answered(i);
            }));
        }
        steps
    }

    /// The engine loses all that it held, the fencing number too, and all connections to it break.
    pub(super) fn crash(&mut self) {
        self.settings.crashes -= 1;
        self.engine = Engine { leader: self.engine.leader, ..Engine::default() };
        for agent in &mut self.agents {
            agent.in_flight = 0;
            agent.orders.retain(|sent| sent.state != OrderState::Abandoned);
            for sent in &mut agent.orders {
                if sent.state == OrderState::Travelling {
                    sent.state = OrderState::Answered(false);
                }
            }
        }
    }

    fn obey(&mut self, i: usize, k: usize) {
        let Sent { order, state } = self.agents[i].orders[k].clone();
        let accepted = self.apply(i, &order);
        match state {
            OrderState::Abandoned => {
                self.agents[i].orders.remove(k);
            }
            _ => self.agents[i].orders[k].state = OrderState::Answered(accepted),
        }
    }

    fn apply(&mut self, i: usize, order: &Order) -> bool {
        let checked = self.settings.fencing && self.settings.fault != Some(Fault::Fence);
        if checked && order.fence < self.engine.fence {
            return false;
        }
        let fencing = self.settings.fencing;
        let engine = &mut self.engine;
        engine.fence = engine.fence.max(order.fence);
        if fencing && i < engine.leader {
            self.broken = Some("a late order never displaces a newer agent's");
        }
        engine.leader = engine.leader.max(i);
        match order.order {
            OrderKind::Prepare => {
                engine.prepared = Some(order.release.clone());
                engine.staged = false;
                true
            }
            OrderKind::Activate if engine.prepared.as_ref() != Some(&order.release) => false,
            OrderKind::Activate => {
                let whole = engine.staged;
                engine.prepared = None;
                engine.serving = Some(order.release.clone());
                self.switched(i);
                if !whole {
                    self.broken = Some("no release is served before it is whole");
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
                self.switched(i);
                true
            }
        }
    }

    fn switched(&mut self, by: usize) {
        if self.engine.running.contains(&by) {
            self.broken = Some("no agent switches under its own requests");
        }
    }
}

impl Engine {
    fn view(&self) -> EngineStatus {
        EngineStatus {
            serving: self.serving.clone(),
            prepared: self.prepared.clone(),
            fence: self.fence,
        }
    }
}
