//! Each failure, caused in a small set of VMs.

use super::{super::*, fixture::*};
use crate::OriginBudget;

const LIMIT: Duration = Duration::from_secs(60);
const MEMBERS: [usize; 8] = [0, 1, 2, 3, 4, 5, 6, 7];

fn settings(strategy: Strategy) -> TransferSettings {
    TransferSettings { strategy, ..TransferSettings::default() }
}

fn each_strategy(check: impl Fn(TransferSettings)) {
    check(settings(Strategy::Tree));
    check(settings(Strategy::Rarest));
}

/// The owner of a chunk.
fn owner(chunk: u32) -> usize {
    *MEMBERS.iter().find(|&&i| plan(i, &MEMBERS).rank(chunk) == Some(0)).unwrap()
}

#[test]
fn without_faults_the_origin_is_read_once() {
    each_strategy(|settings| {
        let mut net = Net::new(&MEMBERS, settings);
        net.run(LIMIT);
        assert_eq!(net.origin_reads, CHUNKS);
    });
}

#[test]
fn all_read_all_from_the_origin_in_the_naive_way() {
    let mut net = Net::new(&MEMBERS, settings(Strategy::Origin));
    net.run(LIMIT);
    assert_eq!(net.origin_reads, CHUNKS * MEMBERS.len() as u32);
}

#[test]
fn chunks_of_a_corrupting_peer_come_from_elsewhere() {
    each_strategy(|settings| {
        let mut net = Net::new(&MEMBERS, settings);
        net.fates.insert(3, Fate::Corrupting);
        net.run(LIMIT);
        assert!(net.origin_reads <= CHUNKS * 3 / 2, "{}", net.origin_reads);
    });
}

#[test]
fn a_vm_that_dies_is_replaced_by_the_others() {
    each_strategy(|settings| {
        for dead in MEMBERS {
            let mut net = Net::new(&MEMBERS, settings);
            net.run_for(Duration::from_millis(60));
            net.fates.insert(dead, Fate::Dead);
            net.run(LIMIT);
            assert!(net.origin_reads <= CHUNKS * 3 / 2, "{}", net.origin_reads);
        }
    });
}

#[test]
fn owners_that_never_start_are_replaced_in_the_order_of_ranks() {
    for fate in [Fate::Dead, Fate::Paused] {
        each_strategy(|settings| {
            let mut net = Net::new(&MEMBERS, settings);
            net.fates.insert(owner(0), fate);
            let took = net.run(LIMIT);
            assert!(took >= settings.takeover_delay);
            assert!(took <= settings.takeover_delay * 6, "{took:?}");
            assert!(net.origin_reads <= CHUNKS * 3 / 2, "{}", net.origin_reads);
        });
    }
}

#[test]
fn a_stalled_peer_does_not_hold_the_others_up() {
    each_strategy(|settings| {
        for stalled in MEMBERS {
            let mut net = Net::new(&MEMBERS, settings);
            net.fates.insert(stalled, Fate::Stalled);
            let took = net.run(LIMIT);
            assert!(took <= Duration::from_secs(12), "{stalled}: {took:?}");
            assert!(net.origin_reads <= CHUNKS * 3 / 2, "{}", net.origin_reads);
        }
    });
}

#[test]
fn a_vm_that_was_paused_catches_up_without_the_origin() {
    each_strategy(|settings| {
        let mut net = Net::new(&MEMBERS, settings);
        net.run_for(Duration::from_millis(100));
        net.fates.insert(5, Fate::Paused);
        net.run(LIMIT);
        let before = net.origin_reads;
        net.fates.insert(5, Fate::Well);
        net.run(LIMIT);
        assert!(net.origin_reads <= before + 2, "{before} {}", net.origin_reads);
    });
}

#[test]
fn both_sides_of_a_partition_get_ready_within_a_budget_each() {
    each_strategy(|settings| {
        let mut net = Net::new(&MEMBERS, settings);
        let (near, far) = MEMBERS.split_at(3);
        net.far = far.iter().copied().collect();
        net.run_for(Duration::from_secs(4));
        net.learn(near);
        net.learn(far);
        net.run(LIMIT);
        assert!(net.origin_reads <= CHUNKS * 3, "{}", net.origin_reads);
        net.far.clear();
        net.learn(&MEMBERS);
        net.run_for(Duration::from_secs(5));
        assert!(net.origin_reads <= CHUNKS * 3, "{}", net.origin_reads);
    });
}

#[test]
fn a_vm_that_joins_late_gets_the_chunks_from_peers() {
    each_strategy(|settings| {
        let mut net = Net::new(&MEMBERS[..7], settings);
        net.run(LIMIT);
        net.join(7, &MEMBERS, settings);
        let took = net.run(LIMIT);
        assert!(took < Duration::from_secs(2), "{took:?}");
        assert!(net.origin_reads <= CHUNKS * 9 / 8, "{}", net.origin_reads);
    });
}

#[test]
fn a_model_larger_than_the_memory_spreads_within_the_budget() {
    each_strategy(|settings| {
        let memory = base::ByteSize(u64::from(CHUNKS / 4));
        let mut net = Net::new(&MEMBERS, TransferSettings { memory, ..settings });
        net.memory = memory.0 as usize;
        net.run(LIMIT);
        assert!(net.origin_reads <= CHUNKS * 3 / 2, "{}", net.origin_reads);
    });
}

#[test]
fn an_origin_that_is_back_after_an_outage_is_not_read_over_the_budget() {
    each_strategy(|settings| {
        let mut net = Net::new(&MEMBERS, settings);
        net.origin = Err(FetchError::Failed);
        net.run_for(Duration::from_secs(20));
        net.origin = Ok(());
        net.run(LIMIT);
        assert!(net.origin_reads <= CHUNKS * 3 / 2, "{}", net.origin_reads);
    });
}

#[test]
fn a_store_that_has_the_chunks_spares_the_origin() {
    each_strategy(|settings| {
        let mut net = Net::new(&MEMBERS, settings);
        net.store = Ok(());
        net.run(LIMIT);
        assert_eq!(net.origin_reads, 0);
    });
}

#[test]
fn more_copies_at_once_stay_within_the_budget() {
    each_strategy(|settings| {
        let origin = OriginBudget { copies: 3, percent: 300 };
        let mut net = Net::new(&MEMBERS, TransferSettings { origin, ..settings });
        net.run(LIMIT);
        assert_eq!(net.origin_reads, CHUNKS * 3);
    });
}

#[test]
fn plans_that_change_often_do_not_put_a_takeover_off() {
    each_strategy(|settings| {
        let mut net = Net::new(&MEMBERS, settings);
        net.fates.insert(owner(0), Fate::Stalled);
        for round in 0..16 {
            let gone = 1 + (owner(0) + 1 + round % 2) % 7;
            let some: Vec<usize> = MEMBERS.into_iter().filter(|&i| i != gone).collect();
            net.run_for(Duration::from_millis(500));
            net.learn(if round % 2 == 0 { &some } else { &MEMBERS });
        }
        net.run(Duration::from_secs(1));
        assert!(net.origin_reads <= CHUNKS * 3 / 2, "{}", net.origin_reads);
    });
}
