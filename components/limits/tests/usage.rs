//! The gossip of usage between entries, and the quotas that follow from it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::{Permille, Rate, ServiceId, VmId, WorkspaceId};
use fastrand::Rng;
use limits::{FlowKey, LocalQuotas, UsageGossip, UsageSettings};
use manifest::{Manifest, Service, ServiceKind, Workspace};

const STEP: Duration = Duration::from_millis(10);

fn service() -> ServiceId {
    "chat".parse().unwrap()
}

fn workspace(index: usize) -> WorkspaceId {
    format!("w{index}").parse().unwrap()
}

fn key(index: usize) -> FlowKey {
    (service(), workspace(index))
}

fn manifest(shares: &[u32], rate: f64) -> Manifest {
    let row = |(index, share): (usize, &u32)| Workspace {
        id: workspace(index),
        share: Permille(*share),
        requests: Rate(rate),
        queue: 64,
        keys: Vec::new(),
    };
    let chat = Service { id: service(), kind: ServiceKind::Model, unrepeatable: Vec::new() };
    Manifest {
        workspaces: shares.iter().enumerate().map(row).collect(),
        services: vec![chat],
        ..Manifest::default()
    }
}

/// Entries that exchange messages, some of which are lost.
struct Group {
    entries: Vec<UsageGossip>,
    rng: Rng,
    /// Fraction of the messages that are lost.
    loss: f64,
    /// Arrivals per second by entry and workspace.
    arrivals: HashMap<(usize, usize), f64>,
    /// Fraction of the arrivals that are answered.
    served: f64,
    now: Instant,
}

impl Group {
    fn new(count: usize, loss: f64, now: Instant) -> Group {
        let id = |i: usize| -> VmId { format!("entry-{i}").parse().unwrap() };
        let usage = |i| UsageGossip::new(id(i), UsageSettings::default(), now);
        Group {
            entries: (0..count).map(usage).collect(),
            rng: Rng::with_seed(3),
            loss,
            arrivals: HashMap::new(),
            served: 1.0,
            now,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let mut credit: HashMap<(usize, usize), f64> = HashMap::new();
        while self.now < end {
            for (at, rate) in &self.arrivals {
                let due = credit.entry(*at).or_default();
                *due += rate * STEP.as_secs_f64();
                while *due >= 1.0 {
                    *due -= 1.0;
                    self.entries[at.0].record_arrival(&key(at.1), self.now);
                    if self.rng.f64() < self.served {
                        self.entries[at.0].record_served(&key(at.1), self.now);
                    }
                }
            }
            self.exchange();
            self.now += STEP;
        }
    }

    fn exchange(&mut self) {
        let count = self.entries.len();
        for from in 0..count {
            let Some(message) = self.entries[from].tick(count, self.now) else { continue };
            let to = (from + 1 + self.rng.usize(..count - 1)) % count;
            if self.rng.f64() >= self.loss {
                self.entries[to].receive(message, count, self.now);
            }
        }
    }

    fn quotas(&self, manifest: &Manifest) -> Vec<LocalQuotas> {
        let quotas = |usage: &UsageGossip| match usage.totals(self.now) {
            Some(totals) => LocalQuotas::from_totals(manifest, totals),
            None => LocalQuotas::even(self.entries.len()),
        };
        self.entries.iter().map(quotas).collect()
    }
}

#[test]
fn all_entries_learn_the_totals_even_if_messages_are_lost() {
    for loss in [0.0, 0.1] {
        let mut group = Group::new(20, loss, Instant::now());
        for entry in 0..20 {
            group.arrivals.insert((entry, 0), if entry < 5 { 40.0 } else { 4.0 });
        }
        group.run(Duration::from_secs(25));
        let total = 5.0 * 40.0 + 15.0 * 4.0;
        for usage in &group.entries {
            let measured = usage.totals(group.now).unwrap().all.get(&key(0)).demand;
            assert!(
                (measured / total - 1.0).abs() < 0.25,
                "{measured} instead of {total}, loss {loss}"
            );
        }
    }
}

#[test]
fn rate_fractions_follow_demand_and_add_up_to_one() {
    let manifest = manifest(&[1000], 100.0);
    let mut group = Group::new(3, 0.0, Instant::now());
    group.arrivals = HashMap::from([((0, 0), 180.0), ((1, 0), 20.0)]);
    group.run(Duration::from_secs(15));
    let fractions: Vec<f64> =
        group.quotas(&manifest).iter().map(|p| p.rate_fraction(&workspace(0))).collect();
    assert!(fractions[0] > 0.75, "{fractions:?}");
    assert!(fractions[2] > 0.02, "{fractions:?}");
    let sum: f64 = fractions.iter().sum();
    assert!((sum - 1.0).abs() < 0.1, "{fractions:?}");
}

#[test]
fn a_workspace_below_its_rate_may_burst_at_any_entry() {
    let manifest = manifest(&[1000], 100.0);
    let mut group = Group::new(2, 0.0, Instant::now());
    group.arrivals = HashMap::from([((0, 0), 10.0)]);
    group.run(Duration::from_secs(15));
    let idle = group.quotas(&manifest)[1].rate_fraction(&workspace(0));
    assert!(idle > 0.4, "{idle}");
}

#[test]
fn silent_peers_leave_an_even_fraction() {
    let manifest = manifest(&[1000], 100.0);
    let mut group = Group::new(3, 0.0, Instant::now());
    group.arrivals = HashMap::from([((0, 0), 180.0), ((1, 0), 20.0)]);
    group.run(Duration::from_secs(15));
    group.loss = 1.0;
    group.run(Duration::from_secs(30));
    for quotas in group.quotas(&manifest) {
        assert!((quotas.rate_fraction(&workspace(0)) - 1.0 / 3.0).abs() < 1e-9);
        assert_eq!(quotas.slot_fraction(&service()), None);
    }
}

#[test]
fn weights_and_slots_make_shares_hold_over_all_entries() {
    let manifest = manifest(&[500, 500], 1e6);
    let mut group = Group::new(2, 0.0, Instant::now());
    // One workspace uses both entries, the other only the second.
    group.arrivals = HashMap::from([((0, 0), 60.0), ((1, 0), 60.0), ((1, 1), 120.0)]);
    group.served = 0.4;
    group.run(Duration::from_secs(15));
    let quotas = group.quotas(&manifest);
    let slots_of = |w: usize| -> f64 {
        let fraction = |(entry, p): (usize, &LocalQuotas)| {
            // A workspace without requests at an entry leaves its weight there to the other.
            let present = |v: usize| group.arrivals.contains_key(&(entry, v));
            let weight = |v: usize| if present(v) { p.queue_weight(&key(v), 0.5) } else { 0.0 };
            p.slot_fraction(&service()).unwrap() * weight(w) / (weight(0) + weight(1))
        };
        quotas.iter().enumerate().map(fraction).sum()
    };
    let (first, second) = (slots_of(0), slots_of(1));
    // Each gets half of the slots, with a tolerance of a tenth.
    assert!((first - 0.5).abs() <= 0.05, "{first} {second}");
    assert!((second - 0.5).abs() <= 0.05, "{first} {second}");
}

#[test]
fn malformed_sums_are_dropped() {
    let mut group = Group::new(2, 0.0, Instant::now());
    group.arrivals = HashMap::from([((0, 0), 10.0)]);
    group.run(Duration::from_secs(10));
    let mut message = group.entries[0].tick(2, group.now + Duration::from_secs(1)).unwrap();
    message.weight = f64::NAN;
    group.entries[1].receive(message, 2, group.now);
    group.run(Duration::from_secs(10));
    let measured = group.entries[1].totals(group.now).unwrap().all.get(&key(0)).demand;
    assert!(measured.is_finite(), "{measured}");
}
