//! The fair queue against sorted lists.

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
    items: Vec<Waiting>,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    id: usize,
    cost: Duration,
    start_by: Instant,
}

/// Start-time fair queueing that looks at every lane and request each time.
#[derive(Debug)]
struct Naive {
    lanes: Vec<Lane>,
    virtual_time: u64,
}

impl Naive {
    fn push(&mut self, lane: usize, waiting: Waiting) {
        let lane = &mut self.lanes[lane];
        if lane.items.is_empty() {
            lane.tag = lane.tag.max(self.virtual_time);
        }
        lane.items.push(waiting);
    }

    /// Lanes whose tag is the lowest; ties may go either way.
    fn next(&self) -> Vec<usize> {
        let tags = self.lanes.iter().filter(|l| !l.items.is_empty()).map(|l| l.tag);
        let Some(lowest) = tags.min() else { return Vec::new() };
        let first = |l: &Lane| !l.items.is_empty() && l.tag == lowest;
        (0..self.lanes.len()).filter(|&i| first(&self.lanes[i])).collect()
    }

    fn take(&mut self, lane: usize) -> Waiting {
        let lane = &mut self.lanes[lane];
        self.virtual_time = self.virtual_time.max(lane.tag);
        let waiting = lane.items.remove(0);
        lane.tag += (waiting.cost.as_nanos() as f64 / lane.weight) as u64;
        waiting
    }

    /// The earliest time by which a request must start, and its lane and position by `id`.
    fn late(&self, now: Instant) -> Option<Instant> {
        let all = self.lanes.iter().flat_map(|l| &l.items).map(|w| w.start_by);
        all.min().filter(|start_by| now >= *start_by)
    }

    fn drop(&mut self, id: usize) -> Waiting {
        let lane = self.lanes.iter_mut().find(|l| l.items.iter().any(|w| w.id == id)).unwrap();
        let at = lane.items.iter().position(|w| w.id == id).unwrap();
        lane.items.remove(at)
    }
}

#[test]
fn the_queue_serves_as_sorted_lists_do() {
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
        let mut naive = Naive { lanes: weights.iter().map(lane).collect(), virtual_time: 0 };
        for id in 0..STEPS {
            now += Duration::from_millis(1);
            match below(5) {
                0..3 => {
                    let lane = below(lanes);
                    let cost = Duration::from_millis(1 + below(50) as u64);
                    let start_by = now + Duration::from_millis(below(200) as u64);
                    let entrant = QueueRequest {
                        item: id,
                        workspace: name(lane),
                        weight: weights[lane],
                        max_waiting: 10_000,
                        cost,
                        start_by,
                    };
                    queue.push(entrant).unwrap();
                    naive.push(lane, Waiting { id, cost, start_by });
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
                    let late = naive.late(now);
                    let got = queue.pop_overdue(now);
                    let start_by = got.map(|id| naive.drop(id).start_by);
                    assert_eq!(start_by, late, "seed {seed} step {id}");
                }
            }
            let waiting: usize = naive.lanes.iter().map(|l| l.items.len()).sum();
            assert_eq!(queue.len(), waiting, "seed {seed} step {id}");
        }
    }
}
