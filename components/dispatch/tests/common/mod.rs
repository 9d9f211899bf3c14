//! Requests, endpoints and engines, to be changed with update syntax.

use std::time::{Duration, Instant};

use base::ServiceId;
use catalog::{Endpoint, EndpointState, EngineProfile, HeldWeights, Homes, WeightsVersion};
use dispatch::{PendingRequest, Rank};

/// A request of unknown size that has just arrived.
pub fn request(service: ServiceId, now: Instant) -> PendingRequest {
    PendingRequest {
        service,
        size: None,
        requested_at: now,
        arrived_at: now,
        latency_objective: Duration::from_millis(400),
        max_event_gap: None,
        deadline: now + Duration::from_secs(6),
        is_resumed: false,
        was_refused: false,
        homes: Homes::ANYWHERE,
        workspace: None,
        tried: Vec::new(),
        rank: Rank::default(),
    }
}

/// The endpoint `i-N` of a plain service in zone `a`, with address `10.0.0.N`.
pub fn endpoint(service: ServiceId, n: usize) -> Endpoint {
    Endpoint {
        id: format!("i-{n}").parse().unwrap(),
        service,
        addr: format!("10.0.0.{n}:80").parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 4,
        state: EndpointState::Ready,
        started_at_ms: Some(1),
        cold_time: Duration::ZERO,
        held: Vec::new(),
        serves_model: false,
    }
}

/// The same endpoint as an engine that holds version 1 of a model.
pub fn engine(service: ServiceId, n: usize) -> Endpoint {
    let held = vec![HeldWeights { model: "m".parse().unwrap(), version: WeightsVersion(1) }];
    Endpoint { held, serves_model: true, ..endpoint(service, n) }
}

/// An engine with 4 slots and passes of 50 ms, of which no memory is published.
pub fn profile() -> EngineProfile {
    EngineProfile {
        slots: 4,
        kv_cache_tokens: 0,
        steps_per_pass: 5,
        step_time: Duration::from_millis(10),
        step_time_per_request: Duration::ZERO,
        step_time_per_1k_context: Duration::ZERO,
        prefill_tokens_per_second: 20_000.0,
        prefill_time_per_million_pairs: Duration::ZERO,
        prefill_chunk_tokens: 2048,
        report_lag: Duration::from_millis(200),
        mean_prompt_tokens: 1000,
        mean_answer_tokens: 90,
        weights: None,
    }
}
