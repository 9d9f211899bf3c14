//! Total usage over all entries, computed by push-sum gossip.
//!
//! In each epoch every entry starts with its own rates and the weight 1. In each round it keeps
//! half of its sums and weight and sends the other half to one random entry, so the ratio of sums
//! to weight converges to the mean over all entries. A lost message takes sums and weight with it
//! in the same proportion, and the next epoch starts afresh.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use base::{ServiceId, VmId, WorkspaceId};
use proto::{FlowRow, UsageUpdate};

use crate::meter::RateMeter;

/// A workspace's requests for a service.
pub type FlowKey = (ServiceId, WorkspaceId);

/// Settings of the gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageSettings {
    /// Time between rounds.
    pub period: Duration,
    /// Rounds of an epoch in addition to two for each doubling of the number of entries.
    pub extra_rounds: u32,
    /// Number of epochs for which totals stay valid without sums from a peer.
    pub max_silent_epochs: u32,
}

impl Default for UsageSettings {
    fn default() -> UsageSettings {
        UsageSettings { period: Duration::from_millis(400), extra_rounds: 4, max_silent_epochs: 2 }
    }
}

/// Rates in requests per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Flow {
    /// Requests that arrived.
    pub demand: f64,
    /// Requests that were answered.
    pub served: f64,
}

impl Flow {
    fn scaled(self, factor: f64) -> Flow {
        Flow { demand: self.demand * factor, served: self.served * factor }
    }

    fn plus(self, other: Flow) -> Flow {
        Flow { demand: self.demand + other.demand, served: self.served + other.served }
    }
}

/// Flows at one moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Flows(pub BTreeMap<FlowKey, Flow>);

impl Flows {
    /// The flow of a workspace at a service.
    pub fn get(&self, key: &FlowKey) -> Flow {
        self.0.get(key).copied().unwrap_or_default()
    }

    /// The sum of a workspace's flows over all services.
    pub fn of_workspace(&self, workspace: &WorkspaceId) -> Flow {
        let rows = self.0.iter().filter(|((_, w), _)| w == workspace);
        rows.fold(Flow::default(), |sum, (_, flow)| sum.plus(*flow))
    }

    fn scaled(&self, factor: f64) -> Flows {
        Flows(self.0.iter().map(|(key, flow)| (key.clone(), flow.scaled(factor))).collect())
    }
}

/// The result of an epoch.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageTotals {
    /// Flows over all entries.
    pub all: Flows,
    /// Flows of this entry at the start of the epoch.
    pub own: Flows,
    /// Number of entries that the totals cover.
    pub entries: usize,
}

/// Measures the flows of this entry and exchanges sums with the other entries.
#[derive(Debug)]
pub struct UsageGossip {
    settings: UsageSettings,
    own_id: VmId,
    meters: BTreeMap<FlowKey, (RateMeter, RateMeter)>,
    epoch: u64,
    own: Flows,
    sums: Flows,
    /// Push-sum weight, above zero.
    weight: f64,
    round: u32,
    next_round_at: Instant,
    /// Whether a peer sent sums in this epoch.
    received_sums: bool,
    /// The latest totals, with the time at which they expire.
    totals: Option<(UsageTotals, Instant)>,
}

impl UsageGossip {
    /// Creates the state of an entry without any flow.
    pub fn new(own_id: VmId, settings: UsageSettings, now: Instant) -> UsageGossip {
        UsageGossip {
            settings,
            own_id,
            meters: BTreeMap::new(),
            epoch: 0,
            own: Flows::default(),
            sums: Flows::default(),
            weight: 1.0,
            round: 0,
            next_round_at: now,
            received_sums: false,
            totals: None,
        }
    }

    /// Records that a request arrived.
    pub fn record_arrival(&mut self, key: &FlowKey, now: Instant) {
        self.meter(key, now).0.record(now);
    }

    /// Records that a request was answered.
    pub fn record_served(&mut self, key: &FlowKey, now: Instant) {
        self.meter(key, now).1.record(now);
    }

    fn meter(&mut self, key: &FlowKey, now: Instant) -> &mut (RateMeter, RateMeter) {
        if !self.meters.contains_key(key) {
            self.meters.insert(key.clone(), (RateMeter::new(now), RateMeter::new(now)));
        }
        self.meters.get_mut(key).expect("it was inserted")
    }

    /// Drops the flows of workspaces that were removed.
    pub fn retain(&mut self, keep: impl Fn(&WorkspaceId) -> bool) {
        self.meters.retain(|(_, workspace), _| keep(workspace));
    }

    /// The totals over all entries; `None` if no peer has sent sums for too long.
    pub fn totals(&self, now: Instant) -> Option<&UsageTotals> {
        let (totals, until) = self.totals.as_ref()?;
        (now < *until).then_some(totals)
    }

    /// Ends a round if it is due. Returns the message for one random other entry; `entries` is the
    /// number of entries including this one.
    pub fn tick(&mut self, entries: usize, now: Instant) -> Option<UsageUpdate> {
        if now < self.next_round_at {
            return None;
        }
        self.next_round_at = now + self.settings.period;
        if self.round >= self.rounds(entries) {
            self.end_epoch(entries, now);
            self.begin_epoch(self.epoch + 1, now);
        }
        self.round += 1;
        if entries <= 1 {
            return None;
        }
        self.weight /= 2.0;
        self.sums = self.sums.scaled(0.5);
        let row = |(key, flow): (&FlowKey, &Flow)| {
            FlowRow(key.0.clone(), key.1.clone(), flow.demand, flow.served)
        };
        let flows = self.sums.0.iter().map(row).collect();
        Some(UsageUpdate {
            from: self.own_id.clone(),
            epoch: self.epoch,
            weight: self.weight,
            flows,
        })
    }

    /// Adds the sums of a peer.
    pub fn receive(&mut self, message: UsageUpdate, entries: usize, now: Instant) {
        let valid = message.weight.is_finite() && message.weight > 0.0;
        if !valid || message.epoch < self.epoch {
            return;
        }
        if message.epoch > self.epoch {
            if self.round >= self.rounds(entries) / 2 {
                self.end_epoch(entries, now);
            }
            self.begin_epoch(message.epoch, now);
        }
        self.received_sums = true;
        self.weight += message.weight;
        for FlowRow(service, workspace, demand, served) in message.flows {
            let sum = self.sums.0.entry((service, workspace)).or_default();
            *sum = sum.plus(Flow { demand: demand.max(0.0), served: served.max(0.0) });
        }
    }

    /// Number of rounds after which the sums of `entries` have converged well enough.
    fn rounds(&self, entries: usize) -> u32 {
        self.settings.extra_rounds + 2 * entries.max(1).next_power_of_two().ilog2()
    }

    fn end_epoch(&mut self, entries: usize, now: Instant) {
        if entries > 1 && !self.received_sums {
            return;
        }
        let all = self.sums.scaled(entries.max(1) as f64 / self.weight);
        let totals = UsageTotals { all, own: self.own.clone(), entries };
        let epoch = self.settings.period * self.rounds(entries);
        self.totals = Some((totals, now + epoch * (1 + self.settings.max_silent_epochs)));
    }

    fn begin_epoch(&mut self, epoch: u64, now: Instant) {
        let flow = |(arrived, served): &(RateMeter, RateMeter)| Flow {
            demand: arrived.rate(now),
            served: served.rate(now),
        };
        let flows = self.meters.iter().map(|(key, meters)| (key.clone(), flow(meters)));
        self.own = Flows(flows.collect());
        self.sums = self.own.clone();
        self.weight = 1.0;
        self.round = 0;
        self.epoch = epoch;
        self.received_sums = false;
    }
}
