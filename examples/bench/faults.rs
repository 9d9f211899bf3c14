//! The faults of `bench rollout --faults`.

use std::time::Duration;

use base::{ByteSize, VmId};
use standins::BlobFaults;
use testbed::{Relay, Testbed};

/// Part of the chunks that arrive corrupted.
const CORRUPTED: f64 = 0.01;
/// Part of the VMs whose links corrupt chunks; each corrupts so much that the whole is `CORRUPTED`.
const CORRUPTING_VMS: f64 = 0.25;
/// Part of the VMs that are killed and replaced.
const KILLED: f64 = 0.1;
/// How long a process is paused.
const PAUSE: Duration = Duration::from_secs(3);
/// When a link stalls for good, in multiples of the bound.
const STALL_AT: f64 = 0.2;
/// When a process is paused.
const PAUSE_AT: f64 = 0.3;
/// When VMs are killed.
const KILL_AT: f64 = 0.4;
/// When the VM list shows their replacements.
const REPLACE_AT: f64 = 0.45;

/// Causes the faults of a run, in this order.
pub struct Faults {
    /// Links of the VMs that corrupt chunks.
    _corrupting: Vec<Relay>,
    stalled: Relay,
    paused: VmId,
    killed: Vec<VmId>,
    /// Faults that were caused so far.
    done: usize,
    /// Activations of incomplete weights that the killed engines counted.
    pub partial: usize,
}

impl Faults {
    /// Puts faulty links before some VMs and selects the victims by `seed`.
    pub fn prepare(bed: &mut Testbed, chunk: ByteSize, seed: u64) -> anyhow::Result<Faults> {
        bed.origin
            .set_faults(BlobFaults { corrupted_fraction: CORRUPTED, ..BlobFaults::default() });
        let mut victims: Vec<usize> = (0..bed.agents.len()).collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut victims);
        let count = |part: f64| ((bed.agents.len() as f64 * part) as usize).max(1);
        let (kills, corrupting) = (count(KILLED), count(CORRUPTING_VMS));
        let mut victims = victims.into_iter();
        let paused = victims.next().expect("a rollout has some VMs");
        let paused = bed.agents[paused].vm.id.clone();
        let stalled = relay(bed, victims.next().unwrap_or(0))?;
        let killed = victims.by_ref().take(kills).map(|i| bed.agents[i].vm.id.clone()).collect();
        let every = ByteSize((chunk.0 as f64 * CORRUPTING_VMS / CORRUPTED) as u64);
        let mut links = Vec::new();
        for victim in victims.take(corrupting) {
            let link = relay(bed, victim)?;
            link.corrupt_every(every);
            links.push(link);
        }
        bed.publish_vms();
        Ok(Faults { _corrupting: links, stalled, paused, killed, done: 0, partial: 0 })
    }

    /// Causes what is due at `progress`, in multiples of the bound since the rollout began.
    pub fn step(&mut self, bed: &mut Testbed, progress: f64) -> anyhow::Result<()> {
        match self.done {
            0 if progress >= STALL_AT => self.stalled.set_stalled(true),
            1 if progress >= PAUSE_AT => {
                let slot = bed.agent_vm(&self.paused);
                if let Some(agent) = slot.and_then(|slot| slot.agent.as_ref()) {
                    agent.pause(PAUSE);
                }
            }
            2 if progress >= KILL_AT => {
                for vm in &self.killed {
                    self.partial +=
                        bed.kill_agent(vm).map_or(0, |c| c.incomplete_activations as usize);
                }
            }
            3 if progress >= REPLACE_AT => {
                for place in 0..self.killed.len() {
                    bed.add_agent(&format!("replacement-{place}"), place)?;
                }
                bed.publish_vms();
            }
            _ => return Ok(()),
        }
        self.done += 1;
        Ok(())
    }
}

/// Puts a link before the data address of an agent.
fn relay(bed: &mut Testbed, agent: usize) -> anyhow::Result<Relay> {
    let vm = &mut bed.agents[agent].vm;
    let relay = Relay::start(vm.data)?;
    vm.data = relay.addr();
    Ok(relay)
}
