//! When a request leaves the availability zone of this gateway, and how many do.
//!
//! A request leaves at once if its zone cannot meet its objective, another one can and the way there
//! has room. If its zone can meet the objective as well, it leaves only within a share that grows
//! while the zone is short of capacity. A zone without a reliable eligible endpoint limits
//! nothing.

mod local;
mod share;
mod way;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::{ServiceId, Zone};
use catalog::ZoneDelay;
use fastrand::Rng;

use crate::{
    PendingRequest,
    candidate::{Candidate, predicted_time},
    state::Dispatcher,
    zone_exit::{
        local::LocalCapacity,
        share::ExitShare,
        way::{ErrorEstimate, Way, WayState},
    },
};

/// Round trip between two zones as a fraction of the caller's from which the way to other zones is
/// measured. Below it, fixed costs are good enough.
const MIN_ROUND_TRIP_FRACTION: f64 = 0.5;
/// Failure rate above which an endpoint is no reason for a request to stay in its zone.
const MAX_HOME_FAILURE_RATE: f64 = 0.2;

/// State of one service by which its requests leave the zone.
#[derive(Debug, Clone)]
pub(crate) struct ZoneExit {
    round_trips: HashMap<Zone, Duration>,
    /// Prediction error of the endpoints of this zone, against which ways are measured.
    local_error: ErrorEstimate,
    /// Shortest objective of the requests so far.
    objective: Duration,
    share: ExitShare,
    ways: HashMap<Zone, Way>,
}

/// What a gateway knows of the way to another availability zone.
#[derive(Debug, Clone, PartialEq)]
pub struct WayView {
    /// The service whose requests take the way.
    pub service: ServiceId,
    /// The other zone.
    pub zone: Zone,
    /// Time by which requests begin later there than in the own zone.
    pub extra_latency: Duration,
    /// The requests in flight as a fraction of those that the way takes.
    pub fullness: f64,
    /// Fraction of the service's requests that may leave although their zone meets the objective.
    pub share: f64,
}

impl ZoneExit {
    fn new(round_trips: HashMap<Zone, Duration>) -> ZoneExit {
        ZoneExit {
            round_trips,
            local_error: ErrorEstimate::new(0.0),
            objective: Duration::MAX,
            share: ExitShare::default(),
            ways: HashMap::new(),
        }
    }

    /// Time by which requests begin later in another zone, in milliseconds.
    pub(crate) fn extra_ms(&self, zone: &Zone, now: Instant) -> f64 {
        match self.ways.get(zone) {
            Some(way) => way.extra_ms(now),
            None => self.round_trip(zone).as_secs_f64() * 1e3,
        }
    }

    /// The published round trip to a zone; the longest one if none is published for it.
    fn round_trip(&self, zone: &Zone) -> Duration {
        let longest = || self.round_trips.values().max().copied().unwrap_or_default();
        self.round_trips.get(zone).copied().unwrap_or_else(longest)
    }

    fn way(&mut self, zone: &Zone) -> &mut Way {
        let round_trip = self.round_trip(zone);
        self.ways.entry(zone.clone()).or_insert_with(|| Way::new(round_trip))
    }

    /// Records what the zone can do for a request, and draws whether the request belongs to the share
    /// that may leave all the same.
    fn draw(&mut self, local: LocalCapacity, now: Instant, rng: &mut Rng) -> bool {
        if let Some(is_free) = local.is_free() {
            self.share.record_request(is_free, now, rng);
        }
        rng.f64() < self.share.get()
    }

    fn way_states(&mut self, in_flight: &InFlightCounts) -> HashMap<Zone, WayState> {
        let state = |(zone, count): (&Zone, &usize)| (zone.clone(), self.way(zone).state(*count));
        in_flight.iter().map(state).collect()
    }
}

/// Requests of this gateway in flight in each other zone.
type InFlightCounts = HashMap<Zone, usize>;

impl Dispatcher {
    /// Sets the published delays between the zones of a service. If its zones are far apart, the ways
    /// between them are measured from now on.
    pub fn set_zone_delays(&mut self, service: &ServiceId, delays: &[ZoneDelay]) {
        let from_here = delays.iter().filter_map(|delay| delay.from_zone(&self.zone));
        let round_trips: HashMap<Zone, Duration> =
            from_here.map(|(zone, delay)| (zone.clone(), delay.saturating_mul(2))).collect();
        let min = self.settings.caller_round_trip.mul_f64(MIN_ROUND_TRIP_FRACTION);
        if !round_trips.values().any(|time| *time >= min) {
            self.zone_exits.remove(service);
            return;
        }
        let exit = self.zone_exits.get_mut(service);
        match exit.filter(|exit| exit.round_trips == round_trips) {
            Some(_) => {}
            None => drop(self.zone_exits.insert(service.clone(), ZoneExit::new(round_trips))),
        }
    }

    /// The ways to other zones on which requests were sent.
    pub fn ways(&self, now: Instant) -> Vec<WayView> {
        let mut views = Vec::new();
        for (service, exit) in &self.zone_exits {
            let in_flight = self.remote_in_flight(service);
            for (zone, way) in &exit.ways {
                let extra_ms = way.extra_ms(now);
                views.push(WayView {
                    service: service.clone(),
                    zone: zone.clone(),
                    extra_latency: predicted_time(extra_ms),
                    fullness: way.state(in_flight.get(zone).copied().unwrap_or(0)).fullness,
                    share: exit.share.get(),
                });
            }
        }
        views
    }

    fn remote_in_flight(&self, service: &ServiceId) -> InFlightCounts {
        let mut counts = InFlightCounts::new();
        for tracked in self.endpoints.values() {
            let listed = &tracked.listed;
            if listed.service == *service && listed.zone != self.zone {
                match counts.get_mut(&listed.zone) {
                    Some(count) => *count += tracked.in_flight.len(),
                    None => drop(counts.insert(listed.zone.clone(), tracked.in_flight.len())),
                }
            }
        }
        counts
    }

    /// Drops the candidates of other zones for which the request does not leave its zone, and adds
    /// the measured costs to those that are left.
    pub(crate) fn apply_zone_exit(
        &mut self,
        request: &PendingRequest,
        candidates: &mut Vec<Candidate>,
        now: Instant,
    ) {
        if !self.zone_exits.contains_key(&request.service) {
            return;
        }
        let reliable = candidates.iter().filter(|c| self.is_reliable_local(c));
        let local = LocalCapacity::new(request, reliable, now);
        let in_flight = self.remote_in_flight(&request.service);
        let Some(exit) = self.zone_exits.get_mut(&request.service) else { return };
        exit.objective = exit.objective.min(request.latency_objective);
        let is_drawn = exit.draw(local, now, self.rng.get_mut());
        // A stream that breaks off again costs its caller more than the way.
        let may_leave = is_drawn || request.is_resumed;
        let local_cost_ms = exit.local_error.value_ms(now);
        let ways = exit.way_states(&in_flight);
        candidates.retain_mut(|c| {
            let zone = &self.endpoints[c.key].listed.zone;
            let Some(way) = ways.get(zone) else {
                c.cost_ms += local_cost_ms;
                return true;
            };
            c.cost_ms += way.fullness * self.fixed_distance_cost_ms(zone);
            !local.exists || way.has_room && (may_leave || !local.serves_as_well(c))
        });
    }

    /// Whether a candidate is in this gateway's zone and rarely fails.
    fn is_reliable_local(&self, candidate: &Candidate) -> bool {
        let tracked = &self.endpoints[candidate.key];
        tracked.listed.zone == self.zone && tracked.health.failure_rate() <= MAX_HOME_FAILURE_RATE
    }

    /// Records how much later than predicted a request began. Returns the part of that error that is
    /// not due to the way.
    pub(crate) fn record_way_error(
        &mut self,
        service: &ServiceId,
        zone: &Zone,
        error_ms: f64,
        is_late: Option<bool>,
        now: Instant,
    ) -> f64 {
        if !self.zone_exits.contains_key(service) {
            return error_ms;
        }
        let is_away = *zone != self.zone;
        let in_flight = if is_away { self.remote_in_flight(service) } else { HashMap::new() };
        let Some(exit) = self.zone_exits.get_mut(service) else { return error_ms };
        if let Some(is_late) = is_late {
            exit.share.record_start(is_away, is_late);
        }
        if !is_away {
            exit.local_error.record(error_ms, now);
            return error_ms;
        }
        let expected_extra_ms = exit.extra_ms(zone, now);
        let extra_ms = error_ms - exit.local_error.value_ms(now);
        let count = in_flight.get(zone).copied().unwrap_or(0);
        let objective = exit.objective;
        exit.way(zone).record(extra_ms, objective, count, now);
        error_ms - expected_extra_ms
    }
}

#[cfg(test)]
mod tests;
