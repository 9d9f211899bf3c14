//! Processor time of single decisions at several sizes, and bytes of control messages.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use base::{Incarnation, ServiceId, VmId, WorkspaceId};
use fastrand::Rng;
use limits::{FairQueue, QueueRequest};
use proto::{EndpointState, FlowRow, Load, Serving, UsageUpdate};
use routing::{AllowedReleases, EndpointRequirements, Router, RouterSettings, ZonedVm, subset};

use super::dispatch_cost::decision_micros;
use crate::report::Report;

/// Number of decisions measured at each size.
const ROUNDS: u32 = 100_000;

/// Measures and prints a line for each size.
pub fn run(report: &mut Report) {
    for workspaces in [10, 100, 1_000, 10_000] {
        let micros_per_round = queue_micros(workspaces);
        report.line(
            "queue",
            &[("workspaces", workspaces.into()), ("micros", micros_per_round.into())],
        );
    }
    for endpoints in [100, 1_000, 12_000] {
        let (pick, assign, selected) = route_micros(endpoints, endpoints * 2 / 25);
        report.line(
            "route",
            &[
                ("endpoints", endpoints.into()),
                ("subset", selected.into()),
                ("pick_micros", pick.into()),
                ("assign_ms", (assign / 1e3).into()),
            ],
        );
    }
    for engines in [45, 100, 300, 1_000] {
        let micros = decision_micros(engines);
        report.line("dispatch", &[("engines", engines.into()), ("micros", micros.into())]);
    }
    for rows in [10, 30] {
        report.line("usage", &[("rows", rows.into()), ("body_bytes", usage_bytes(rows).into())]);
    }
}

pub(super) fn id<T: std::str::FromStr>(text: String) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid id")
}

/// Mean time of a round in microseconds.
pub(super) fn micros_per_round(start: Instant, rounds: u32) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

/// Mean time to take one request from a queue and add one, while all workspaces have requests in
/// it.
fn queue_micros(workspaces: usize) -> f64 {
    let now = Instant::now();
    let ids: Vec<WorkspaceId> = (0..workspaces).map(|i| id(format!("workspace-{i}"))).collect();
    let queue_request = |index: usize| QueueRequest {
        item: index,
        workspace: ids[index].clone(),
        weight: 1.0 / workspaces as f64,
        max_waiting: 64,
        cost: Duration::from_millis(100),
        start_by: now + Duration::from_secs(60),
    };
    let mut queue = FairQueue::new(workspaces * 4);
    for index in (0..workspaces).chain(0..workspaces) {
        queue.push(queue_request(index)).expect("the queue is not full");
    }
    let start = Instant::now();
    for _ in 0..ROUNDS {
        let index = queue.pop().expect("the queue is not empty");
        queue.push(queue_request(index)).expect("the queue is not full");
    }
    micros_per_round(start, ROUNDS)
}

/// Mean time of a pick and time of the assignment of endpoints to one entry, in microseconds, and
/// the size of its subset.
fn route_micros(endpoints: usize, entries: usize) -> (f64, f64, usize) {
    let zoned_vm = |name: &str, i: usize| ZonedVm {
        vm: id(format!("{name}-{i}")),
        zone: id(format!("zone-{}", i % 19)),
    };
    let entries: Vec<ZonedVm> = (0..entries).map(|i| zoned_vm("entry", i)).collect();
    let endpoints: Vec<ZonedVm> = (0..endpoints).map(|i| zoned_vm("model", i)).collect();
    let start = Instant::now();
    let selected = subset(&entries[0].vm, &entries, &endpoints, 32);
    let assign = micros_per_round(start, 1);
    let now = Instant::now();
    let service: ServiceId = id("assistant".to_owned());
    let zone = entries[0].zone.clone();
    let mut router = Router::new(zone, RouterSettings::default(), Rng::with_seed(1));
    let current = HashSet::from([id("base@v1".to_owned())]);
    router.set_allowed_releases(&service, AllowedReleases { current, older: HashSet::new() }, now);
    router.set_endpoints(selected.clone(), now);
    selected.iter().for_each(|endpoint| router.observe(state(&endpoint.vm, &service), now));
    let requirements =
        EndpointRequirements { service: &service, release: None, avoid: &[], tried: &[] };
    let start = Instant::now();
    for _ in 0..ROUNDS {
        assert!(router.pick(&requirements, now).is_some());
    }
    (micros_per_round(start, ROUNDS), assign, selected.len())
}

fn state(vm: &VmId, service: &ServiceId) -> EndpointState {
    EndpointState {
        vm: vm.clone(),
        incarnation: Incarnation(1),
        serving: Some(Serving {
            service: service.clone(),
            rollout: None,
            release: "base@v1".parse().ok(),
        }),
        accepting: true,
        load: Load { busy: 3, slots: 64 },
        clock: 0,
    }
}

/// Bytes of the body of one usage message.
fn usage_bytes(rows: usize) -> usize {
    let row = |i: usize| {
        let workspace = id(format!("workspace-{i}"));
        FlowRow(id("assistant".to_owned()), workspace, 12.345_678_9, 11.234_567_8)
    };
    let flows = (0..rows).map(row).collect();
    let update = UsageUpdate { from: id("entry-1".to_owned()), epoch: 1, weight: 0.5, flows };
    serde_json::to_vec(&update).map_or(0, |body| body.len())
}
