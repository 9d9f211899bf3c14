//! How long an engine needs, from its published figures.

use std::time::Duration;

use catalog::EngineProfile;

/// Predicts the passes of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineModel {
    slots: u32,
    stride: f64,
    step_ms: f64,
    request_ms: f64,
    context_ms: f64,
    tokens_per_ms: f64,
    pairs_ms: f64,
    usual_prompt: f64,
    /// Passes of a mean answer.
    usual_passes: f64,
    cache_tokens: u64,
}

/// What runs and waits at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Requests that write.
    pub writing: f64,
    /// Requests that have no first token yet.
    pub unread: f64,
    /// Prompt tokens of those.
    pub unread_tokens: f64,
    /// Factor by which the engine is slower than published.
    pub pace: f64,
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
            request_ms: millis(figures.step_time_per_request),
            context_ms: millis(figures.step_time_per_1k_context),
            tokens_per_ms: (figures.prefill_tokens_per_second / 1e3).max(1e-3),
            pairs_ms: millis(figures.prefill_time_per_million_pairs),
            usual_prompt: f64::from(figures.mean_prompt_tokens),
            usual_passes: (f64::from(figures.mean_answer_tokens) / stride).max(1.0),
            cache_tokens: figures.kv_cache_tokens,
        }
    }

    /// Requests that run at a time.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// The mean prompt in tokens.
    pub fn usual_prompt(&self) -> f64 {
        self.usual_prompt
    }

    /// Cache tokens that all running requests share; 0 if not published.
    pub fn cache_tokens(&self) -> u64 {
        self.cache_tokens
    }

    /// Time to read a prompt.
    pub fn reading_ms(&self, tokens: f64) -> f64 {
        tokens / self.tokens_per_ms + tokens * tokens / 2.0 / 1e6 * self.pairs_ms
    }

    /// Time of one pass in which nothing is read.
    pub fn pass_ms(&self, load: &Load) -> f64 {
        let context = load.writing * self.usual_prompt / 1e3 * self.context_ms;
        self.stride * (self.step_ms + load.writing * self.request_ms + context) * load.pace
    }

    /// Time of the pass that reads what is unread and `prompt` tokens more; the pause between two
    /// events of every request that writes there.
    pub fn next_pass_ms(&self, load: &Load, prompt: f64) -> f64 {
        let unread = if load.unread > 0.0 {
            load.unread * self.reading_ms(load.unread_tokens / load.unread)
        } else {
            0.0
        };
        self.pass_ms(load) + (unread + self.reading_ms(prompt)) * load.pace
    }

    /// Time until a request with `prompt` tokens that is sent now has its first token.
    pub fn first_event_ms(&self, load: &Load, prompt: f64) -> f64 {
        let pass = self.pass_ms(load);
        // The pass under way ends first; it may be at any point.
        let under_way = if load.writing + load.unread > 0.0 { pass / 2.0 } else { 0.0 };
        let ahead = load.writing + load.unread + 1.0 - f64::from(self.slots);
        let slot_wait = if ahead > 0.0 {
            ahead * self.usual_passes * pass / f64::from(self.slots.max(1))
        } else {
            0.0
        };
        under_way + slot_wait + self.next_pass_ms(load, prompt)
    }
}

#[cfg(test)]
mod tests;
