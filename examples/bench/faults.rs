//! Fault injection of `bench rollout --faults`.

use std::time::Duration;

use base::{ByteSize, VmId};
use standins::BlobFaults;
use testbed::{Relay, Testbed};

/// Fraction of the chunks that arrive corrupted.
const CORRUPTED_CHUNKS: f64 = 0.01;
/// Fraction of the VMs whose links corrupt chunks; the rate of each link is chosen so that
/// `CORRUPTED_CHUNKS` of all chunks are corrupted.
const CORRUPTING_VMS: f64 = 0.25;
/// Fraction of the VMs that are killed and replaced.
const KILLED_VMS: f64 = 0.1;
/// Duration of the pause of one process.
const PAUSE_TIME: Duration = Duration::from_secs(3);
/// Time at which one link stalls permanently, in multiples of the bound like the times below.
const STALL_AT: f64 = 0.2;
/// Time at which one process is paused.
const PAUSE_AT: f64 = 0.3;
/// Time at which VMs are killed.
const KILL_AT: f64 = 0.4;
/// Time at which the VM list contains their replacements.
const REPLACE_AT: f64 = 0.45;

/// Injects the faults of a run in the order of the constants above.
pub struct FaultInjector {
    /// Relays that corrupt chunks; kept so that they go on running.
    _corrupting: Vec<Relay>,
    stalled: Relay,
    paused: VmId,
    killed: Vec<VmId>,
    /// Number of faults injected so far.
    injected: usize,
    /// Number of activations of incomplete weights, as counted by the killed engines.
    pub partial: usize,
}

impl FaultInjector {
    /// Selects the affected VMs by `seed` and puts corrupting relays in front of some of them.
    pub fn prepare(bed: &mut Testbed, chunk: ByteSize, seed: u64) -> anyhow::Result<FaultInjector> {
        bed.origin.set_faults(BlobFaults {
            corrupted_fraction: CORRUPTED_CHUNKS,
            ..BlobFaults::default()
        });
        let mut victims: Vec<usize> = (0..bed.agents.len()).collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut victims);
        let count = |fraction: f64| ((bed.agents.len() as f64 * fraction) as usize).max(1);
        let (kills, corrupting) = (count(KILLED_VMS), count(CORRUPTING_VMS));
        let mut victims = victims.into_iter();
        let paused = victims.next().expect("a rollout has some VMs");
        let paused = bed.agents[paused].vm.id.clone();
        let stalled = start_relay(bed, victims.next().unwrap_or(0))?;
        let killed = victims.by_ref().take(kills).map(|i| bed.agents[i].vm.id.clone()).collect();
        let corruption_interval =
            ByteSize((chunk.0 as f64 * CORRUPTING_VMS / CORRUPTED_CHUNKS) as u64);
        let mut corrupting_relays = Vec::new();
        for victim in victims.take(corrupting) {
            let corrupting_relay = start_relay(bed, victim)?;
            corrupting_relay.corrupt_every(corruption_interval);
            corrupting_relays.push(corrupting_relay);
        }
        bed.publish_vms();
        Ok(FaultInjector {
            _corrupting: corrupting_relays,
            stalled,
            paused,
            killed,
            injected: 0,
            partial: 0,
        })
    }

    /// Injects the next fault if it is due at `progress`: the time since the rollout began, in
    /// multiples of the bound.
    pub fn inject_next(&mut self, bed: &mut Testbed, progress: f64) -> anyhow::Result<()> {
        match self.injected {
            0 if progress >= STALL_AT => self.stalled.set_stalled(true),
            1 if progress >= PAUSE_AT => {
                let slot = bed.agent_vm(&self.paused);
                if let Some(agent) = slot.and_then(|slot| slot.agent.as_ref()) {
                    agent.pause(PAUSE_TIME);
                }
            }
            2 if progress >= KILL_AT => {
                for vm in &self.killed {
                    self.partial +=
                        bed.kill_agent(vm).map_or(0, |c| c.incomplete_activations as usize);
                }
            }
            3 if progress >= REPLACE_AT => {
                for index in 0..self.killed.len() {
                    bed.add_agent(&format!("replacement-{index}"), index)?;
                }
                bed.publish_vms();
            }
            _ => return Ok(()),
        }
        self.injected += 1;
        Ok(())
    }
}

/// Puts a relay in front of the data address of an agent.
fn start_relay(bed: &mut Testbed, agent: usize) -> anyhow::Result<Relay> {
    let vm = &mut bed.agents[agent].vm;
    let relay = Relay::start(vm.data)?;
    vm.data = relay.addr();
    Ok(relay)
}
