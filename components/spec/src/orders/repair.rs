//! What becomes of a world in which nothing more goes wrong.

use super::*;

/// Rounds within which the newest agent is through.
const ROUNDS: usize = 40;

/// Whether the engine serves the wanted release in the end: all late messages arrive, paused agents
/// wake, and the newest agent goes on.
pub fn is_repaired(world: &World) -> bool {
    let mut world = world.clone();
    for _ in 0..ROUNDS {
        let newest = world.agents.len() - 1;
        let settled = *world.agents[newest].core.phase() == Phase::Settled;
        let served = world.engine.serving.as_ref() == Some(&release(world.wanted));
        let idle = world.agents.iter().all(Agent::is_idle);
        if settled && served && idle {
            return true;
        }
        world.calm_round();
    }
    false
}

impl Agent {
    fn is_idle(&self) -> bool {
        let arrived = |sent: &Sent| matches!(sent.state, OrderState::Answered(_));
        !self.paused && self.orders.iter().all(arrived)
    }
}

impl World {
    /// Everything that is on its way arrives, and a second passes.
    fn calm_round(&mut self) {
        let Settings { fencing, fault, .. } = self.settings;
        self.settings = Settings { fencing, fault, seconds: 0, ..Settings::default() };
        for _ in 0..ROUNDS {
            let Some(step) = self.steps().into_iter().next() else { break };
            *self = step.world;
        }
        self.pass_second();
    }
}
