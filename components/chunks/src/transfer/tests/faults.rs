//! Fault injection in a small set of VMs.

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
        let mut simulation = Simulation::new(&MEMBERS, settings);
        simulation.run_until_complete(LIMIT);
        assert_eq!(simulation.origin_reads, CHUNKS);
    });
}

#[test]
fn with_the_origin_strategy_every_vm_reads_every_chunk_from_the_origin() {
    let mut simulation = Simulation::new(&MEMBERS, settings(Strategy::Origin));
    simulation.run_until_complete(LIMIT);
    assert_eq!(simulation.origin_reads, CHUNKS * MEMBERS.len() as u32);
}

#[test]
fn chunks_of_a_corrupting_peer_come_from_elsewhere() {
    each_strategy(|settings| {
        let mut simulation = Simulation::new(&MEMBERS, settings);
        simulation.faults.insert(3, Fault::Corrupting);
        simulation.run_until_complete(LIMIT);
        assert!(simulation.origin_reads <= CHUNKS * 3 / 2, "{}", simulation.origin_reads);
    });
}

#[test]
fn a_vm_that_dies_is_replaced_by_the_others() {
    each_strategy(|settings| {
        for dead in MEMBERS {
            let mut simulation = Simulation::new(&MEMBERS, settings);
            simulation.run_for(Duration::from_millis(60));
            simulation.faults.insert(dead, Fault::Dead);
            simulation.run_until_complete(LIMIT);
            assert!(simulation.origin_reads <= CHUNKS * 3 / 2, "{}", simulation.origin_reads);
        }
    });
}

#[test]
fn owners_that_never_start_are_replaced_in_the_order_of_ranks() {
    for fault in [Fault::Dead, Fault::Paused] {
        each_strategy(|settings| {
            let mut simulation = Simulation::new(&MEMBERS, settings);
            simulation.faults.insert(owner(0), fault);
            let took = simulation.run_until_complete(LIMIT);
            assert!(took >= settings.takeover_delay);
            assert!(took <= settings.takeover_delay * 6, "{took:?}");
            assert!(simulation.origin_reads <= CHUNKS * 3 / 2, "{}", simulation.origin_reads);
        });
    }
}

#[test]
fn a_stalled_peer_does_not_delay_the_others() {
    each_strategy(|settings| {
        for stalled in MEMBERS {
            let mut simulation = Simulation::new(&MEMBERS, settings);
            simulation.faults.insert(stalled, Fault::Stalled);
            let took = simulation.run_until_complete(LIMIT);
            assert!(took <= Duration::from_secs(12), "{stalled}: {took:?}");
            assert!(simulation.origin_reads <= CHUNKS * 3 / 2, "{}", simulation.origin_reads);
        }
    });
}

#[test]
fn a_vm_that_was_paused_catches_up_without_the_origin() {
    each_strategy(|settings| {
        let mut simulation = Simulation::new(&MEMBERS, settings);
        simulation.run_for(Duration::from_millis(100));
        simulation.faults.insert(5, Fault::Paused);
        simulation.run_until_complete(LIMIT);
        let before = simulation.origin_reads;
        simulation.faults.insert(5, Fault::Healthy);
        simulation.run_until_complete(LIMIT);
        assert!(simulation.origin_reads <= before + 2, "{before} {}", simulation.origin_reads);
    });
}

#[test]
fn both_sides_of_a_partition_complete_within_a_budget_each() {
    each_strategy(|settings| {
        let mut simulation = Simulation::new(&MEMBERS, settings);
        let (near_side, far_side) = MEMBERS.split_at(3);
        simulation.partitioned = far_side.iter().copied().collect();
        simulation.run_for(Duration::from_secs(4));
        simulation.update_members(near_side);
        simulation.update_members(far_side);
        simulation.run_until_complete(LIMIT);
        assert!(simulation.origin_reads <= CHUNKS * 3, "{}", simulation.origin_reads);
        simulation.partitioned.clear();
        simulation.update_members(&MEMBERS);
        simulation.run_for(Duration::from_secs(5));
        assert!(simulation.origin_reads <= CHUNKS * 3, "{}", simulation.origin_reads);
    });
}

#[test]
fn a_vm_that_joins_late_gets_the_chunks_from_peers() {
    each_strategy(|settings| {
        let mut simulation = Simulation::new(&MEMBERS[..7], settings);
        simulation.run_until_complete(LIMIT);
        simulation.join(7, &MEMBERS, settings);
        let took = simulation.run_until_complete(LIMIT);
        assert!(took < Duration::from_secs(2), "{took:?}");
        assert!(simulation.origin_reads <= CHUNKS * 9 / 8, "{}", simulation.origin_reads);
    });
}

#[test]
fn a_model_larger_than_the_memory_spreads_within_the_budget() {
    each_strategy(|settings| {
        let memory = base::ByteSize(u64::from(CHUNKS / 4));
        let mut simulation = Simulation::new(&MEMBERS, TransferSettings { memory, ..settings });
        simulation.memory = memory.0 as usize;
        simulation.run_until_complete(LIMIT);
        assert!(simulation.origin_reads <= CHUNKS * 3 / 2, "{}", simulation.origin_reads);
    });
}

#[test]
fn an_origin_that_is_back_after_an_outage_is_not_read_over_the_budget() {
    each_strategy(|settings| {
        let mut simulation = Simulation::new(&MEMBERS, settings);
        simulation.origin = Err(FetchError::Failed);
        simulation.run_for(Duration::from_secs(20));
        simulation.origin = Ok(());
        simulation.run_until_complete(LIMIT);
        assert!(simulation.origin_reads <= CHUNKS * 3 / 2, "{}", simulation.origin_reads);
    });
}

#[test]
fn a_store_that_has_the_chunks_spares_the_origin() {
    each_strategy(|settings| {
        let mut simulation = Simulation::new(&MEMBERS, settings);
        simulation.store = Ok(());
        simulation.run_until_complete(LIMIT);
        assert_eq!(simulation.origin_reads, 0);
    });
}

#[test]
fn more_copies_at_once_stay_within_the_budget() {
    each_strategy(|settings| {
        let origin = OriginBudget { copies: 3, percent: 300 };
        let mut simulation = Simulation::new(&MEMBERS, TransferSettings { origin, ..settings });
        simulation.run_until_complete(LIMIT);
        assert_eq!(simulation.origin_reads, CHUNKS * 3);
    });
}

#[test]
fn frequent_plan_changes_do_not_postpone_a_takeover() {
    each_strategy(|settings| {
        let mut simulation = Simulation::new(&MEMBERS, settings);
        simulation.faults.insert(owner(0), Fault::Stalled);
        for round in 0..16 {
            let removed = 1 + (owner(0) + 1 + round % 2) % 7;
            let remaining: Vec<usize> = MEMBERS.into_iter().filter(|&i| i != removed).collect();
            simulation.run_for(Duration::from_millis(500));
            simulation.update_members(if round % 2 == 0 { &remaining } else { &MEMBERS });
        }
        simulation.run_until_complete(Duration::from_secs(1));
        assert!(simulation.origin_reads <= CHUNKS * 3 / 2, "{}", simulation.origin_reads);
    });
}
