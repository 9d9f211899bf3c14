//! What it costs to send a request away from this gateway's availability zone, and to endpoints that
//! other gateways send requests to first.

use std::time::{Duration, Instant};

use base::Zone;
use catalog::Endpoint;

use crate::{DispatchSettings, state::Dispatcher};

/// Maximum penalty of an endpoint in this zone that other gateways prefer, as a multiple of
/// `shared_cost`.
const LOCAL_SHARED_COST_FACTOR: f64 = 2.0;
/// Maximum penalty of an endpoint in another zone that other gateways prefer, as a multiple of
/// `shared_cost`.
const REMOTE_SHARED_COST_FACTOR: f64 = 4.0;

/// How far an endpoint is from this gateway.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Distance {
    /// Penalty of the endpoint, in milliseconds.
    pub(crate) cost_ms: f64,
    /// Measured time by which a request begins later there than predicted, in milliseconds.
    pub(crate) extra_ms: f64,
}

impl Dispatcher {
    /// Returns how far an endpoint is: by measurement for a service whose ways are measured, else by
    /// fixed costs.
    pub(crate) fn distance(&self, listed: &Endpoint, now: Instant) -> Distance {
        match self.zone_exits.get(&listed.service) {
            Some(exit) if listed.zone != self.zone => {
                let extra_ms = exit.extra_ms(&listed.zone, now);
                Distance { cost_ms: extra_ms, extra_ms }
            }
            _ => Distance { cost_ms: self.fixed_distance_cost_ms(&listed.zone), extra_ms: 0.0 },
        }
    }

    /// Penalty of an endpoint that other gateways prefer. It is drawn at random each time, because
    /// gateways that see the same outdated report would otherwise all choose the same endpoint.
    /// Reports from other zones are older, so the penalty is larger for them.
    pub(crate) fn shared_cost_ms(&self, distance: f64) -> f64 {
        let base = self.settings.shared_cost.as_secs_f64() * 1e3;
        let max_cost = if distance > 0.0 {
            REMOTE_SHARED_COST_FACTOR * base
        } else {
            LOCAL_SHARED_COST_FACTOR * base
        };
        self.rng.borrow_mut().f64() * max_cost
    }

    /// Fixed cost of sending a request to another zone, in milliseconds.
    pub(crate) fn fixed_distance_cost_ms(&self, zone: &Zone) -> f64 {
        let DispatchSettings { cross_zone_cost, cross_region_cost, .. } = self.settings;
        if *zone == self.zone {
            return 0.0;
        }
        let same_region = self.regions.get(zone) == self.regions.get(&self.zone);
        let region = if same_region { Duration::ZERO } else { cross_region_cost };
        (cross_zone_cost + region).as_secs_f64() * 1e3
    }
}
