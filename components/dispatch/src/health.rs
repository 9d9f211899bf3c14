//! Health of one endpoint, derived from the results of this gateway's own attempts.

use std::time::{Duration, Instant};

/// How an attempt ended, as far as the result says something about the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// The endpoint answered.
    Answered,
    /// The endpoint answered that the request failed.
    Failed,
    /// The endpoint refused the request without running it.
    Refused,
    /// The endpoint was unreachable, went silent or dropped the connection.
    Lost,
    /// The result says nothing about the endpoint, for example because the caller disconnected.
    Inconclusive,
}

/// Weight of the newest answer in the moving average of failures.
const EWMA_WEIGHT: f64 = 0.15;
/// Consecutive losses from which an endpoint is taken out of use for a cooldown.
const LOSS_THRESHOLD: u32 = 2;
/// First cooldown; doubles with each further loss.
const COOLDOWN: Duration = Duration::from_millis(500);
/// Maximum cooldown.
const MAX_COOLDOWN: Duration = Duration::from_secs(4);
/// Pause after a refusal; doubles with each further consecutive refusal.
const REFUSAL_PAUSE: Duration = Duration::from_millis(60);
/// Number of consecutive refusals after which the pause no longer grows.
const MAX_REFUSAL_DOUBLINGS: u32 = 3;

/// Recent health of one endpoint.
#[derive(Debug, Clone)]
pub struct Health {
    /// Exponentially weighted fraction of the answers that were failures.
    failure_rate: f64,
    /// Losses since the last answer.
    consecutive_losses: u32,
    /// Refusals since the last answer.
    consecutive_refusals: u32,
    /// The endpoint gets no requests before this time.
    unavailable_until: Option<Instant>,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            failure_rate: 0.0,
            consecutive_losses: 0,
            consecutive_refusals: 0,
            unavailable_until: None,
        }
    }
}

impl Health {
    /// Records the result of an attempt.
    pub fn record_result(&mut self, result: EndpointOutcome, now: Instant) {
        match result {
            EndpointOutcome::Answered => {
                self.consecutive_losses = 0;
                self.consecutive_refusals = 0;
                self.unavailable_until = None;
                self.failure_rate *= 1.0 - EWMA_WEIGHT;
            }
            EndpointOutcome::Failed => {
                self.consecutive_losses = 0;
                self.failure_rate += EWMA_WEIGHT * (1.0 - self.failure_rate);
            }
            EndpointOutcome::Refused => {
                self.consecutive_losses = 0;
                let factor =
                    2u32.saturating_pow(self.consecutive_refusals.min(MAX_REFUSAL_DOUBLINGS));
                self.consecutive_refusals += 1;
                self.unavailable_until =
                    self.unavailable_until.max(Some(now + REFUSAL_PAUSE * factor));
            }
            EndpointOutcome::Lost => {
                self.consecutive_losses += 1;
                self.failure_rate += EWMA_WEIGHT * (1.0 - self.failure_rate);
                if self.consecutive_losses >= LOSS_THRESHOLD {
                    let factor =
                        2u32.saturating_pow((self.consecutive_losses - LOSS_THRESHOLD).min(8));
                    self.unavailable_until = Some(now + (COOLDOWN * factor).min(MAX_COOLDOWN));
                }
            }
            EndpointOutcome::Inconclusive => {}
        }
    }

    /// Whether the endpoint may get requests.
    pub fn is_available(&self, now: Instant) -> bool {
        self.unavailable_until.is_none_or(|until| now >= until)
    }

    /// Whether the endpoint is only paused for a moment, as after a refusal, and not in a cooldown.
    pub fn is_pausing(&self) -> bool {
        self.consecutive_losses < LOSS_THRESHOLD && self.unavailable_until.is_some()
    }

    /// Exponentially weighted fraction of the answers that were failures, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}

#[cfg(test)]
mod tests;
