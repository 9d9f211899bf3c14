//! Judges a release on one endpoint: it fails if the engine does not begin to serve it, or stops
//! within the soak time.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use base::ReleaseId;
use proto::{Trialled, Verdict};

/// Times that an endpoint tries a release before it calls it failed; one failure may be the
/// machine's or a request's.
const MAX_FAILURES: u32 = 2;
/// Failed releases that an endpoint remembers.
const KEPT_FAILED: usize = 8;

/// The trial of the release that was activated last.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Trial {
    release: Option<ReleaseId>,
    /// Since when the engine has served it without a break.
    since: Option<Instant>,
    /// Whether an order to activate it awaits the engine's statement.
    ordered: bool,
    failures: u32,
    passed: bool,
    /// Releases that failed here, oldest first; at most `KEPT_FAILED`.
    failed: VecDeque<ReleaseId>,
}

impl Trial {
    /// An order to activate `release` was given.
    pub(crate) fn ordered(&mut self, release: &ReleaseId) {
        self.found(release);
        self.ordered = true;
        self.since = None;
    }

    /// An order to serve nothing was given: what the engine stops is no failure.
    pub(crate) fn unloaded(&mut self) {
        self.since = None;
        self.ordered = false;
    }

    /// The engine stated what it serves, after it answered the last order.
    pub(crate) fn observe(&mut self, serving: Option<&ReleaseId>, soak: Duration, now: Instant) {
        if serving.is_some() && self.release.as_ref() == serving {
            self.ordered = false;
            let since = *self.since.get_or_insert(now);
            self.passed |= now.saturating_duration_since(since) >= soak;
            return;
        }
        let broke = self.ordered || (self.since.is_some() && !self.passed);
        self.ordered = false;
        self.since = None;
        if broke {
            self.fail();
        }
    }

    fn fail(&mut self) {
        self.failures += 1;
        let Some(release) = self.release.clone() else { return };
        if self.failures < MAX_FAILURES || self.failed.contains(&release) {
            return;
        }
        if self.failed.len() == KEPT_FAILED {
            self.failed.pop_front();
        }
        self.failed.push_back(release);
    }

    /// Another process gave the engine orders: what it does now says nothing about the release.
    pub(crate) fn void(&mut self) {
        *self = Trial { failed: std::mem::take(&mut self.failed), ..Trial::default() };
    }

    /// `release` is on trial from now on, unless it is already.
    pub(crate) fn found(&mut self, release: &ReleaseId) {
        if self.release.as_ref() != Some(release) {
            self.void();
            self.release = Some(release.clone());
        }
    }

    /// The verdict on `release`, once there is one.
    pub(crate) fn verdict(&self, release: &ReleaseId) -> Option<Verdict> {
        let passed = self.passed && self.release.as_ref() == Some(release);
        let outcome = match self.failed.contains(release) {
            true => Trialled::Failed,
            false if passed => Trialled::Passed,
            false => return None,
        };
        Some(Verdict { release: release.clone(), outcome })
    }
}

#[cfg(test)]
mod tests;
