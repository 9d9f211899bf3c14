//! When a request leaves the availability zone of this gateway, and how many do.
//!
//! A request leaves at once if its zone cannot meet its objective, another one can and the way there
//! has room. If its zone can meet the objective as well, it leaves only within a share that grows
//! while the zone is short of capacity. A zone without any eligible endpoint limits nothing.

mod share;
mod way;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::{ServiceId, Zone};
use catalog::ZoneDelay;

use crate::{
    PendingRequest,
    candidate::Candidate,
    state::Dispatcher,
    zone_exit::{
        share::ExitShare,
        way::{ErrorEstimate, Way},
    },
};

/// Round trip between two zones as a fraction of the caller's from which the way to other zones is
/// measured. Below it, fixed costs are good enough.
const MIN_ROUND_TRIP_FRACTION: f64 = 0.5;
/// Fraction of the objective within which a zone with plenty of capacity answers.
const FREE_OBJECTIVE_FRACTION: f64 = 0.5;
/// Failure rate above which an endpoint is no reason for a request to stay in its zone.
const MAX_HOME_FAILURE_RATE: f64 = 0.2;
/// Maximum multiple of the fixed cost of a zone that a full way costs.
const MAX_FULLNESS: f64 = 2.0;

/// State of one service by which its requests leave the zone.
#[derive(Debug)]
pub(crate) struct ZoneExit {
    round_trips: HashMap<Zone, Duration>,
    /// Prediction error of the endpoints of this zone, against which ways are measured.
    home_error: ErrorEstimate,
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
    /// Time by which requests begin later there than at home.
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
            home_error: ErrorEstimate::new(0.0),
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
}

/// Requests of this gateway in flight in each other zone.
type InFlightCounts = HashMap<Zone, usize>;

impl Dispatcher {
    /// Sets the published delays between the zones of a service. If its zones are far apart, the ways
    /// between them are measured from now on.
    pub fn set_zone_delays(&mut self, service: &ServiceId, delays: &[ZoneDelay]) {
        let from_here = delays.iter().filter_map(|delay| delay.from_zone(&self.zone));
        let round_trips: HashMap<Zone, Duration> =
            from_here.map(|(zone, delay)| (zone.clone(), 2 * delay)).collect();
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
                    extra_latency: Duration::from_secs_f64(extra_ms.max(0.0) / 1e3),
                    fullness: way.fullness(in_flight.get(zone).copied().unwrap_or(0)),
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
    /// the cost of the way to those that are left.
    pub(crate) fn apply_zone_exit(
        &mut self,
        request: &PendingRequest,
        candidates: &mut Vec<Candidate>,
        now: Instant,
    ) {
        if !self.zone_exits.contains_key(&request.service) {
            return;
        }
        let home: Vec<&Candidate> =
            candidates.iter().filter(|c| self.is_reliable_home(c)).collect();
        let home_meets = home.iter().any(|c| c.meets_objective && c.has_token);
        let home_takes_late = home.iter().any(|c| c.has_late_capacity && c.has_token);
        let has_home = !home.is_empty();
        let is_free = is_home_free(request, &home, now);
        let in_flight = self.remote_in_flight(&request.service);
        let Some(exit) = self.zone_exits.get_mut(&request.service) else { return };
        exit.objective = exit.objective.min(request.latency_objective);
        let rng = self.rng.get_mut();
        if let Some(is_free) = is_free {
            exit.share.record_request(is_free, now, rng);
        }
        // A stream that breaks off again costs its caller more than the way.
        let may_leave = !has_home || request.is_resumed || rng.f64() < exit.share.get();
        let home_error_ms = exit.home_error.value_ms(now);
        let mut costs = HashMap::new();
        for (zone, count) in &in_flight {
            costs.insert(zone.clone(), exit.way(zone).fullness(*count));
        }
        candidates.retain_mut(|c| {
            let zone = &self.endpoints[c.key].listed.zone;
            let Some(&fullness) = costs.get(zone) else {
                c.cost_ms += home_error_ms;
                return true;
            };
            c.cost_ms += fullness.min(MAX_FULLNESS) * self.fixed_distance_cost_ms(zone);
            let stays = match c.meets_objective {
                true => home_meets,
                false => home_meets || home_takes_late,
            };
            !has_home || fullness <= 1.0 && (may_leave || !stays)
        });
    }

    /// Whether a candidate is in this gateway's zone and does not fail often.
    fn is_reliable_home(&self, candidate: &Candidate) -> bool {
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
        let in_flight = self.remote_in_flight(service).get(zone).copied().unwrap_or(0);
        let Some(exit) = self.zone_exits.get_mut(service) else { return error_ms };
        let is_away = *zone != self.zone;
        if let Some(is_late) = is_late {
            exit.share.record_start(is_away, is_late);
        }
        if !is_away {
            exit.home_error.record(error_ms, now);
            return error_ms;
        }
        let expected_extra_ms = exit.extra_ms(zone, now);
        let extra_ms = error_ms - exit.home_error.value_ms(now);
        let objective = exit.objective;
        exit.way(zone).record(extra_ms, objective, in_flight, now);
        error_ms - expected_extra_ms
    }
}

/// Whether the zone's endpoints have plenty of capacity for a request; `None` if nothing can be
/// learned from it.
fn is_home_free(request: &PendingRequest, home: &[&Candidate], now: Instant) -> Option<bool> {
    let objective = request.latency_objective;
    let waited = now.saturating_duration_since(request.requested_at);
    if home.is_empty() || request.was_refused || waited > objective {
        return None;
    }
    let free_ms = objective.as_secs_f64() * 1e3 * FREE_OBJECTIVE_FRACTION;
    let is_free = |c: &&Candidate| c.meets_objective && c.has_token && c.expected_ms <= free_ms;
    Some(home.iter().any(is_free))
}

#[cfg(test)]
mod tests;
