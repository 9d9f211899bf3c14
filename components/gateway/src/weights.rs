//! Versions of weights that the operator named, and when each becomes required.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use catalog::{Bounds, ModelId, WeightsVersion};
use dispatch::VersionRequirement;
use peering::NamedVersion;

/// When a version of weights was named, as far as this process can know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NamingTime {
    /// At an unknown time before this process first read the store.
    BeforeFirstRead,
    /// At this time or later, but for the time that a change is on its way.
    NotBefore(Instant),
}

impl NamingTime {
    /// Maximum time since the version was named, if it is known.
    pub(crate) fn max_age(self, now: Instant) -> Option<Duration> {
        match self {
            NamingTime::BeforeFirstRead => None,
            NamingTime::NotBefore(at) => Some(now.saturating_duration_since(at)),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct RecordedVersion {
    version: WeightsVersion,
    /// Later than the store's acknowledgement, from which the version bound counts, at most by the time
    /// that a change is on its way, which is shorter than the margin.
    named: NamingTime,
}

/// Fraction of the margin in which a request may begin on older weights if no endpoint with the required
/// ones can take it. The rest covers the time for which the news of a version is on its way.
const LAST_START_FRACTION: f64 = 0.4;
/// Fraction of the margin after which an attempt that has not begun on older weights is ended.
const END_FRACTION: f64 = 0.5;
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

    /// Records a named version. Returns whether it is new.
    pub(crate) fn record(
        &mut self,
        model: &ModelId,
        version: WeightsVersion,
        named: NamingTime,
    ) -> bool {
        let known = self.models.entry(model.clone()).or_default();
        if known.last().is_some_and(|last| last.version >= version) {
            return false;
        }
        if known.len() == KEPT_VERSIONS {
            known.remove(0);
        }
        known.push(RecordedVersion { version, named });
        true
    }

    /// Corrects the time of a version that was named before the first read with the age that a stager
    /// reports. Returns whether the time was corrected.
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
                if known.named == NamingTime::BeforeFirstRead
                    && known.version.0 == named.version =>
            {
                known.named = NamingTime::NotBefore(named_at);
                true
            }
            _ => false,
        }
    }

    /// Corrects the times after the clock has not counted a suspension of the VM.
    pub(crate) fn correct_times(&mut self, corrected: impl Fn(Instant) -> Instant) {
        self.started = corrected(self.started);
        for known in self.models.values_mut().flatten() {
            if let NamingTime::NotBefore(at) = &mut known.named {
                *at = corrected(*at);
            }
        }
    }

    /// Returns the versions of a model's weights that are required, each with the time from which it is.
    ///
    /// Versions that were named before the first read count as named long ago. The bound does not
    /// apply to a process that has just started, so older weights may be used until it does.
    pub(crate) fn required(&self, model: &ModelId) -> Vec<VersionRequirement> {
        let known = self.models.get(model).map(Vec::as_slice).unwrap_or_default();
        let required = |known: &RecordedVersion| VersionRequirement {
            version: known.version,
            effective_at: self.effective_at(known.named),
            last_start: self.last_start(known.named, LAST_START_FRACTION),
        };
        known.iter().map(required).collect()
    }

    /// Returns until when a request may begin on `version` of a model's weights, if a newer version was
    /// named: until the middle of the margin, so that an attempt that is ended then does not begin
    /// after the bound, and an endpoint with newer weights still gets the request in time.
    pub(crate) fn latest_start(&self, model: &ModelId, version: WeightsVersion) -> Option<Instant> {
        let known = self.models.get(model)?;
        let newer = known.iter().filter(|known| known.version > version);
        newer.map(|known| self.last_start(known.named, END_FRACTION)).min()
    }

    /// Returns until when a request may begin on weights older than those that were named then: for a
    /// fraction of the margin.
    fn last_start(&self, named: NamingTime, margin_fraction: f64) -> Instant {
        let effective_at = self.effective_at(named);
        match named {
            NamingTime::BeforeFirstRead => effective_at,
            NamingTime::NotBefore(_) => effective_at + self.margin.mul_f64(margin_fraction),
        }
    }

    fn effective_at(&self, named: NamingTime) -> Instant {
        let Bounds { contact_window, version_switch, .. } = self.bounds;
        match named {
            NamingTime::BeforeFirstRead => {
                self.started + contact_window.saturating_sub(self.margin / 4)
            }
            NamingTime::NotBefore(at) => at + version_switch.saturating_sub(self.margin),
        }
    }

    /// Returns the newest version whose bound is over, with the time since then, if `version` is older.
    pub(crate) fn overdue(
        &self,
        model: &ModelId,
        version: WeightsVersion,
        now: Instant,
    ) -> Option<(WeightsVersion, Duration)> {
        let known = self.models.get(model)?;
        let bound = |known: &RecordedVersion| match known.named {
            NamingTime::BeforeFirstRead => self.started + self.bounds.contact_window,
            NamingTime::NotBefore(at) => at + self.bounds.version_switch,
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
        let age = known.named.max_age(now).unwrap_or(self.bounds.version_switch);
        Some(NamedVersion { version: known.version.0, age_ms: age.as_millis() as u32 })
    }
}

#[cfg(test)]
mod tests;
