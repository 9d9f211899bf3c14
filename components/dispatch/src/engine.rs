//! Latency model of an inference engine, built from its published figures.

use std::time::Duration;

use catalog::EngineProfile;

/// Predicts how long the passes of an engine take.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineModel {
    slots: u32,
    stride: f64,
    step_ms: f64,
    per_request_ms: f64,
    per_context_ms: f64,
    prefill_tokens_per_ms: f64,
    per_pairs_ms: f64,
    mean_prompt_tokens: f64,
    mean_answer_tokens: f64,
    /// Number of passes that an answer of mean length takes.
    mean_answer_passes: f64,
    cache_tokens: u64,
}

/// Running and waiting requests of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineLoad {
    /// Requests that are decoding.
    pub decoding: f64,
    /// Requests that have no first token yet.
    pub awaiting_prefill: f64,
    /// Prompt tokens of the requests without a first token.
    pub prefill_tokens: f64,
    /// Factor by which the engine is slower than its published figures.
    pub slowdown: f64,
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

impl EngineModel {
    /// Builds the model from the engine's published figures.
    pub fn new(profile: &EngineProfile) -> EngineModel {
        let stride = f64::from(profile.steps_per_pass.max(1));
        EngineModel {
            slots: profile.slots,
            stride,
            step_ms: millis(profile.step_time),
            per_request_ms: millis(profile.step_time_per_request),
            per_context_ms: millis(profile.step_time_per_1k_context),
            prefill_tokens_per_ms: (profile.prefill_tokens_per_second / 1e3).max(1e-3),
            per_pairs_ms: millis(profile.prefill_time_per_million_pairs),
            mean_prompt_tokens: f64::from(profile.mean_prompt_tokens),
            mean_answer_tokens: f64::from(profile.mean_answer_tokens),
            mean_answer_passes: (f64::from(profile.mean_answer_tokens) / stride).max(1.0),
            cache_tokens: profile.kv_cache_tokens,
        }
    }

    /// Number of requests that can run at the same time.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// The mean prompt length in tokens.
    pub fn mean_prompt_tokens(&self) -> f64 {
        self.mean_prompt_tokens
    }

    /// The mean answer length in tokens.
    pub fn mean_answer_tokens(&self) -> f64 {
        self.mean_answer_tokens
    }

    /// Cache tokens shared by all requests of an engine; 0 if not published.
    pub fn cache_tokens(&self) -> u64 {
        self.cache_tokens
    }

    /// The same; `None` if not published.
    pub(crate) fn capacity(&self) -> Option<f64> {
        (self.cache_tokens > 0).then_some(self.cache_tokens as f64)
    }

    /// Time to prefill a prompt, in milliseconds.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.prefill_tokens_per_ms + tokens * tokens / 2.0 / 1e6 * self.per_pairs_ms
    }

    /// Time that a request takes of the engine, in milliseconds: its prefill and its share of the passes.
    pub fn work_ms(&self, prompt_tokens: f64, answer_tokens: f64) -> f64 {
        let decode_ms = answer_tokens * (self.step_ms + self.per_request_ms);
        self.prefill_ms(prompt_tokens) + decode_ms / f64::from(self.slots.max(1))
    }

    /// Time that a request of mean size takes of the engine, in milliseconds.
    pub fn mean_work_ms(&self) -> f64 {
        self.work_ms(self.mean_prompt_tokens, self.mean_answer_tokens)
    }

    /// Time of one pass without any prefill, in milliseconds.
    pub fn decode_pass_ms(&self, load: &EngineLoad) -> f64 {
        let context_ms = load.decoding * self.mean_prompt_tokens / 1e3 * self.per_context_ms;
        self.stride
            * (self.step_ms + load.decoding * self.per_request_ms + context_ms)
            * load.slowdown
    }

    /// Time of the pass that prefills all pending prompts and `prompt_tokens` tokens more, in
    /// milliseconds. This is also the gap between two events of every request that is decoding at
    /// the engine.
    pub fn next_pass_ms(&self, load: &EngineLoad, prompt_tokens: f64) -> f64 {
        let pending_ms = if load.awaiting_prefill > 0.0 {
            load.awaiting_prefill * self.prefill_ms(load.prefill_tokens / load.awaiting_prefill)
        } else {
            0.0
        };
        self.decode_pass_ms(load) + (pending_ms + self.prefill_ms(prompt_tokens)) * load.slowdown
    }

    /// Time until a request with `prompt_tokens` tokens that is sent now gets its first token, in
    /// milliseconds.
    pub fn time_to_first_event_ms(&self, load: &EngineLoad, prompt_tokens: f64) -> f64 {
        let pass_ms = self.decode_pass_ms(load);
        // The current pass has to end first. It may be at any point, so half of it is expected to
        // remain.
        let current_pass_ms =
            if load.decoding + load.awaiting_prefill > 0.0 { pass_ms / 2.0 } else { 0.0 };
        let queued = load.decoding + load.awaiting_prefill + 1.0 - f64::from(self.slots);
        let slot_wait_ms = if queued > 0.0 {
            queued * self.mean_answer_passes * pass_ms / f64::from(self.slots.max(1))
        } else {
            0.0
        };
        current_pass_ms + slot_wait_ms + self.next_pass_ms(load, prompt_tokens)
    }
}

#[cfg(test)]
mod tests;
