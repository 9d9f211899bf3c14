//! How an endpoint fared lately, by its own answers.

use std::time::{Duration, Instant};

/// How an attempt ended, as far as it tells of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It answered.
    Answered,
    /// It answered that the request failed.
    Failed,
    /// It refused the request without running it.
    Refused,
    /// It could not be reached, fell silent or broke off.
    Lost,
    /// It tells nothing, as when the caller left.
    Nothing,
}

/// Weight of the newest answer in the part of failures.
const NEWEST: f64 = 0.15;
/// Losses in a row from which an endpoint gets no work for a while.
const LOSSES: u32 = 2;
/// First time without work; doubles with each further loss.
const COOLDOWN: Duration = Duration::from_millis(500);
/// Longest time without work.
const MAX_COOLDOWN: Duration = Duration::from_secs(4);
/// Time without work after a refusal; doubles with each further one in a row.
const REFUSED: Duration = Duration::from_millis(60);
/// Refusals in a row after which it grows no more.
const MAX_REFUSALS: u32 = 3;

/// How one endpoint fared lately.
#[derive(Debug, Clone)]
pub struct Health {
    /// Part of the answers that were failures, newer ones weighing more.
    failures: f64,
    /// Losses since the last answer.
    losses: u32,
    /// Refusals since the last answer.
    refusals: u32,
    /// It gets no work before.
    out_until: Option<Instant>,
}

impl Default for Health {
    fn default() -> Health {
        Health { failures: 0.0, losses: 0, refusals: 0, out_until: None }
    }
}

impl Health {
    /// Takes in the end of an attempt.
    pub fn ended(&mut self, end: End, now: Instant) {
        match end {
            End::Answered => {
                self.losses = 0;
                self.refusals = 0;
                self.out_until = None;
                self.failures *= 1.0 - NEWEST;
            }
            End::Failed => {
                self.losses = 0;
                self.failures += NEWEST * (1.0 - self.failures);
            }
            End::Refused => {
                self.losses = 0;
                let factor = 2u32.saturating_pow(self.refusals.min(MAX_REFUSALS));
                self.refusals += 1;
                self.out_until = self.out_until.max(Some(now + REFUSED * factor));
            }
            End::Lost => {
                self.losses += 1;
                self.failures += NEWEST * (1.0 - self.failures);
                if self.losses >= LOSSES {
                    let factor = 2u32.saturating_pow((self.losses - LOSSES).min(8));
                    self.out_until = Some(now + (COOLDOWN * factor).min(MAX_COOLDOWN));
                }
            }
            End::Nothing => {}
        }
    }

    /// Whether it may get work.
    pub fn allows(&self, now: Instant) -> bool {
        self.out_until.is_none_or(|until| now >= until)
    }

    /// Whether it got no work for a moment only, as after a refusal.
    pub fn is_pausing(&self) -> bool {
        self.losses < LOSSES && self.out_until.is_some()
    }

    /// Part of the answers that were failures, from 0 to 1.
    pub fn failures(&self) -> f64 {
        self.failures
    }
}

#[cfg(test)]
mod tests;
