//! How an endpoint fared lately, by its own answers.

use std::time::{Duration, Instant};

/// How an attempt ended, as far as it tells of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// It answered.
    Answered,
    /// It answered that the request failed.
    Failed,
    /// It refused the request without running it.
    Refused,
    /// It could not be reached, fell silent or broke off.
    Lost,
    /// It tells nothing, as when the caller left.
    Inconclusive,
}

/// Weight of the newest answer in the part of failures.
const EWMA_WEIGHT: f64 = 0.15;
/// Losses in a row from which an endpoint gets no work for a while.
const LOSS_THRESHOLD: u32 = 2;
/// First time without work; doubles with each further loss.
const COOLDOWN: Duration = Duration::from_millis(500);
/// Longest time without work.
const MAX_COOLDOWN: Duration = Duration::from_secs(4);
/// Time without work after a refusal; doubles with each further one in a row.
const REFUSAL_PAUSE: Duration = Duration::from_millis(60);
/// Refusals in a row after which it grows no more.
const MAX_REFUSAL_DOUBLINGS: u32 = 3;

/// How one endpoint fared lately.
#[derive(Debug, Clone)]
pub struct Health {
    /// Part of the answers that were failures, newer ones weighing more.
    failure_rate: f64,
    /// Losses since the last answer.
    consecutive_losses: u32,
    /// Refusals since the last answer.
    consecutive_refusals: u32,
    /// It gets no work before.
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
    /// Takes in the end of an attempt.
    pub fn record_result(&mut self, end: EndpointOutcome, now: Instant) {
        match end {
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

    /// Whether it may get work.
    pub fn is_available(&self, now: Instant) -> bool {
        self.unavailable_until.is_none_or(|until| now >= until)
    }

    /// Whether it got no work for a moment only, as after a refusal.
    pub fn is_pausing(&self) -> bool {
        self.consecutive_losses < LOSS_THRESHOLD && self.unavailable_until.is_some()
    }

    /// Part of the answers that were failures, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}

#[cfg(test)]
mod tests;
