//! Where a request would be sent now, and why. A copy of the dispatcher decides, so that asking changes
//! nothing.

use std::{collections::HashMap, time::Instant};

use crate::{
    Decision, EndpointKey, Exclusion, PendingRequest,
    candidate::{Candidate, FAILURE_COST_MS},
    endpoint::TrackedEndpoint,
    state::Dispatcher,
};

/// What would be decided on a request, and what each endpoint of its service is worth to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation {
    /// The decision.
    pub decision: Decision,
    /// The endpoints of the service: those that the request may be sent to, the best first, and then the
    /// others.
    pub endpoints: Vec<(EndpointKey, Assessment)>,
}

/// What an endpoint is worth to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Assessment {
    /// The request may not be sent to it.
    Excluded(Exclusion),
    /// It is in another zone, and the request does not leave its own.
    StaysInZone(Suitability),
    /// The request may be sent to it.
    Eligible(Suitability),
}

impl Assessment {
    /// How well the endpoint suits the request, unless it is excluded.
    pub fn suitability(&self) -> Option<&Suitability> {
        match self {
            Assessment::Excluded(_) => None,
            Assessment::StaysInZone(suitability) | Assessment::Eligible(suitability) => {
                Some(suitability)
            }
        }
    }
}

/// How well an endpoint suits a request. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Suitability {
    /// Predicted time until the first event.
    pub expected_ms: f64,
    /// Predicted time with all penalties, by which endpoints are compared.
    pub cost_ms: f64,
    /// Penalty for the way to another zone.
    pub distance_ms: f64,
    /// Penalty for failures.
    pub failure_ms: f64,
    /// Whether it can meet the objective.
    pub meets_objective: bool,
    /// Whether it has capacity for a request that misses its objective.
    pub has_late_capacity: bool,
    /// Whether the limit that it names, if it does, leaves this gateway a request.
    pub has_token: bool,
}

impl Dispatcher {
    /// Returns what `submit` would decide on a request now, and why. Changes nothing.
    pub fn explain(&self, request: &PendingRequest, now: Instant) -> Explanation {
        // The copies draw the same random numbers, so that both see the same costs.
        let decision = self.clone().decide_new(request, now);
        let mut endpoints = self.assessments(request, now);
        endpoints
            .sort_by(|(_, a), (_, b)| order(a).cmp(&order(b)).then(cost(a).total_cmp(&cost(b))));
        Explanation { decision, endpoints }
    }

    fn assessments(
        &self,
        request: &PendingRequest,
        now: Instant,
    ) -> Vec<(EndpointKey, Assessment)> {
        let mut assessments: HashMap<EndpointKey, Assessment> = HashMap::new();
        for candidate in self.recorded(request, now).candidates(request, now) {
            let suitability = self.suitability(&candidate, now);
            assessments.insert(candidate.key, Assessment::StaysInZone(suitability));
        }
        for candidate in self.recorded(request, now).weigh(request, now) {
            let suitability = self.suitability(&candidate, now);
            assessments.insert(candidate.key, Assessment::Eligible(suitability));
        }
        let of_service = self.endpoints_of(&request.service);
        let assessment = |(key, tracked): (EndpointKey, &TrackedEndpoint)| {
            // An endpoint that nothing excludes is left out only while it is cold and others are not.
            let excluded = || self.exclusion(key, tracked, request, now).unwrap_or(Exclusion::Cold);
            let assessment = assessments.get(&key).copied();
            (key, assessment.unwrap_or_else(|| Assessment::Excluded(excluded())))
        };
        of_service.map(assessment).collect()
    }

    /// A copy that a request has just arrived at.
    fn recorded(&self, request: &PendingRequest, now: Instant) -> Dispatcher {
        let mut copy = self.clone();
        copy.record_arrival(request, now);
        copy.refill_limits(&request.service, now);
        copy
    }

    fn suitability(&self, candidate: &Candidate, now: Instant) -> Suitability {
        let tracked = &self.endpoints[candidate.key];
        Suitability {
            expected_ms: candidate.expected_ms,
            cost_ms: candidate.cost_ms,
            distance_ms: self.distance(&tracked.listed, now).cost_ms,
            failure_ms: tracked.health.failure_rate() * FAILURE_COST_MS,
            meets_objective: candidate.meets_objective,
            has_late_capacity: candidate.has_late_capacity,
            has_token: candidate.has_token,
        }
    }
}

/// Place of an assessment in the list.
fn order(assessment: &Assessment) -> u8 {
    match assessment {
        Assessment::Eligible(suitability) if suitability.meets_objective => 0,
        Assessment::Eligible(_) => 1,
        Assessment::StaysInZone(_) => 2,
        Assessment::Excluded(_) => 3,
    }
}

fn cost(assessment: &Assessment) -> f64 {
    assessment.suitability().map_or(f64::INFINITY, |suitability| suitability.cost_ms)
}
