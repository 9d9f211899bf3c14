//! Presumes which version of a model's weights is the newest one while the operator has named none.
//!
//! Endpoints may serve weights that were never named. When all of them lose these at once, nothing in the
//! store and no endpoint tells which version they served.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use catalog::{ModelId, WeightsVersion};

/// Time after the first read of the store in which stagers report versions that are newer than the
/// initial one.
const REPORT_TIME: Duration = Duration::from_millis(500);

/// What is known of weights that the operator has not named.
#[derive(Debug, Default)]
pub(crate) struct PresumedWeights {
    /// When the store was first read completely.
    read_at: Option<Instant>,
    /// Whether the store names a version that cannot be read, so that the newest one is unknown.
    has_unreadable: bool,
    /// Newest version of each model's weights that a stager reported.
    reported: HashMap<ModelId, WeightsVersion>,
    /// The presumptions so far.
    presumed: HashMap<ModelId, WeightsVersion>,
}

impl PresumedWeights {
    /// Records that the store was read completely. Until then it may name any version.
    pub(crate) fn record_read(&mut self, now: Instant) {
        self.read_at.get_or_insert(now);
    }

    /// Records that the store names a version that cannot be read.
    pub(crate) fn record_unreadable(&mut self) {
        self.has_unreadable = true;
    }

    /// Records the newest version that a stager knows.
    pub(crate) fn record_report(&mut self, model: &ModelId, version: WeightsVersion) {
        let newest = self.reported.entry(model.clone()).or_insert(version);
        *newest = version.max(*newest);
    }

    /// When a version may first be presumed; `None` while the store has not been read.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.read_at.map(|at| at + REPORT_TIME)
    }

    /// Returns the version to presume for a model of which the store names none: the newest one that a
    /// stager reported, else the initial one.
    pub(crate) fn version(&self, model: &ModelId, now: Instant) -> Option<WeightsVersion> {
        if self.has_unreadable || self.due().is_none_or(|due| now < due) {
            return None;
        }
        let reported = self.reported.get(model).copied();
        Some(reported.unwrap_or(WeightsVersion::INITIAL).max(WeightsVersion::INITIAL))
    }

    /// Records that a version is presumed. Returns whether that is new.
    pub(crate) fn record_presumed(&mut self, model: &ModelId, version: WeightsVersion) -> bool {
        self.presumed.insert(model.clone(), version) != Some(version)
    }
}

#[cfg(test)]
mod tests;
