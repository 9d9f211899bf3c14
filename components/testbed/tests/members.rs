//! Detection of dead and leaving VMs by peers while the VM list is outdated.

use std::time::Duration;

use audit::Change;
use base::{ByteSize, VmId};
use testbed::{Testbed, TestbedSettings, Weights};

const TIMEOUT: Duration = Duration::from_secs(40);

fn routed_out(bed: &Testbed, vm: &VmId) -> bool {
    let trail = bed.audit_entries(bed.entries[0].0.control).unwrap();
    trail.iter().any(|entry| matches!(&entry.change, Change::RoutedOut { vm: out } if out == vm))
}

#[test]
fn dead_and_leaving_vms_get_no_work_though_the_list_shows_them_live() {
    let mut bed =
        Testbed::start(TestbedSettings { agents: 5, ..TestbedSettings::default() }).unwrap();
    let weights = Weights::generate("v1", ByteSize(256 << 10), ByteSize(64 << 10), 1);
    bed.add_version(&weights);
    bed.roll_out("v1", 5, 1);
    bed.wait_until("v1", TIMEOUT, |bed| bed.serving_count("base@v1") == 5).unwrap();
    let (dead, leaving) = (bed.agents[1].vm.id.clone(), bed.agents[2].vm.id.clone());
    bed.kill_agent(&dead).unwrap();
    bed.wait_until("death", TIMEOUT, |bed| routed_out(bed, &dead)).unwrap();
    assert!(!routed_out(&bed, &leaving));
    let slot = bed.agents.iter_mut().find(|slot| slot.vm.id == leaving).unwrap();
    let agent = slot.agent.take().unwrap();
    agent.drain();
    bed.wait_until("leave", TIMEOUT, |bed| routed_out(bed, &leaving)).unwrap();
    agent.wait();
    bed.stop();
}
