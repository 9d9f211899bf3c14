use super::*;

fn vms(count: usize) -> Vec<VmId> {
    (0..count).map(|i| format!("vm-{i}").parse().unwrap()).collect()
}

fn is_over_at(joining: &Joining, manifest: u64, now: Instant) -> bool {
    joining.is_over(Revision(manifest), Revision(1), now)
}

#[test]
fn a_process_waits_for_the_newest_document_that_a_peer_has() {
    let now = Instant::now();
    let asked = vms(5);
    let mut joining = Joining::new(asked.clone(), now);
    joining.record_reply(&asked[0], Some((Revision(4), Revision(1))));
    joining.record_reply(&asked[1], Some((Revision(9), Revision(1))));
    assert!(!is_over_at(&joining, 9, now), "two replies are not enough");
    joining.record_reply(&asked[2], Some((Revision(4), Revision(1))));
    assert!(!is_over_at(&joining, 4, now), "the stale service's document is not enough");
    assert!(is_over_at(&joining, 9, now));
}

#[test]
fn joining_ends_at_once_without_peers_and_after_the_timeout_without_replies() {
    let now = Instant::now();
    assert!(is_over_at(&Joining::new(Vec::new(), now), 1, now));
    let asked = vms(5);
    let mut joining = Joining::new(asked.clone(), now);
    assert!(!is_over_at(&joining, 1, now));
    assert!(is_over_at(&joining, 1, now + JOIN_TIMEOUT));
    asked.iter().for_each(|vm| joining.record_reply(vm, None));
    assert!(is_over_at(&joining, 1, now), "nobody is left to ask");
}

#[test]
fn several_replies_of_one_peer_count_once() {
    let now = Instant::now();
    let asked = vms(5);
    let mut joining = Joining::new(asked.clone(), now);
    for _ in 0..ENOUGH_REPLIES {
        joining.record_reply(&asked[0], Some((Revision(1), Revision(1))));
    }
    assert!(!is_over_at(&joining, 1, now));
}
