//! Model engines: their figures, their weights and what they report.

use std::time::Duration;

use base::{number, text_id};

text_id! {
    /// Names a model.
    ModelId
}
number! {
    /// Counts the versions of a model's weights.
    WeightsVersion(u64)
}

/// How fast an engine works and what its weights look like, as the operator publishes it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Requests that run at a time.
    pub slots: u32,
    /// Tokens that the cache of all running requests holds.
    pub kv_cache_tokens: u64,
    /// Steps of one pass; an event of a stream holds the tokens of one pass.
    pub steps_per_pass: u32,
    /// Time of one step.
    pub step_time: Duration,
    /// Time that each request that writes adds to a step.
    pub step_time_per_request: Duration,
    /// Time that 1,000 tokens of context of a request that writes add to a step.
    pub step_time_per_1k_context: Duration,
    /// Prompt tokens that are read in a second.
    pub prefill_tokens_per_second: f64,
    /// Time that a million pairs of a token and an earlier one add to reading.
    pub prefill_time_per_million_pairs: Duration,
    /// Most prompt tokens that are read in one step.
    pub prefill_chunk_tokens: u32,
    /// Age of what a report states to others than the engine's own VM.
    pub report_lag: Duration,
    /// Mean prompt in tokens.
    pub mean_prompt_tokens: u32,
    /// Mean answer in tokens.
    pub mean_answer_tokens: u32,
    /// The weights that its endpoints serve.
    pub weights: Option<WeightsSpec>,
}

/// The shape of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsSpec {
    /// The model.
    pub model: ModelId,
    /// Layers of the model.
    pub layers: u32,
    /// Pieces of the weights.
    pub pieces: u32,
    /// Bytes of a piece.
    pub piece_bytes: u32,
    /// Time that the engine needs to load staged weights.
    pub load_time: Duration,
}

/// Weights that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldWeights {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: WeightsVersion,
}

/// What an engine reports of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineReport {
    /// Weights that it holds; empty if it can run nothing.
    pub held: Vec<HeldWeights>,
    /// Whether an order is in progress.
    pub is_loading: bool,
    /// Orders that it accepted since its start.
    pub accepted_orders: u64,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Cache tokens in use that cannot yield.
    pub kv_cache_used: u64,
    /// How slow it is; 1 as published, 2 half as fast.
    pub slowdown: f64,
    /// When it started, in Unix milliseconds by its own clock.
    pub started_at_ms: Option<u64>,
}
