//! Checks the fair queue against a naive implementation with lists.

use std::time::{Duration, Instant};

use base::WorkspaceId;
use limits::{FairQueue, QueueRequest};
use quickcheck::{Arbitrary, Gen};

const CASES: u64 = 200;
const STEPS: usize = 120;

#[derive(Debug)]
struct Lane {
    weight: f64,
    tag: u64,
    items: Vec<Request>,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    id: usize,
    cost: Duration,
    start_by: Instant,
}

/// Start-time fair queueing that searches every lane and request each time.
#[derive(Debug)]
struct NaiveQueue {
    lanes: Vec<Lane>,
    virtual_time: u64,
}

impl NaiveQueue {
    fn push(&mut self, lane: usize, waiting: Request) {
        let lane = &mut self.lanes[lane];
        if lane.items.is_empty() {
            lane.tag = lane.tag.max(self.virtual_time);
        }
        lane.items.push(waiting);
    }

    /// Lanes with the lowest tag; ties may be broken either way.
    fn next(&self) -> Vec<usize> {
        let tags = self.lanes.iter().filter(|l| !l.items.is_empty()).map(|l| l.tag);
        let Some(lowest) = tags.min() else { return Vec::new() };
        let first = |l: &Lane| !l.items.is_empty() && l.tag == lowest;
        (0..self.lanes.len()).filter(|&i| first(&self.lanes[i])).collect()
    }

    fn take(&mut self, lane: usize) -> Request {
        let lane = &mut self.lanes[lane];
        self.virtual_time = self.virtual_time.max(lane.tag);
        let waiting = lane.items.remove(0);
        lane.tag += (waiting.cost.as_nanos() as f64 / lane.weight) as u64;
        waiting
    }

    /// The earliest `start_by` of all requests, if it has passed.
    fn overdue(&self, now: Instant) -> Option<Instant> {
        let all = self.lanes.iter().flat_map(|l| &l.items).map(|w| w.start_by);
        all.min().filter(|start_by| now >= *start_by)
    }

    fn remove_by_id(&mut self, id: usize) -> Request {
        let lane = self.lanes.iter_mut().find(|l| l.items.iter().any(|w| w.id == id)).unwrap();
        let at = lane.items.iter().position(|w| w.id == id).unwrap();
        lane.items.remove(at)
    }
}

#[test]
fn the_queue_serves_like_the_naive_implementation() {
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(20, seed);
        let mut below = |n: usize| usize::arbitrary(&mut g) % n;
        let start = Instant::now();
        let mut now = start;
        let lanes = 1 + below(4);
        let weights: Vec<f64> = (0..lanes).map(|_| (1 + below(9)) as f64).collect();
        let name = |lane: usize| format!("w{lane}").parse::<WorkspaceId>().unwrap();
        let mut queue = FairQueue::new(10_000);
        let lane = |weight: &f64| Lane { weight: *weight, tag: 0, items: Vec::new() };
        let mut naive = NaiveQueue { lanes: weights.iter().map(lane).collect(), virtual_time: 0 };
        for id in 0..STEPS {
            now += Duration::from_millis(1);
            match below(5) {
                0..3 => {
                    let lane = below(lanes);
                    let cost = Duration::from_millis(1 + below(50) as u64);
                    let start_by = now + Duration::from_millis(below(200) as u64);
                    let request = QueueRequest {
                        item: id,
                        workspace: name(lane),
                        weight: weights[lane],
                        max_waiting: 10_000,
                        cost,
                        start_by,
                    };
                    queue.push(request).unwrap();
                    naive.push(lane, Request { id, cost, start_by });
                }
                3 => {
                    let next = naive.next();
                    let got = queue.pop();
                    let from = next.iter().find(|&&l| Some(naive.lanes[l].items[0].id) == got);
                    assert_eq!(got.is_some(), from.is_some(), "seed {seed} step {id}: {naive:?}");
                    if let Some(&lane) = from {
                        naive.take(lane);
                    }
                }
                _ => {
                    let overdue = naive.overdue(now);
                    let got = queue.pop_overdue(now);
                    let start_by = got.map(|id| naive.remove_by_id(id).start_by);
                    assert_eq!(start_by, overdue, "seed {seed} step {id}");
                }
            }
            let waiting: usize = naive.lanes.iter().map(|l| l.items.len()).sum();
            assert_eq!(queue.len(), waiting, "seed {seed} step {id}");
        }
    }
}
