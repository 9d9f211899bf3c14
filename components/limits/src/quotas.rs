//! This entry's fraction of the limits that apply over all entries.

use std::collections::BTreeMap;

use base::{ServiceId, WorkspaceId};
use manifest::Manifest;

use crate::usage::{Flow, FlowKey, UsageTotals};

/// Fraction of a rate limit that is divided evenly among the entries, whatever their demand.
const EVEN_FRACTION: f64 = 0.1;
/// Ratio of demand to answers above which a service counts as overloaded.
const OVERLOAD_RATIO: f64 = 1.15;
/// Demand in requests per second below which a service never counts as overloaded.
const MIN_DEMAND: f64 = 1.0;

/// This entry's fractions of the limits that apply over all entries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LocalQuotas {
    /// Fraction of each workspace's rate limit, between 0 and 1.
    rates: BTreeMap<WorkspaceId, f64>,
    /// Weight of each workspace in this entry's queues.
    weights: BTreeMap<FlowKey, f64>,
    /// Fraction of the slots of an overloaded service, between 0 and 1.
    slots: BTreeMap<ServiceId, f64>,
    /// Fraction for everything that is not listed.
    even_fraction: f64,
}

impl LocalQuotas {
    /// An even fraction for each of `entries`: safe while the usage of the other entries is
    /// unknown.
    pub fn even(entries: usize) -> LocalQuotas {
        LocalQuotas { even_fraction: 1.0 / entries.max(1) as f64, ..LocalQuotas::default() }
    }

    /// Fractions that follow the demand at this entry.
    pub fn from_totals(manifest: &Manifest, totals: &UsageTotals) -> LocalQuotas {
        let mut quotas = LocalQuotas::even(totals.entries);
        for workspace in &manifest.workspaces {
            let all = totals.all.of_workspace(&workspace.id).demand;
            let own = totals.own.of_workspace(&workspace.id).demand;
            let fraction =
                local_rate_fraction(workspace.requests.0, own, all, quotas.even_fraction);
            quotas.rates.insert(workspace.id.clone(), fraction);
        }
        for service in &manifest.services {
            quotas.add_service(manifest, totals, &service.id);
        }
        quotas
    }

    fn add_service(&mut self, manifest: &Manifest, totals: &UsageTotals, service: &ServiceId) {
        let mut claims = Vec::new();
        for workspace in &manifest.workspaces {
            let key = (service.clone(), workspace.id.clone());
            let (total, own) = (totals.all.get(&key), totals.own.get(&key));
            let share = workspace.share.fraction();
            let local_fraction =
                local_demand_fraction(own.demand, total.demand, self.even_fraction);
            self.weights.insert(key, share * local_fraction);
            claims.push(Claim { share, total, local_fraction });
        }
        let demand: f64 = claims.iter().map(|c| c.total.demand).sum();
        let served: f64 = claims.iter().map(|c| c.total.served).sum();
        if demand > MIN_DEMAND && demand > served * OVERLOAD_RATIO {
            self.slots.insert(service.clone(), local_slot_fraction(&claims, served));
        }
    }

    /// The fraction of a workspace's rate limit that this entry enforces.
    pub fn rate_fraction(&self, workspace: &WorkspaceId) -> f64 {
        self.rates.get(workspace).copied().unwrap_or(self.even_fraction)
    }

    /// The weight of a workspace in this entry's queue; `share` is the workspace's configured
    /// share.
    pub fn queue_weight(&self, key: &FlowKey, share: f64) -> f64 {
        self.weights.get(key).copied().unwrap_or(share * self.even_fraction)
    }

    /// The fraction of a service's slots that this entry may use; `None` unless the service is
    /// overloaded.
    pub fn slot_fraction(&self, service: &ServiceId) -> Option<f64> {
        self.slots.get(service).copied()
    }
}

/// A workspace's claim on the capacity of a service.
struct Claim {
    share: f64,
    /// The workspace's flow over all entries.
    total: Flow,
    /// The fraction of its demand that arrives at this entry.
    local_fraction: f64,
}

/// While the total demand is below the limit, each entry gets what its own demand needs and the
/// rest is divided evenly. The fractions of all entries add up to one.
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

/// The fraction of the capacity that goes to the workspaces' requests at this entry, if each
/// workspace gets its weighted share and what one leaves unused goes to the others.
fn local_slot_fraction(claims: &[Claim], capacity: f64) -> f64 {
    let mut remaining = capacity;
    let mut assigned = vec![0.0; claims.len()];
    let mut unsatisfied: Vec<usize> = (0..claims.len()).collect();
    loop {
        let shares: f64 = unsatisfied.iter().map(|i| claims[*i].share).sum();
        let fair_share = |i: usize| remaining * claims[i].share / shares.max(f64::MIN_POSITIVE);
        let Some(at) = unsatisfied.iter().position(|i| claims[*i].total.demand <= fair_share(*i))
        else {
            unsatisfied.iter().for_each(|i| assigned[*i] = fair_share(*i));
            break;
        };
        let index = unsatisfied.remove(at);
        assigned[index] = claims[index].total.demand;
        remaining -= assigned[index];
    }
    let here: f64 =
        claims.iter().zip(&assigned).map(|(claim, assigned)| claim.local_fraction * assigned).sum();
    (here / capacity.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
}
