//! Endpoints that crash, and agents that stop as planned, while the load runs.

use std::time::Duration;

use fastrand::Rng;
use testbed::Testbed;

/// Time between two crashes.
const CRASH_EVERY: Duration = Duration::from_millis(1500);
/// When an agent stops as planned.
const STOP_AT: Duration = Duration::from_secs(4);

/// Faults to come.
pub struct Faults {
    rng: Rng,
    next: Duration,
    stopped: bool,
}

impl Faults {
    /// Faults for the endpoints of a fleet.
    pub fn new(_bed: &Testbed, seed: u64) -> Faults {
        Faults { rng: Rng::with_seed(seed), next: CRASH_EVERY, stopped: false }
    }

    /// Causes the faults that are due after `elapsed`.
    pub fn step(&mut self, bed: &mut Testbed, elapsed: Duration) {
        if elapsed >= self.next {
            self.next += CRASH_EVERY;
            let index = self.rng.usize(..bed.settings.agents);
            if let Some(engine) = &bed.agents[index].engine {
                engine.crash();
            }
        }
        if !self.stopped && elapsed >= STOP_AT {
            self.stopped = true;
            let index = self.rng.usize(..bed.settings.agents);
            if let Some(agent) = &bed.agents[index].agent {
                agent.drain();
            }
        }
    }
}
