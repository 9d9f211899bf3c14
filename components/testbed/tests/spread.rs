//! The spread of weights over loopback, under faults of links, sources and VMs.

use std::time::Duration;

use base::{ByteRate, ByteSize, Revision};
use settings::Strategy;
use standins::BlobFaults;
use testbed::{Relay, Testbed, TestbedSettings, Weights};

const TIMEOUT: Duration = Duration::from_secs(40);
const COPY: ByteSize = ByteSize(2 << 20);
const CHUNK: ByteSize = ByteSize(64 << 10);
const AGENTS: usize = 6;
const LINK: ByteRate = ByteRate(2 << 20);

/// Agents that know the VM list, before the first rollout.
fn fleet(settings: TestbedSettings) -> Testbed {
    let settings = TestbedSettings { entries: 0, agents: AGENTS, link_rate: LINK, ..settings };
    let mut bed = Testbed::start(settings).unwrap();
    bed.add_version(&Weights::generate("v1", COPY, CHUNK, 1));
    settle(&bed);
    bed
}

fn settle(bed: &Testbed) {
    let revision = bed.vms.revision;
    let knows = |vm: &manifest::Vm| bed.status(vm.control).is_ok_and(|s| s.vms >= revision);
    bed.wait_until("VM list", TIMEOUT, |bed| bed.agents.iter().all(|slot| knows(&slot.vm)))
        .unwrap();
    assert!(revision > Revision(0));
}

/// Rolls out until all engines serve; returns the copies that the origin sent.
fn roll_out(bed: &mut Testbed) -> f64 {
    bed.roll_out("v1", AGENTS, 0);
    bed.wait_until("rollout", TIMEOUT, |bed| bed.serving_count("base@v1") == AGENTS).unwrap();
    let engines = bed.agents.iter().filter_map(|slot| slot.engine.as_ref());
    assert_eq!(engines.map(|engine| engine.counts().incomplete_activations).sum::<u32>(), 0);
    bed.origin.bytes_sent() as f64 / COPY.0 as f64
}

/// Puts a link before the data address of an agent.
fn relay(bed: &mut Testbed, agent: usize) -> Relay {
    let vm = &mut bed.agents[agent].vm;
    let relay = Relay::start(vm.data).unwrap();
    vm.data = relay.addr();
    relay
}

#[test]
fn chunks_that_arrive_corrupted_are_fetched_again_within_the_budget() {
    let mut bed = fleet(TestbedSettings::default());
    let link = relay(&mut bed, 2);
    link.corrupt_every(ByteSize(CHUNK.0 * 3));
    bed.origin.set_faults(BlobFaults { corrupted_fraction: 0.1, ..BlobFaults::default() });
    bed.publish_vms();
    settle(&bed);
    assert!(roll_out(&mut bed) <= 1.5);
    bed.stop();
}

#[test]
fn a_stalled_link_and_a_paused_agent_do_not_hold_the_others_up() {
    let mut bed = fleet(TestbedSettings::default());
    let link = relay(&mut bed, 1);
    bed.publish_vms();
    settle(&bed);
    link.set_stalled(true);
    bed.agents[4].agent.as_ref().unwrap().pause(Duration::from_secs(4));
    assert!(roll_out(&mut bed) <= 1.5);
    bed.stop();
}

#[test]
fn a_store_that_asks_to_wait_is_left_alone() {
    let mut bed = fleet(TestbedSettings::default());
    let busy = Some(Duration::from_secs(60));
    bed.store.set_faults(BlobFaults { retry_after: busy, ..BlobFaults::default() });
    assert!(roll_out(&mut bed) <= 1.5);
    assert!(bed.store.read_count() <= 2 * AGENTS as u64, "{}", bed.store.read_count());
    bed.stop();
}

#[test]
fn a_model_larger_than_the_memory_is_rolled_out_along_trees_too() {
    for strategy in [Strategy::Rarest, Strategy::Tree] {
        let memory = ByteSize(COPY.0 / 4);
        let mut bed =
            fleet(TestbedSettings { chunk_memory: memory, strategy, ..TestbedSettings::default() });
        assert!(roll_out(&mut bed) <= 1.5);
        bed.stop();
    }
}

#[test]
fn chunks_that_two_versions_share_are_not_read_again() {
    let mut bed = fleet(TestbedSettings::default());
    roll_out(&mut bed);
    let before = bed.origin.bytes_sent();
    let mut weights = Weights::generate("v2", COPY, CHUNK, 1);
    weights.version.id = "v2".parse().unwrap();
    bed.add_version(&weights);
    bed.roll_out("v2", AGENTS, 0);
    bed.wait_until("v2", TIMEOUT, |bed| bed.serving_count("base@v2") == AGENTS).unwrap();
    assert_eq!(bed.origin.bytes_sent(), before);
    bed.stop();
}

#[test]
fn few_agents_read_a_chunk_list_from_the_configuration_service() {
    let mut bed = fleet(TestbedSettings::default());
    let list = format!("chunks/{}", bed.manifest.models[0].versions[0].chunks);
    roll_out(&mut bed);
    assert!(bed.config.read_count_of(&list) <= 3, "{}", bed.config.read_count_of(&list));
    bed.stop();
}
