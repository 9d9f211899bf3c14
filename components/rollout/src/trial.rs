//! Tracks the trial of a release on one endpoint. The release fails if the engine does not start to
//! serve it, or stops serving it within the soak time.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use base::ReleaseId;
use proto::{TrialOutcome, Verdict};

/// Number of failures after which a release counts as failed; a single one may be caused by the
/// machine or by a request.
const MAX_FAILURES: u32 = 2;
/// Maximum number of failed releases that an endpoint remembers.
const MAX_FAILED_RELEASES: usize = 8;

/// The trial of the release that was activated last.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Trial {
    release: Option<ReleaseId>,
    /// Start of the current uninterrupted period in which the engine serves it.
    serving_since: Option<Instant>,
    /// Whether the engine's status after an order to activate it is still awaited.
    activation_pending: bool,
    failures: u32,
    passed: bool,
    /// Releases that failed here, oldest first; at most `MAX_FAILED_RELEASES`.
    failed_releases: VecDeque<ReleaseId>,
}

impl Trial {
    /// Records that the order to activate `release` was sent.
    pub(crate) fn activation_ordered(&mut self, release: &ReleaseId) {
        self.start(release);
        self.activation_pending = true;
        self.serving_since = None;
    }

    /// Records that the order to unload was sent: that the engine stops serving is then no failure.
    pub(crate) fn unload_ordered(&mut self) {
        self.serving_since = None;
        self.activation_pending = false;
    }

    /// Records what the engine reports to serve, after it answered the last order.
    pub(crate) fn observe(&mut self, serving: Option<&ReleaseId>, soak: Duration, now: Instant) {
        if serving.is_some() && self.release.as_ref() == serving {
            self.activation_pending = false;
            let since = *self.serving_since.get_or_insert(now);
            self.passed |= now.saturating_duration_since(since) >= soak;
            return;
        }
        let has_failed = self.activation_pending || (self.serving_since.is_some() && !self.passed);
        self.activation_pending = false;
        self.serving_since = None;
        if has_failed {
            self.record_failure();
        }
    }

    fn record_failure(&mut self) {
        self.failures += 1;
        let Some(release) = self.release.clone() else { return };
        if self.failures < MAX_FAILURES || self.failed_releases.contains(&release) {
            return;
        }
        if self.failed_releases.len() == MAX_FAILED_RELEASES {
            self.failed_releases.pop_front();
        }
        self.failed_releases.push_back(release);
    }

    /// Discards the current trial: another process gave the engine orders, so its state says
    /// nothing about the release.
    pub(crate) fn reset(&mut self) {
        *self = Trial {
            failed_releases: std::mem::take(&mut self.failed_releases),
            ..Trial::default()
        };
    }

    /// Starts the trial of `release`, unless it is already in progress.
    pub(crate) fn start(&mut self, release: &ReleaseId) {
        if self.release.as_ref() != Some(release) {
            self.reset();
            self.release = Some(release.clone());
        }
    }

    /// The verdict on `release`, once there is one.
    pub(crate) fn verdict(&self, release: &ReleaseId) -> Option<Verdict> {
        let passed = self.passed && self.release.as_ref() == Some(release);
        let outcome = match self.failed_releases.contains(release) {
            true => TrialOutcome::Failed,
            false if passed => TrialOutcome::Passed,
            false => return None,
        };
        Some(Verdict { release: release.clone(), outcome })
    }
}

#[cfg(test)]
mod tests;
