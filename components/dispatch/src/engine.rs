//! How long an engine needs, from its published figures.

use std::time::Duration;

use catalog::EngineProfile;

/// Predicts the passes of an engine.
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
    /// Passes of a mean answer.
    mean_answer_passes: f64,
    cache_tokens: u64,
}

/// What runs and waits at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineLoad {
    /// Requests that write.
    pub decoding: f64,
    /// Requests that have no first token yet.
    pub awaiting_prefill: f64,
    /// Prompt tokens of those.
    pub prefill_tokens: f64,
    /// Factor by which the engine is slower than published.
    pub slowdown: f64,
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

impl EngineModel {
    /// The model of an engine.
    pub fn new(figures: &EngineProfile) -> EngineModel {
        let stride = f64::from(figures.steps_per_pass.max(1));
        EngineModel {
            slots: figures.slots,
            stride,
            step_ms: millis(figures.step_time),
            per_request_ms: millis(figures.step_time_per_request),
            per_context_ms: millis(figures.step_time_per_1k_context),
            prefill_tokens_per_ms: (figures.prefill_tokens_per_second / 1e3).max(1e-3),
            per_pairs_ms: millis(figures.prefill_time_per_million_pairs),
            mean_prompt_tokens: f64::from(figures.mean_prompt_tokens),
            mean_answer_passes: (f64::from(figures.mean_answer_tokens) / stride).max(1.0),
            cache_tokens: figures.kv_cache_tokens,
        }
    }

    /// Requests that run at a time.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// The mean prompt in tokens.
    pub fn mean_prompt_tokens(&self) -> f64 {
        self.mean_prompt_tokens
    }

    /// Cache tokens that all running requests share; 0 if not published.
    pub fn cache_tokens(&self) -> u64 {
        self.cache_tokens
    }

    /// Time to read a prompt.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.prefill_tokens_per_ms + tokens * tokens / 2.0 / 1e6 * self.per_pairs_ms
    }

    /// Time of one pass in which nothing is read.
    pub fn decode_pass_ms(&self, load: &EngineLoad) -> f64 {
        let context = load.decoding * self.mean_prompt_tokens / 1e3 * self.per_context_ms;
        self.stride * (self.step_ms + load.decoding * self.per_request_ms + context) * load.slowdown
    }

    /// Time of the pass that reads what is unread and `prompt` tokens more; the pause between two
    /// events of every request that writes there.
    pub fn next_pass_ms(&self, load: &EngineLoad, prompt: f64) -> f64 {
        let unread = if load.awaiting_prefill > 0.0 {
            load.awaiting_prefill * self.prefill_ms(load.prefill_tokens / load.awaiting_prefill)
        } else {
            0.0
        };
        self.decode_pass_ms(load) + (unread + self.prefill_ms(prompt)) * load.slowdown
    }

    /// Time until a request with `prompt` tokens that is sent now has its first token.
    pub fn time_to_first_event_ms(&self, load: &EngineLoad, prompt: f64) -> f64 {
        let pass = self.decode_pass_ms(load);
        // The pass under way ends first; it may be at any point.
        let under_way = if load.decoding + load.awaiting_prefill > 0.0 { pass / 2.0 } else { 0.0 };
        let ahead = load.decoding + load.awaiting_prefill + 1.0 - f64::from(self.slots);
        let slot_wait = if ahead > 0.0 {
            ahead * self.mean_answer_passes * pass / f64::from(self.slots.max(1))
        } else {
            0.0
        };
        under_way + slot_wait + self.next_pass_ms(load, prompt)
    }
}

#[cfg(test)]
mod tests;
