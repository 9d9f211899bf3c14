//! Injects endpoint crashes and one graceful agent shutdown while the load runs.

use std::time::Duration;

use fastrand::Rng;
use testbed::Testbed;

/// Time between two endpoint crashes.
const CRASH_INTERVAL: Duration = Duration::from_millis(1500);
/// Time at which an agent shuts down gracefully.
const DRAIN_AT: Duration = Duration::from_secs(4);

/// Schedule of the faults.
pub struct FaultInjector {
    rng: Rng,
    next_crash: Duration,
    drained: bool,
}

impl FaultInjector {
    /// Creates the schedule; `seed` selects the affected endpoints.
    pub fn new(_bed: &Testbed, seed: u64) -> FaultInjector {
        FaultInjector { rng: Rng::with_seed(seed), next_crash: CRASH_INTERVAL, drained: false }
    }

    /// Injects the faults that are due after `elapsed`.
    pub fn inject_due(&mut self, bed: &mut Testbed, elapsed: Duration) {
        if elapsed >= self.next_crash {
            self.next_crash += CRASH_INTERVAL;
            let index = self.rng.usize(..bed.settings.agents);
            if let Some(engine) = &bed.agents[index].engine {
                engine.crash();
            }
        }
        if !self.drained && elapsed >= DRAIN_AT {
            self.drained = true;
            let index = self.rng.usize(..bed.settings.agents);
            if let Some(agent) = &bed.agents[index].agent {
                agent.drain();
            }
        }
    }
}
