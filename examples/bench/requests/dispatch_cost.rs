//! Processor time of a gateway's decision on one request, at several numbers of engines.

use std::time::{Duration, Instant};

use base::{ServiceId, Zone};
use catalog::{
    Endpoint, EndpointState, EndpointUpdate, EngineProfile, HeldWeights, Homes, WeightsVersion,
};
use dispatch::{
    Decision, DispatchSettings, Dispatcher, EndpointOutcome, EngineStatus, GenerationSize,
    PendingRequest, Rank,
};

use super::cost::{id, micros_per_round};

/// Number of decisions measured at each size.
const ROUNDS: u32 = 5_000;
/// Time between two requests.
const INTERVAL: Duration = Duration::from_micros(100);

/// Mean time to decide on a request, and to record its first event and its end.
pub fn decision_micros(engines: usize) -> f64 {
    let mut now = Instant::now();
    let mut dispatcher = fleet(engines, now);
    let start = Instant::now();
    for _ in 0..ROUNDS {
        now += INTERVAL;
        let (_, decision) = dispatcher.submit(request(now), now);
        if let Decision::Send { endpoint, in_flight, .. } = decision {
            dispatcher.record_first_event(endpoint, in_flight, now);
            dispatcher.record_result(endpoint, in_flight, EndpointOutcome::Answered, now);
        }
    }
    micros_per_round(start, ROUNDS)
}

/// A gateway whose engines in three zones are half busy.
fn fleet(engines: usize, now: Instant) -> Dispatcher {
    let zones: [Zone; 3] = ["a", "b", "c"].map(|zone| id(zone.to_owned()));
    let regions = zones.iter().map(|zone| (zone.clone(), id(zone.to_string())));
    let mut dispatcher =
        Dispatcher::new(DispatchSettings::default(), zones[0].clone(), regions.collect::<Vec<_>>());
    dispatcher.set_engine_profile(&service(), Some(&profile()));
    for n in 0..engines {
        let endpoint = endpoint(n, zones[n % zones.len()].clone());
        dispatcher.apply_listing(EndpointUpdate::Published(endpoint), now);
    }
    let keys: Vec<_> = dispatcher.endpoint_keys().collect();
    for key in keys {
        dispatcher.apply_report(key, status(), now);
    }
    dispatcher
}

fn service() -> ServiceId {
    id("llm".to_owned())
}

fn endpoint(n: usize, zone: Zone) -> Endpoint {
    Endpoint {
        id: id(format!("e{n}")),
        service: service(),
        addr: ([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 80).into(),
        zone,
        slots: 12,
        state: EndpointState::Ready,
        started_at_ms: Some(1),
        cold_time: Duration::ZERO,
        held: vec![HeldWeights { model: id("m".to_owned()), version: WeightsVersion(1) }],
        serves_model: true,
    }
}

fn status() -> EngineStatus {
    EngineStatus {
        serving: true,
        version: Some(WeightsVersion(1)),
        waiting: 0,
        running: 6,
        cache_share: None,
        slowdown: 1.0,
        is_preferred: true,
        agent_run: 1,
        sequence: 1,
    }
}

fn profile() -> EngineProfile {
    EngineProfile {
        slots: 12,
        kv_cache_tokens: 600_000,
        steps_per_pass: 7,
        step_time: Duration::from_millis(8),
        step_time_per_request: Duration::ZERO,
        step_time_per_1k_context: Duration::ZERO,
        prefill_tokens_per_second: 30_000.0,
        prefill_time_per_million_pairs: Duration::ZERO,
        prefill_chunk_tokens: 2048,
        report_lag: Duration::from_millis(200),
        mean_prompt_tokens: 1000,
        mean_answer_tokens: 110,
        weights: None,
    }
}

fn request(now: Instant) -> PendingRequest {
    PendingRequest {
        service: service(),
        size: Some(GenerationSize { prompt_tokens: 1000.0, ..GenerationSize::default() }),
        requested_at: now,
        arrived_at: now,
        latency_objective: Duration::from_millis(400),
        max_event_gap: Some(Duration::from_millis(400)),
        deadline: now + Duration::from_secs(6),
        is_resumed: false,
        was_refused: false,
        homes: Homes::ANYWHERE,
        workspace: None,
        tried: Vec::new(),
        rank: Rank::default(),
    }
}
