//! Distribution of weights over loopback, under faults of links, blob services and VMs.

use std::time::Duration;

use base::{ByteRate, ByteSize, Revision};
use settings::Strategy;
use standins::BlobFaults;
use testbed::{Relay, Testbed, TestbedSettings, Weights};

const TIMEOUT: Duration = Duration::from_secs(40);
const MODEL_SIZE: ByteSize = ByteSize(2 << 20);
const CHUNK_SIZE: ByteSize = ByteSize(64 << 10);
const AGENTS: usize = 6;
const LINK_RATE: ByteRate = ByteRate(2 << 20);

/// Starts agents and waits until they have the VM list; nothing is rolled out.
fn fleet(settings: TestbedSettings) -> Testbed {
    let settings = TestbedSettings { entries: 0, agents: AGENTS, link_rate: LINK_RATE, ..settings };
    let mut bed = Testbed::start(settings).unwrap();
    bed.add_version(&Weights::generate("v1", MODEL_SIZE, CHUNK_SIZE, 1));
    wait_for_vm_list(&bed);
    bed
}

fn wait_for_vm_list(bed: &Testbed) {
    let revision = bed.vms.revision;
    let is_current = |vm: &manifest::Vm| bed.status(vm.control).is_ok_and(|s| s.vms >= revision);
    bed.wait_until("VM list", TIMEOUT, |bed| bed.agents.iter().all(|slot| is_current(&slot.vm)))
        .unwrap();
    assert!(revision > Revision(0));
}

/// Rolls out `v1` to all engines; returns the bytes that the origin sent, in copies of the model.
fn roll_out(bed: &mut Testbed) -> f64 {
    bed.roll_out("v1", AGENTS, 0);
    bed.wait_until("rollout", TIMEOUT, |bed| bed.serving_count("base@v1") == AGENTS).unwrap();
    let engines = bed.agents.iter().filter_map(|slot| slot.engine.as_ref());
    assert_eq!(engines.map(|engine| engine.counts().incomplete_activations).sum::<u32>(), 0);
    bed.origin.bytes_sent() as f64 / MODEL_SIZE.0 as f64
}

/// Puts a relay in front of the data address of an agent.
fn add_relay(bed: &mut Testbed, agent: usize) -> Relay {
    let vm = &mut bed.agents[agent].vm;
    let relay = Relay::start(vm.data).unwrap();
    vm.data = relay.addr();
    relay
}

#[test]
fn chunks_that_arrive_corrupted_are_fetched_again_within_the_budget() {
    let mut bed = fleet(TestbedSettings::default());
    let link = add_relay(&mut bed, 2);
    link.corrupt_every(ByteSize(CHUNK_SIZE.0 * 3));
    bed.origin.set_faults(BlobFaults { corrupted_fraction: 0.1, ..BlobFaults::default() });
    bed.publish_vms();
    wait_for_vm_list(&bed);
    assert!(roll_out(&mut bed) <= 1.5);
    bed.stop();
}

#[test]
fn a_stalled_link_and_a_paused_agent_do_not_delay_the_others() {
    let mut bed = fleet(TestbedSettings::default());
    let link = add_relay(&mut bed, 1);
    bed.publish_vms();
    wait_for_vm_list(&bed);
    link.set_stalled(true);
    bed.agents[4].agent.as_ref().unwrap().pause(Duration::from_secs(4));
    assert!(roll_out(&mut bed) <= 1.5);
    bed.stop();
}

#[test]
fn a_store_that_sends_retry_after_is_not_read_until_then() {
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
        let memory = ByteSize(MODEL_SIZE.0 / 4);
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
    let mut weights = Weights::generate("v2", MODEL_SIZE, CHUNK_SIZE, 1);
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
