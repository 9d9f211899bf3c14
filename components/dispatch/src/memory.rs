//! The memory of model engines: which requests fit into the cache of an engine beside those that it has.
//! An engine whose requests need more than it has crashes, and all of them are lost.

use std::time::Instant;

use crate::{
    EngineModel, Exclusion, GenerationSize, PendingRequest, endpoint::TrackedEndpoint,
    state::Dispatcher,
};

impl GenerationSize {
    /// Length of the answer in tokens, by the caller's estimate or, without one, the mean of the engine.
    pub(crate) fn expected_answer(&self, model: &EngineModel) -> f64 {
        let answer = self.answer_hint.unwrap_or(model.mean_answer_tokens());
        answer.min(self.max_answer(model))
    }

    /// Cache tokens that the request needs at its end.
    fn expected_tokens(&self, model: &EngineModel) -> f64 {
        self.prompt_tokens + self.expected_answer(model)
    }

    /// Cache tokens that the request needs at most.
    fn max_tokens(&self, model: &EngineModel) -> f64 {
        self.prompt_tokens + self.max_answer(model)
    }

    /// Maximum length of the answer, or the mean of the engine if the caller states none.
    fn max_answer(&self, model: &EngineModel) -> f64 {
        match self.max_answer_tokens > 0.0 {
            true => self.max_answer_tokens,
            false => model.mean_answer_tokens(),
        }
    }
}

impl EngineModel {
    /// Cache tokens that a request needs at its end.
    pub(crate) fn expected_tokens(&self, size: Option<GenerationSize>) -> f64 {
        match size {
            Some(size) => size.expected_tokens(self),
            None => self.mean_prompt_tokens() + self.mean_answer_tokens(),
        }
    }
}

impl TrackedEndpoint {
    /// Cache tokens that the requests at the engine need until they end: those of this gateway by their
    /// sizes, those of others by a report that shows `share` of the cache in use.
    fn needed_tokens(&self, model: &EngineModel, capacity: f64, share: f64) -> f64 {
        let own: f64 = self.in_flight.values().map(|request| request.cache_tokens).sum();
        let others = (share * capacity - self.reported_prompts).max(0.0);
        own + others + self.others_waiting * model.expected_tokens(None)
    }

    /// Prompt tokens of the requests of this gateway that have begun. Of these requests only the prompts
    /// certainly count in a report that arrives now.
    pub(crate) fn begun_prompts(&self) -> f64 {
        let begun = self.in_flight.values().filter(|request| request.first_event_received);
        begun.map(|request| request.prompt_tokens).sum()
    }
}

impl Dispatcher {
    /// Whether a request needs more memory than any engine of its service has.
    pub(crate) fn is_too_large(&self, request: &PendingRequest) -> bool {
        let Some(model) = self.engine_models.get(&request.service) else { return false };
        let (Some(size), Some(capacity)) = (request.size, model.capacity()) else { return false };
        size.max_tokens(model) > capacity
    }

    /// Whether an engine could take a request if it had the memory.
    pub(crate) fn lacks_only_memory(&self, request: &PendingRequest, now: Instant) -> bool {
        self.exclusions(request, now).any(|(_, exclusion)| exclusion == Exclusion::Memory)
    }

    /// Whether a waiting request waits for memory of which `request` needs less, and not for a slot.
    pub(crate) fn waits_for_more_memory(
        &self,
        waiting: &PendingRequest,
        request: &PendingRequest,
        now: Instant,
    ) -> bool {
        let model = self.engine_models.get(&waiting.service);
        let Some(model) = model.filter(|model| model.capacity().is_some()) else { return false };
        model.expected_tokens(waiting.size) > model.expected_tokens(request.size)
            && self.lacks_only_memory(waiting, now)
            && self.eligible(waiting, now).is_empty()
    }

    /// Whether an engine has the memory for a request beside those that it has.
    pub(crate) fn has_memory(
        &self,
        tracked: &TrackedEndpoint,
        request: &PendingRequest,
        now: Instant,
    ) -> bool {
        let Some(model) = self.engine_models.get(&request.service) else { return true };
        let Some(capacity) = model.capacity() else { return true };
        let report = tracked.fresh_report(self.settings.max_report_age, now);
        let share = report.and_then(|report| report.cache_share).unwrap_or_default();
        let needed = tracked.needed_tokens(model, capacity, share);
        needed + model.expected_tokens(request.size) <= capacity
    }
}
