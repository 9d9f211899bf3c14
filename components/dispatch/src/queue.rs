//! The order of waiting requests, and what is known of the demand that they compete with.

use std::time::Instant;

use crate::{
    Decision, PendingRequest, Refusal, RequestKey, demand::Work, engine::EngineModel,
    state::Dispatcher,
};

impl Dispatcher {
    /// Decides on a request that has just arrived. It queues behind the requests that wait for the same
    /// endpoints and come before it, so that it does not take the slot that they wait for.
    pub(crate) fn decide_new(&mut self, request: &PendingRequest, now: Instant) -> Decision {
        self.record_arrival(request, now);
        let can_wait = now < request.deadline && !self.is_too_large(request);
        match can_wait && self.is_behind(request, now) {
            true => self.wait_or_refuse(request, Refusal::Overload, now),
            false => self.decide(request, now),
        }
    }

    /// Whether requests that come before a new one wait for an engine that it could get.
    fn is_behind(&self, request: &PendingRequest, now: Instant) -> bool {
        let is_engine = self.engine_models.contains_key(&request.service);
        if !is_engine || request.is_resumed {
            return false;
        }
        let waiting = self.waiting.iter().filter_map(|key| self.pending.get(*key));
        let mut before = waiting.filter(|other| other.competes_before(request));
        before.any(|other| !self.waits_for_more_memory(other, request, now))
    }

    /// Records the arrival of a request, unless it is a retry of one that was recorded.
    pub(crate) fn record_arrival(&mut self, request: &PendingRequest, now: Instant) {
        if request.is_first_attempt() {
            let demand = self.demand.entry(request.service.clone()).or_default();
            demand.record_arrival(request.rank.urgency, now);
        }
    }

    /// Records that a request is sent.
    pub(crate) fn record_sent(&mut self, request: &PendingRequest, now: Instant) {
        let model = self.engine_models.get(&request.service);
        let work = model.map_or(Work::default(), |model| work_of(model, request));
        let demand = self.demand.entry(request.service.clone()).or_default();
        demand.record_work(request.workspace.as_ref(), work, now);
        if request.is_first_attempt() {
            demand.record_sent(request.rank.urgency, now);
        }
    }

    /// Mean number of slots of an engine that a request keeps free for more urgent ones.
    pub(crate) fn kept_free(&self, request: &PendingRequest, now: Instant) -> f64 {
        if request.is_resumed {
            return 0.0;
        }
        let demand = self.demand.get(&request.service);
        demand.map_or(0.0, |demand| demand.kept_free(request.rank.urgency, now))
    }

    /// Sorts waiting requests by rank. Among equals those of the workspace for which least was sent
    /// lately come first, then the oldest.
    pub(crate) fn sort_waiting(&self, order: &mut [RequestKey], now: Instant) {
        order.sort_by_cached_key(|key| {
            let request = self.pending.get(*key)?;
            let demand = self.demand.get(&request.service);
            let work = demand.map_or(Work::default(), |demand| {
                demand.recent_work(request.workspace.as_ref(), now)
            });
            // Whole milliseconds, as floats have no total order.
            Some((request.rank, work.0 as u64, request.arrived_at))
        });
    }
}

impl PendingRequest {
    fn is_first_attempt(&self) -> bool {
        self.tried.is_empty() && !self.was_refused && !self.is_resumed
    }

    /// Whether this request waits for the same endpoints as `other` and comes before it.
    fn competes_before(&self, other: &PendingRequest) -> bool {
        self.service == other.service
            && self.rank <= other.rank
            && self.tried.is_empty()
            && self.homes == other.homes
    }
}

/// Work of a request, of mean size if its own is not known.
fn work_of(model: &EngineModel, request: &PendingRequest) -> Work {
    let Some(size) = request.size else { return Work(model.mean_work_ms()) };
    Work(model.work_ms(size.prompt_tokens, size.expected_answer(model)))
}

#[cfg(test)]
mod tests;
