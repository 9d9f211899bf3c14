//! Recovery from a state when no further faults occur.

use super::*;

/// Maximum number of rounds until the newest agent has settled.
const ROUNDS: usize = 40;

/// Whether the engine eventually serves the wanted release if all late messages arrive, paused agents
/// resume, and the newest agent continues.
pub fn is_repaired(state: &ModelState) -> bool {
    let mut state = state.clone();
    for _ in 0..ROUNDS {
        let newest = state.agents.len() - 1;
        let settled = *state.agents[newest].endpoint.phase() == Phase::Settled;
        let served = state.engine.serving.as_ref() == Some(&release(state.wanted_release));
        let idle = state.agents.iter().all(Agent::is_idle);
        if settled && served && idle {
            return true;
        }
        state.fault_free_round();
    }
    false
}

impl Agent {
    fn is_idle(&self) -> bool {
        let arrived = |sent: &SentOrder| matches!(sent.state, OrderState::Answered(_));
        !self.paused && self.orders.iter().all(arrived)
    }
}

impl ModelState {
    /// Delivers everything that is in transit, then advances a second.
    fn fault_free_round(&mut self) {
        let Settings { fencing, fault, .. } = self.settings;
        self.settings = Settings { fencing, fault, seconds: 0, ..Settings::default() };
        for _ in 0..ROUNDS {
            let Some(transition) = self.transitions().into_iter().next() else { break };
            *self = transition.state;
        }
        self.advance_second();
    }
}
