//! Versions of weights that the operator named, and when each becomes required.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use catalog::{Bounds, ModelId, WeightsVersion};
use dispatch::VersionRequirement;
use peering::NamedVersion;

#[derive(Debug, Clone, Copy)]
struct RecordedVersion {
    version: WeightsVersion,
    /// Latest time at which the version can have been named.
    named_at: Instant,
    /// Whether the version was named before this process started, so that `named_at` is only an upper
    /// bound.
    inherited: bool,
}

/// Number of remembered versions per model. By the time a version is dropped, it is already required.
const KEPT_VERSIONS: usize = 8;

/// Named versions of each model's weights, in ascending order.
#[derive(Debug)]
pub(crate) struct NamedWeights {
    bounds: Bounds,
    /// Time before the end of the version bound from which a version is required.
    margin: Duration,
    started: Instant,
    models: HashMap<ModelId, Vec<RecordedVersion>>,
}

impl NamedWeights {
    pub(crate) fn new(bounds: Bounds, margin_fraction: f64, started: Instant) -> NamedWeights {
        let margin = bounds.version_switch.mul_f64(margin_fraction);
        NamedWeights { bounds, margin, started, models: HashMap::new() }
    }

    /// Records a named version. `inherited` means that it was in the store when the process first read
    /// it. Returns whether the version is new.
    pub(crate) fn record(
        &mut self,
        model: &ModelId,
        version: WeightsVersion,
        inherited: bool,
        now: Instant,
    ) -> bool {
        let known = self.models.entry(model.clone()).or_default();
        if known.last().is_some_and(|last| last.version >= version) {
            return false;
        }
        if known.len() == KEPT_VERSIONS {
            known.remove(0);
        }
        known.push(RecordedVersion { version, named_at: now, inherited });
        true
    }

    /// Corrects the time of an inherited version with the age that a stager reports. Returns whether
    /// the time was corrected.
    pub(crate) fn record_named_age(
        &mut self,
        model: &ModelId,
        named: NamedVersion,
        now: Instant,
    ) -> bool {
        let named_at = now.checked_sub(Duration::from_millis(named.age_ms.into()));
        let known = self.models.get_mut(model).and_then(|known| known.last_mut());
        match (known, named_at) {
            (Some(known), Some(named_at))
                if known.inherited && known.version.0 == named.version =>
            {
                *known = RecordedVersion { version: known.version, named_at, inherited: false };
                true
            }
            _ => false,
        }
    }

    /// Returns the versions of a model's weights that are required, each with the time from which it is.
    ///
    /// Versions that were named before the process started count as named long ago. The bound does not
    /// apply to a process that has just started, so older weights may be used until it does.
    pub(crate) fn required(&self, model: &ModelId) -> Vec<VersionRequirement> {
        let known = self.models.get(model).map(Vec::as_slice).unwrap_or_default();
        let required = |known: &RecordedVersion| {
            let due = known.named_at + self.bounds.version_switch.saturating_sub(self.margin);
            let start = self.started + self.bounds.contact_window.saturating_sub(self.margin / 4);
            VersionRequirement {
                version: known.version,
                effective_at: if known.inherited { start } else { due },
            }
        };
        known.iter().map(required).collect()
    }

    /// Returns until when a request may begin on `version` of a model's weights, if a newer version was
    /// named: until the middle of the margin, so that an attempt that is ended then does not begin
    /// after the bound, and an endpoint with newer weights still gets the request in time.
    pub(crate) fn latest_start(&self, model: &ModelId, version: WeightsVersion) -> Option<Instant> {
        let known = self.models.get(model)?;
        let latest = |known: &RecordedVersion| match known.inherited {
            true => self.started + self.bounds.contact_window.saturating_sub(self.margin / 4),
            false => known.named_at + self.bounds.version_switch.saturating_sub(self.margin / 2),
        };
        known.iter().filter(|known| known.version > version).map(latest).min()
    }

    /// Returns the newest version whose bound is over, with the time since then, if `version` is older.
    pub(crate) fn overdue(
        &self,
        model: &ModelId,
        version: WeightsVersion,
        now: Instant,
    ) -> Option<(WeightsVersion, Duration)> {
        let known = self.models.get(model)?;
        let bound = |known: &RecordedVersion| match known.inherited {
            true => self.started + self.bounds.contact_window,
            false => known.named_at + self.bounds.version_switch,
        };
        let newer = known.iter().filter(|known| known.version > version);
        let overdue = newer.filter_map(|known| {
            let since = now.checked_duration_since(bound(known))?;
            Some((known.version, since))
        });
        overdue.max_by_key(|(version, _)| *version)
    }

    /// Returns the newest version of a model's weights with its age, as reported to stagers.
    pub(crate) fn newest(&self, model: &ModelId, now: Instant) -> Option<NamedVersion> {
        let known = self.models.get(model)?.last()?;
        let age = match known.inherited {
            true => self.bounds.version_switch,
            false => now.saturating_duration_since(known.named_at),
        };
        Some(NamedVersion { version: known.version.0, age_ms: age.as_millis() as u32 })
    }
}

#[cfg(test)]
mod tests;
