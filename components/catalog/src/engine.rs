//! Model engines: performance profile, weights and status reports.

use std::time::Duration;

use base::{number, text_id};

text_id! {
    /// Name of a model.
    ModelId
}
number! {
    /// Version number of a model's weights. Higher is newer.
    WeightsVersion(u64)
}

impl WeightsVersion {
    /// The first version of any weights, which endpoints may serve without that it was ever named.
    pub const INITIAL: WeightsVersion = WeightsVersion(1);
}

/// Performance and weights of an engine, as published by the operator.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Capacity of the KV cache in tokens, shared by all running requests.
    pub kv_cache_tokens: u64,
    /// Decoding steps per pass. Each stream event holds the tokens of one pass.
    pub steps_per_pass: u32,
    /// Base time of one decoding step.
    pub step_time: Duration,
    /// Time that each decoding request adds to a step.
    pub step_time_per_request: Duration,
    /// Time that every 1,000 context tokens of a decoding request add to a step.
    pub step_time_per_1k_context: Duration,
    /// Prefill speed in prompt tokens per second.
    pub prefill_tokens_per_second: f64,
    /// Additional prefill time per million attention pairs (a token and an earlier token).
    pub prefill_time_per_million_pairs: Duration,
    /// Maximum number of prompt tokens that are prefilled in one step.
    pub prefill_chunk_tokens: u32,
    /// Age of the data in a report that is read from another VM than the engine's own.
    pub report_lag: Duration,
    /// Mean prompt length in tokens.
    pub mean_prompt_tokens: u32,
    /// Mean answer length in tokens.
    pub mean_answer_tokens: u32,
    /// Weights that the endpoints of the service hold, if it serves a model.
    pub weights: Option<WeightsSpec>,
}

/// Size and layout of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsSpec {
    /// Name of the model.
    pub model: ModelId,
    /// Number of layers.
    pub layers: u32,
    /// Number of pieces into which the weights are split.
    pub pieces: u32,
    /// Size of a piece in bytes.
    pub piece_bytes: u32,
    /// Time that the engine needs to load staged weights.
    pub load_time: Duration,
}

/// Weights that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldWeights {
    /// Name of the model.
    pub model: ModelId,
    /// Version of the weights.
    pub version: WeightsVersion,
}

/// Status report of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineReport {
    /// Weights that it holds. Empty if it cannot serve requests.
    pub held: Vec<HeldWeights>,
    /// Whether an order is in progress.
    pub is_loading: bool,
    /// Number of orders accepted since the engine started.
    pub accepted_orders: u64,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
    /// Share of the KV cache that is in use and cannot be evicted, if the engine states it.
    pub cache_share: Option<f64>,
    /// Current slowdown against the published profile: 1 is as published, 2 is half as fast.
    pub slowdown: f64,
    /// Start time in Unix milliseconds by the engine's own clock.
    pub started_at_ms: Option<u64>,
}
