use super::*;

fn model() -> EngineModel {
    EngineModel::new(&EngineProfile {
        slots: 16,
        kv_cache_tokens: 300_000,
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
    })
}

fn load(decoding: f64, awaiting_prefill: f64) -> EngineLoad {
    EngineLoad {
        decoding,
        awaiting_prefill,
        prefill_tokens: awaiting_prefill * 1000.0,
        slowdown: 1.0,
    }
}

#[test]
fn an_idle_engine_starts_prefill_at_once() {
    assert_eq!(model().time_to_first_event_ms(&load(0.0, 0.0), 1000.0), 100.0);
}

#[test]
fn pending_prompts_and_the_current_pass_delay_the_first_event() {
    assert_eq!(model().time_to_first_event_ms(&load(4.0, 2.0), 1000.0), 225.0);
    assert_eq!(model().next_pass_ms(&load(4.0, 2.0), 1000.0), 200.0);
}

#[test]
fn a_request_waits_for_a_slot_of_a_full_engine() {
    let free = model().time_to_first_event_ms(&load(15.0, 0.0), 1000.0);
    let full = model().time_to_first_event_ms(&load(16.0, 0.0), 1000.0);
    assert_eq!(full - free, 18.0 * 50.0 / 16.0);
}

#[test]
fn a_slow_engine_takes_longer() {
    let slow = EngineLoad { slowdown: 3.0, ..load(4.0, 2.0) };
    assert_eq!(model().time_to_first_event_ms(&slow, 1000.0), 675.0);
}
