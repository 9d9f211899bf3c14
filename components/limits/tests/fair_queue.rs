//! Weighted shares, limits and deadlines of the fair queue.

use std::time::{Duration, Instant};

use base::WorkspaceId;
use limits::{FairQueue, QueueFull, QueueRequest};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const COST: Duration = Duration::from_millis(100);
const HOUR: Duration = Duration::from_secs(3600);

fn name(index: usize) -> WorkspaceId {
    format!("w{index}").parse().unwrap()
}

fn request(index: usize, weight: f64, now: Instant) -> QueueRequest<usize> {
    let workspace = name(index);
    QueueRequest {
        item: index,
        workspace,
        weight,
        max_waiting: 64,
        cost: COST,
        start_by: now + HOUR,
    }
}

/// Serves `served` requests while each workspace always has one waiting; returns the counts.
fn serve_backlogged(weights: &[f64], served: usize) -> Vec<usize> {
    let now = Instant::now();
    let mut queue = FairQueue::new(1024);
    for (index, weight) in weights.iter().enumerate() {
        queue.push(request(index, *weight, now)).unwrap();
        queue.push(request(index, *weight, now)).unwrap();
    }
    let mut counts = vec![0; weights.len()];
    for _ in 0..served {
        let index = queue.pop().unwrap();
        counts[index] += 1;
        queue.push(request(index, weights[index], now)).unwrap();
    }
    counts
}

#[test]
fn backlogged_workspaces_get_their_weighted_shares() {
    let counts = serve_backlogged(&[0.5, 0.25, 0.15, 0.1], 1000);
    assert_eq!(counts.iter().sum::<usize>(), 1000);
    for (count, fair) in counts.iter().zip([500, 250, 150, 100]) {
        assert!(count.abs_diff(fair) <= 2, "{counts:?}");
    }
}

#[derive(Debug, Clone)]
struct Weights(Vec<u16>);

impl Arbitrary for Weights {
    fn arbitrary(g: &mut Gen) -> Weights {
        let count = 1 + usize::arbitrary(g) % 20;
        Weights((0..count).map(|_| 1 + u16::arbitrary(g) % 1000).collect())
    }
}

#[test]
fn shares_hold_for_any_weights() {
    let check = |weights: Weights| {
        let weights: Vec<f64> = weights.0.iter().map(|w| f64::from(*w) / 1000.0).collect();
        let total: f64 = weights.iter().sum();
        let counts = serve_backlogged(&weights, 2000);
        counts.iter().zip(&weights).all(|(count, weight)| {
            let fair = 2000.0 * weight / total;
            (*count as f64 - fair).abs() <= 2.0 + fair * 0.01
        })
    };
    let generator = Gen::from_size_and_seed(100, 7);
    QuickCheck::new().rng(generator).quickcheck(check as fn(Weights) -> bool);
}

#[test]
fn the_first_request_of_an_idle_workspace_waits_one_round_at_most() {
    let now = Instant::now();
    let mut queue = FairQueue::new(1024);
    for index in 0..10 {
        for _ in 0..40 {
            queue.push(request(index, 0.1, now)).unwrap();
        }
    }
    for _ in 0..100 {
        queue.pop().unwrap();
    }
    queue.push(request(99, 0.01, now)).unwrap();
    let round: Vec<usize> = (0..11).map(|_| queue.pop().unwrap()).collect();
    assert!(round.contains(&99), "{round:?}");
}

#[test]
fn an_idle_workspace_accumulates_no_credit() {
    let now = Instant::now();
    let mut queue = FairQueue::new(1024);
    for _ in 0..60 {
        queue.push(request(0, 0.5, now)).unwrap();
    }
    for _ in 0..20 {
        queue.pop().unwrap();
    }
    for _ in 0..20 {
        queue.push(request(1, 0.5, now)).unwrap();
    }
    let late = (0..20).map(|_| queue.pop().unwrap()).filter(|index| *index == 1).count();
    assert!((9..=11).contains(&late), "{late}");
}

#[test]
fn a_workspace_is_charged_for_the_time_that_its_requests_took() {
    let now = Instant::now();
    let mut queue = FairQueue::new(1024);
    let mut counts = [0, 0];
    for index in 0..2 {
        queue.push(request(index, 0.5, now)).unwrap();
        queue.push(request(index, 0.5, now)).unwrap();
    }
    for _ in 0..400 {
        let index = queue.pop().unwrap();
        counts[index] += 1;
        let took = if index == 0 { COST * 3 } else { COST };
        queue.adjust_charge(&name(index), COST, took);
        queue.push(request(index, 0.5, now)).unwrap();
    }
    assert!((98..=102).contains(&counts[0]), "{counts:?}");
}

#[test]
fn a_full_lane_leaves_the_others_their_share() {
    let now = Instant::now();
    let mut queue = FairQueue::new(8);
    let push = |queue: &mut FairQueue<usize>, index| {
        queue.push(QueueRequest { max_waiting: 100, ..request(index, 0.5, now) })
    };
    for _ in 0..8 {
        push(&mut queue, 0).unwrap();
    }
    assert_eq!(push(&mut queue, 0), Err(QueueFull::Total));
    for _ in 0..4 {
        push(&mut queue, 1).unwrap();
    }
    assert_eq!(push(&mut queue, 1), Err(QueueFull::Total));
    let own = queue.push(QueueRequest { max_waiting: 4, ..request(1, 0.5, now) });
    assert_eq!(own, Err(QueueFull::Workspace));
}

#[test]
fn removing_overdue_requests_keeps_the_order() {
    let now = Instant::now();
    let mut queue = FairQueue::new(64);
    for n in 0..4 {
        let start_by = if n % 2 == 0 { now + Duration::from_secs(1) } else { now + HOUR };
        queue.push(QueueRequest { item: n, start_by, ..request(0, 1.0, now) }).unwrap();
    }
    assert_eq!(queue.pop_overdue(now), None);
    let later = now + Duration::from_secs(1);
    assert_eq!(queue.pop_overdue(later), Some(0));
    assert_eq!(queue.pop_overdue(later), Some(2));
    assert_eq!(queue.pop_overdue(later), None);
    assert_eq!([queue.pop(), queue.pop(), queue.pop()], [Some(1), Some(3), None]);
}

#[test]
fn the_expected_wait_follows_the_share() {
    let now = Instant::now();
    let mut queue = FairQueue::new(64);
    for index in 0..2 {
        for _ in 0..9 {
            queue.push(request(index, 0.5, now)).unwrap();
        }
    }
    let wait = queue.estimate_wait(&name(0), 0.5, 10.0);
    assert!((wait.as_secs_f64() - 1.9).abs() < 0.2, "{wait:?}");
    let first = queue.estimate_wait(&name(7), 0.5, 10.0);
    assert!(first < Duration::from_millis(400), "{first:?}");
}
