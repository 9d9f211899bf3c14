use base::{Digest, VmId};

use super::*;
use crate::VmLocation;

#[test]
fn the_allowances_of_all_vms_add_up_to_the_budget() {
    let location = |i: usize| VmLocation {
        vm: format!("vm-{i}").parse().unwrap(),
        zone: format!("zone-{}", i % 3).parse().unwrap(),
        region: "region".parse().unwrap(),
    };
    for (vms, chunks, copies, percent) in
        [(64, 128, 1, 150), (5, 7, 1, 110), (50, 9, 1, 150), (4, 64, 3, 300), (3, 10, 4, 400)]
    {
        let locations: Vec<VmLocation> = (0..vms).map(location).collect();
        let sum: usize = locations
            .iter()
            .map(|location| {
                let me: &VmId = &location.vm;
                let plan = Plan::new(&Digest::of(b"list"), &locations, me);
                let mut allowance = OriginAllowance::default();
                allowance.set_limit(&plan, chunks, OriginBudget { copies, percent });
                allowance.limit
            })
            .sum();
        assert!(sum * 100 <= percent as usize * chunks, "{vms} {chunks} {copies} {percent}: {sum}");
        assert!(sum >= chunks);
    }
}
