//! Decides when a request is sent to another endpoint, beside those that have not answered yet.

use std::time::{Duration, Instant};

/// Number of unreachable endpoints after which no other one is asked.
const MAX_UNREACHED: usize = 4;

/// Limits of the attempts of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AttemptLimits {
    /// Maximum number of endpoints that the request is sent to.
    pub(crate) max_attempts: u32,
    /// Whether the request may be sent to another endpoint while it may run at one.
    pub(crate) is_repeatable: bool,
}

/// Number of an attempt, in the order in which the attempts of a request were made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AttemptNumber(u32);

/// How far the endpoints that were asked are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// None has the request.
    Nothing,
    /// At least one has the request, and none has begun to answer.
    Waiting,
    /// One has sent the head of its response.
    Responding,
}

/// What to do next for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// Ask another endpoint.
    Start,
    /// Wait for the endpoints that were asked; with a time, only until then.
    Wait(Option<Instant>),
    /// Give up: no endpoint has the request, and no other one may be asked.
    GiveUp,
}

/// The attempts made so far, and the time at which another endpoint is asked.
///
/// An endpoint that does not answer in time is a reason to ask another one too. It is not given up
/// for that, as it may only have paused.
#[derive(Debug)]
pub(crate) struct AttemptPlan {
    limits: AttemptLimits,
    sent_count: u32,
    unreached_count: usize,
    newest: AttemptNumber,
    /// When another endpoint is asked although some have not answered yet.
    ask_at: Instant,
}

impl AttemptPlan {
    /// Creates the plan of a request of which nothing was sent yet.
    pub(crate) fn new(limits: AttemptLimits, now: Instant) -> AttemptPlan {
        AttemptPlan {
            limits,
            sent_count: 0,
            unreached_count: 0,
            newest: AttemptNumber(0),
            ask_at: now,
        }
    }

    /// Number of endpoints that the request was sent to.
    pub(crate) fn sent_count(&self) -> u32 {
        self.sent_count
    }

    /// Whether another endpoint may be asked after one that may have run the request.
    pub(crate) fn may_ask_another(&self) -> bool {
        self.limits.is_repeatable && self.has_attempts()
    }

    fn has_attempts(&self) -> bool {
        self.sent_count < self.limits.max_attempts && self.unreached_count < MAX_UNREACHED
    }

    /// Returns what to do now.
    pub(crate) fn next_step(&self, progress: Progress, now: Instant) -> NextStep {
        let allowed = self.has_attempts();
        match progress {
            Progress::Nothing if allowed => NextStep::Start,
            Progress::Nothing => NextStep::GiveUp,
            Progress::Responding => NextStep::Wait(None),
            Progress::Waiting if !allowed || !self.limits.is_repeatable => NextStep::Wait(None),
            Progress::Waiting if now < self.ask_at => NextStep::Wait(Some(self.ask_at)),
            Progress::Waiting => NextStep::Start,
        }
    }

    /// Records that the request is sent to an endpoint that should answer within `patience`.
    pub(crate) fn record_sent(&mut self, patience: Duration, now: Instant) -> AttemptNumber {
        self.sent_count += 1;
        self.newest.0 += 1;
        self.ask_at = now + patience;
        self.newest
    }

    /// Records that an endpoint could not be reached. The next one is asked at once.
    pub(crate) fn record_unreached(&mut self, attempt: AttemptNumber, now: Instant) {
        self.sent_count -= 1;
        self.unreached_count += 1;
        self.record_end(attempt, now);
    }

    /// Records that an attempt ended without a usable answer. If it was the newest one, the next
    /// endpoint is asked at `ask_at`.
    pub(crate) fn record_end(&mut self, attempt: AttemptNumber, ask_at: Instant) {
        if attempt == self.newest {
            self.ask_at = ask_at;
        }
    }

    /// Postpones asking another endpoint: none can be asked now, or an event of the stream arrived.
    pub(crate) fn postpone(&mut self, ask_at: Instant) {
        self.ask_at = ask_at;
    }
}

#[cfg(test)]
mod tests;
