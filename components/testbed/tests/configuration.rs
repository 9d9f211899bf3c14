//! Behavior while the configuration service is down, stale, or serves an invalid manifest.

use std::time::Duration;

use audit::Change;
use base::{ByteSize, Revision};
use standins::manifest_value;
use testbed::{Testbed, TestbedSettings, Weights};

const TIMEOUT: Duration = Duration::from_secs(40);

fn fleet(agents: usize) -> Testbed {
    let settings = TestbedSettings { agents, zones: 2, ..TestbedSettings::default() };
    let mut bed = Testbed::start(settings).unwrap();
    for (seed, version) in [(1, "v1"), (2, "v2")] {
        let weights = Weights::generate(version, ByteSize(256 << 10), ByteSize(64 << 10), seed);
        bed.add_version(&weights);
    }
    bed.roll_out("v1", agents, 1);
    bed.wait_until("v1", TIMEOUT, |bed| bed.serving_count("base@v1") == agents).unwrap();
    bed
}

/// Number of processes that run with the manifest that was published last.
fn up_to_date_processes(bed: &Testbed) -> usize {
    let wanted = bed.manifest.revision;
    let agents = bed.agents.iter().map(|slot| slot.vm.control);
    let entries = bed.entries.iter().map(|(vm, _)| vm.control);
    agents.chain(entries).filter(|at| bed.status(*at).is_ok_and(|s| s.manifest == wanted)).count()
}

#[test]
fn the_current_manifest_stays_while_the_service_is_down() {
    let mut bed = fleet(4);
    bed.config.set_down(true);
    bed.agents[0].engine.as_ref().unwrap().crash();
    bed.wait_until("v1 again", TIMEOUT, |bed| bed.serving_count("base@v1") == 4).unwrap();
    assert_eq!(up_to_date_processes(&bed), 5);
    bed.config.set_down(false);
    bed.roll_out("v2", 4, 1);
    bed.wait_until("v2", TIMEOUT, |bed| bed.serving_count("base@v2") == 4).unwrap();
    bed.stop();
}

#[test]
fn a_process_that_starts_beside_a_stale_service_learns_from_peers() {
    let mut bed = fleet(4);
    let old = bed.manifest.clone();
    bed.roll_out("v2", 5, 1);
    bed.wait_until("v2", TIMEOUT, |bed| bed.serving_count("base@v2") == 4).unwrap();
    // The service reverts to the older manifest.
    bed.config.publish("manifest", old.revision.0, manifest_value(&old));
    bed.add_agent("model-new", 0).unwrap();
    bed.publish_vms();
    bed.wait_until("v2 on all", TIMEOUT, |bed| bed.serving_count("base@v2") == 5).unwrap();
    assert_eq!(up_to_date_processes(&bed), 6);
    let trail = bed.audit_entries(bed.agents[4].vm.control).unwrap();
    for entry in trail {
        if let Change::Order { release, .. } = entry.change {
            assert_eq!(release.unwrap().as_str(), "base@v2");
        }
    }
    bed.stop();
}

#[test]
fn an_invalid_manifest_never_replaces_a_valid_one() {
    let mut bed = fleet(3);
    let mut bad = bed.manifest.clone();
    bad.revision = Revision(1000);
    bad.rollouts[0].replicas = 0;
    bed.config.publish("manifest", 1000, manifest_value(&bad));
    let refused = |bed: &Testbed| {
        let agents = bed.agents.iter().map(|slot| bed.status(slot.vm.control).unwrap());
        agents.filter(|status| status.refused.is_some()).count()
    };
    bed.wait_until("refusal", TIMEOUT, |bed| refused(bed) > 0).unwrap();
    assert_eq!(up_to_date_processes(&bed), 4);
    let is_refusal = |e: &audit::AuditEntry| matches!(e.change, Change::ManifestRefused { .. });
    let trails = bed.agents.iter().map(|slot| bed.audit_entries(slot.vm.control).unwrap());
    let once = trails.filter(|trail| trail.iter().filter(|e| is_refusal(e)).count() == 1).count();
    assert_eq!(once, refused(&bed), "each reader refuses it once");
    bed.manifest.revision = Revision(1000);
    bed.roll_out("v2", 3, 1);
    bed.wait_until("v2", TIMEOUT, |bed| bed.serving_count("base@v2") == 3).unwrap();
    assert_eq!(refused(&bed), 0);
    bed.stop();
}

#[test]
fn a_few_processes_of_each_zone_read_from_the_service() {
    let mut bed = fleet(12);
    bed.wait_until("in force", TIMEOUT, |bed| up_to_date_processes(bed) == 13).unwrap();
    let before = bed.config.read_count();
    for _ in 0..3 {
        bed.publish_manifest();
        bed.wait_until("in force", TIMEOUT, |bed| up_to_date_processes(bed) == 13).unwrap();
    }
    // Two readers in each of two zones read each change once; watches that time out add some.
    let reads = bed.config.read_count() - before;
    assert!(reads <= 3 * 4 + 26, "{reads} reads for three changes at 13 processes");
    bed.stop();
}
