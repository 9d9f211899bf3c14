//! The part of each share that this entry enforces.

use std::collections::BTreeMap;

use base::{ServiceId, WorkspaceId};
use manifest::Manifest;

use crate::usage::{Flow, FlowKey, UsageTotals};

/// Part of a rate that is spread evenly over the entries, whatever their demand.
const EVEN_FRACTION: f64 = 0.1;
/// Demand over answers from which a service counts as overloaded.
const OVERLOAD_RATIO: f64 = 1.15;
/// Requests a second below which nothing counts as overloaded.
const MIN_DEMAND: f64 = 1.0;

/// What this entry may do of what all entries may do together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LocalQuotas {
    /// Part of each workspace's rate limit, between 0 and 1.
    rates: BTreeMap<WorkspaceId, f64>,
    /// Weight of each workspace in this entry's queues.
    weights: BTreeMap<FlowKey, f64>,
    /// Part of the slots of an overloaded service, between 0 and 1.
    slots: BTreeMap<ServiceId, f64>,
    /// What is used for all that is not listed.
    even_fraction: f64,
}

impl LocalQuotas {
    /// Even parts for each of `entries`: safe without news of the others.
    pub fn even(entries: usize) -> LocalQuotas {
        LocalQuotas { even_fraction: 1.0 / entries.max(1) as f64, ..LocalQuotas::default() }
    }

    /// Parts by demand.
    pub fn from_totals(manifest: &Manifest, totals: &UsageTotals) -> LocalQuotas {
        let mut parts = LocalQuotas::even(totals.entries);
        for workspace in &manifest.workspaces {
            let all = totals.all.of_workspace(&workspace.id).demand;
            let own = totals.own.of_workspace(&workspace.id).demand;
            let part = local_rate_fraction(workspace.requests.0, own, all, parts.even_fraction);
            parts.rates.insert(workspace.id.clone(), part);
        }
        for service in &manifest.services {
            parts.add_service(manifest, totals, &service.id);
        }
        parts
    }

    fn add_service(&mut self, manifest: &Manifest, totals: &UsageTotals, service: &ServiceId) {
        let mut claims = Vec::new();
        for workspace in &manifest.workspaces {
            let key = (service.clone(), workspace.id.clone());
            let (all, own) = (totals.all.get(&key), totals.own.get(&key));
            let share = workspace.share.fraction();
            let local = local_demand_fraction(own.demand, all.demand, self.even_fraction);
            self.weights.insert(key, share * local);
            claims.push(Claim { share, total: all, local_fraction: local });
        }
        let demand: f64 = claims.iter().map(|c| c.total.demand).sum();
        let served: f64 = claims.iter().map(|c| c.total.served).sum();
        if demand > MIN_DEMAND && demand > served * OVERLOAD_RATIO {
            self.slots.insert(service.clone(), local_slot_fraction(&claims, served));
        }
    }

    /// The part of a workspace's rate limit that this entry enforces.
    pub fn rate_fraction(&self, workspace: &WorkspaceId) -> f64 {
        self.rates.get(workspace).copied().unwrap_or(self.even_fraction)
    }

    /// The weight of a workspace in this entry's queue; `share` is its share.
    pub fn queue_weight(&self, key: &FlowKey, share: f64) -> f64 {
        self.weights.get(key).copied().unwrap_or(share * self.even_fraction)
    }

    /// The part of the slots of a service that this entry may use; `None` unless it is overloaded.
    pub fn slot_fraction(&self, service: &ServiceId) -> Option<f64> {
        self.slots.get(service).copied()
    }
}

/// A workspace's claim on a service.
struct Claim {
    share: f64,
    /// Over all entries.
    total: Flow,
    /// The part of its demand that arrives here.
    local_fraction: f64,
}

/// Demand here gets what it needs while the whole is below the limit; the rest is spread evenly. The
/// parts of all entries add up to one.
fn local_rate_fraction(limit: f64, own: f64, all: f64, even: f64) -> f64 {
    if limit <= 0.0 || all <= 0.0 {
        return even;
    }
    let spare = (limit - all).max(limit * EVEN_FRACTION);
    ((limit - spare) * own / all + spare * even) / limit
}

fn local_demand_fraction(own: f64, all: f64, even: f64) -> f64 {
    if all <= 0.0 {
        even
    } else {
        ((1.0 - EVEN_FRACTION) * own / all + EVEN_FRACTION * even).min(1.0)
    }
}

/// The part of the capacity that goes to the workspaces' requests here, if each gets its weighted
/// share and what one leaves goes to the others.
fn local_slot_fraction(claims: &[Claim], capacity: f64) -> f64 {
    let mut left = capacity;
    let mut given = vec![0.0; claims.len()];
    let mut open: Vec<usize> = (0..claims.len()).collect();
    loop {
        let shares: f64 = open.iter().map(|i| claims[*i].share).sum();
        let fair = |i: usize| left * claims[i].share / shares.max(f64::MIN_POSITIVE);
        let Some(at) = open.iter().position(|i| claims[*i].total.demand <= fair(*i)) else {
            open.iter().for_each(|i| given[*i] = fair(*i));
            break;
        };
        let index = open.remove(at);
        given[index] = claims[index].total.demand;
        left -= given[index];
    }
    let here: f64 =
        claims.iter().zip(&given).map(|(claim, given)| claim.local_fraction * given).sum();
    (here / capacity.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
}
