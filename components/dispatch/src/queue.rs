//! The order of waiting requests, and what is known of the demand that they compete with.

use std::time::{Duration, Instant};

use crate::{PendingRequest, RequestKey, engine::EngineModel, state::Dispatcher};

/// Number of equally urgent requests that may wait however few were sent lately.
const MIN_QUEUE: f64 = 2.0;

impl Dispatcher {
    /// Records the arrival of a request, unless it is a retry of one that was recorded.
    pub(crate) fn record_arrival(&mut self, request: &PendingRequest, now: Instant) {
        if request.tried.is_empty() && !request.was_refused {
            let demand = self.demand.entry(request.service.clone()).or_default();
            demand.record_arrival(request.rank.urgency, now);
        }
    }

    /// Records that a request is sent.
    pub(crate) fn record_sent(&mut self, request: &PendingRequest, now: Instant) {
        let model = self.engine_models.get(&request.service);
        let work_ms = model.map_or(1.0, |model| work_ms(model, request));
        let demand = self.demand.entry(request.service.clone()).or_default();
        demand.record_sent(request.rank.urgency, request.workspace.as_ref(), work_ms, now);
    }

    /// Slots of an engine that a request leaves free for more urgent ones.
    pub(crate) fn reserved_slots(&self, request: &PendingRequest, now: Instant) -> f64 {
        if request.is_resumed {
            return 0.0;
        }
        let demand = self.demand.get(&request.service);
        demand.map_or(0.0, |demand| demand.reserved_slots(request.rank.urgency, now))
    }

    /// Whether requests wait for an engine that come before a new one.
    pub(crate) fn is_behind(&self, request: &PendingRequest) -> bool {
        let is_bound = self.engine_models.contains_key(&request.service) && !request.is_resumed;
        is_bound && self.waiting_before(request).next().is_some()
    }

    fn waiting_before<'a>(
        &'a self,
        request: &'a PendingRequest,
    ) -> impl Iterator<Item = &'a PendingRequest> {
        let waiting = self.waiting.iter().filter_map(|key| self.pending.get(*key));
        waiting.filter(|other| other.service == request.service && other.rank <= request.rank)
    }

    /// Sorts waiting requests by rank. Among equals those of the workspace for which least was sent
    /// lately come first, then the oldest.
    pub(crate) fn sort_waiting(&self, order: &mut [RequestKey], now: Instant) {
        order.sort_by_cached_key(|key| {
            let request = self.pending.get(*key)?;
            let demand = self.demand.get(&request.service);
            let work = demand.map_or(0.0, |d| d.recent_work(request.workspace.as_ref(), now));
            Some((request.rank, work as u64, request.arrived_at))
        });
    }

    /// Whether a request would wait for longer than `max_wait`, if those of its urgency that came before
    /// it are sent at the recent rate.
    pub(crate) fn waits_in_vain(
        &self,
        request: &PendingRequest,
        max_wait: Duration,
        now: Instant,
    ) -> bool {
        let Some(demand) = self.demand.get(&request.service) else { return false };
        let urgency = request.rank.urgency;
        let same = |other: &&PendingRequest| other.rank.urgency == urgency;
        let ahead = self.waiting_before(request).filter(same).count() as f64;
        let sent_meanwhile = demand.send_rate(urgency, now) * max_wait.as_secs_f64();
        ahead > sent_meanwhile.max(MIN_QUEUE)
    }
}

/// Time for which a request uses an engine alone, in milliseconds.
fn work_ms(model: &EngineModel, request: &PendingRequest) -> f64 {
    let Some(size) = request.size else { return 1.0 };
    let answer = size
        .answer_hint
        .map_or(size.max_answer_tokens, |hint| hint.min(size.max_answer_tokens.max(1.0)));
    model.work_ms(size.prompt_tokens, answer)
}
