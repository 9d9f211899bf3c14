//! A version that fails on the canary is not activated elsewhere, and the old version keeps serving.

use std::time::Duration;

use audit::Change;
use base::ByteSize;
use standins::{ActivationFault, EngineSettings};
use testbed::{Testbed, TestbedSettings, Weights};

const TIMEOUT: Duration = Duration::from_secs(40);
const AGENTS: usize = 4;

/// A fleet that serves `v1`; every engine fails with `fault` when it activates `v2`.
fn fleet(fault: ActivationFault) -> Testbed {
    let engine =
        EngineSettings { restart_time: Duration::from_millis(200), ..EngineSettings::default() };
    let settings = TestbedSettings { agents: AGENTS, engine, ..TestbedSettings::default() };
    let mut bed = Testbed::start(settings).unwrap();
    for (seed, version) in [(1, "v1"), (2, "v2"), (3, "v3")] {
        let weights = Weights::generate(version, ByteSize(256 << 10), ByteSize(64 << 10), seed);
        bed.add_version(&weights);
    }
    bed.roll_out("v1", AGENTS, AGENTS - 1);
    bed.wait_until("v1", TIMEOUT, |bed| bed.serving_count("base@v1") == AGENTS).unwrap();
    for slot in &bed.agents {
        slot.engine.as_ref().unwrap().set_activation_fault("base@v2", fault);
    }
    bed
}

/// Number of VMs that halted the rollout.
fn halted_vms(bed: &Testbed) -> usize {
    let is_halt = |change: &Change| matches!(change, Change::Halted { .. });
    let trails = bed.agents.iter().map(|slot| bed.audit_entries(slot.vm.control).unwrap());
    trails.filter(|trail| trail.iter().any(|entry| is_halt(&entry.change))).count()
}

/// Number of VMs that were ordered to activate `v2`.
fn vms_that_activated_v2(bed: &Testbed) -> usize {
    let activates_v2 = |change: &Change| match change {
        Change::Order { order, release, .. } => {
            order == "activate" && release.as_ref().is_some_and(|r| r.as_str() == "base@v2")
        }
        _ => false,
    };
    let trails = bed.agents.iter().map(|slot| bed.audit_entries(slot.vm.control).unwrap());
    trails.filter(|trail| trail.iter().any(|entry| activates_v2(&entry.change))).count()
}

fn assert_stops_at_the_canary(fault: ActivationFault) {
    let mut bed = fleet(fault);
    bed.roll_out("v2", AGENTS, AGENTS - 1);
    bed.wait_until("halt", TIMEOUT, |bed| halted_vms(bed) == AGENTS).unwrap();
    bed.wait_until("old version", TIMEOUT, |bed| bed.serving_count("base@v1") == AGENTS).unwrap();
    let prepared = |bed: &Testbed| {
        bed.agents.iter().filter(|s| s.engine.as_ref().unwrap().prepared().is_some()).count()
    };
    bed.wait_until("nothing half loaded", TIMEOUT, |bed| prepared(bed) == 0).unwrap();
    assert_eq!(vms_that_activated_v2(&bed), 1, "only the canary may try it");
    bed.roll_out("v3", AGENTS, AGENTS - 1);
    bed.wait_until("v3", TIMEOUT, |bed| bed.serving_count("base@v3") == AGENTS).unwrap();
    let partial =
        bed.agents.iter().map(|s| s.engine.as_ref().unwrap().counts().incomplete_activations);
    assert_eq!(partial.sum::<u32>(), 0);
    bed.stop();
}

#[test]
fn a_version_that_the_engine_refuses_stops_at_the_canary() {
    assert_stops_at_the_canary(ActivationFault::Refused);
}

#[test]
fn a_version_that_crashes_the_engine_stops_at_the_canary() {
    assert_stops_at_the_canary(ActivationFault::Crash);
}

#[test]
fn a_version_that_crashes_the_engine_soon_stops_at_the_canary() {
    assert_stops_at_the_canary(ActivationFault::CrashAfter(Duration::from_millis(50)));
}
