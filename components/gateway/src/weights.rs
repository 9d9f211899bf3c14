//! The weights that the operator named, and since when this process knows.

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
    /// When they were named, at the latest.
    named_at: Instant,
    /// Whether they were named before this process started, so that `since` is a bound only.
    inherited: bool,
}

/// Versions of a model that are remembered; older ones are required by then.
const KEPT_VERSIONS: usize = 8;

/// The weights of each model, by version.
#[derive(Debug)]
pub(crate) struct NamedWeights {
    bounds: Bounds,
    /// Time before the end of the bound from which a version is required.
    margin: Duration,
    started: Instant,
    models: HashMap<ModelId, Vec<RecordedVersion>>,
}

impl NamedWeights {
    pub(crate) fn new(bounds: Bounds, part: f64, started: Instant) -> NamedWeights {
        let margin = bounds.version_switch.mul_f64(part);
        NamedWeights { bounds, margin, started, models: HashMap::new() }
    }

    /// Weights were named; `inherited` if they lay in the store when the process first read it.
    /// Returns whether that is news.
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

    /// An agent knows since when weights are named that this process found when it started. Returns
    /// whether that is news.
    pub(crate) fn record_named_age(
        &mut self,
        model: &ModelId,
        named: NamedVersion,
        now: Instant,
    ) -> bool {
        let since = now.checked_sub(Duration::from_millis(named.age_ms.into()));
        let known = self.models.get_mut(model).and_then(|known| known.last_mut());
        match (known, since) {
            (Some(known), Some(since)) if known.inherited && known.version.0 == named.version => {
                *known =
                    RecordedVersion { version: known.version, named_at: since, inherited: false };
                true
            }
            _ => false,
        }
    }

    /// Which weights of a model may answer, and from when on.
    ///
    /// Those that were named before the process started count as named long ago. The bound does not
    /// hold for a process that just started, so older weights may answer until it does.
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

    /// The newest weights of a model, as agents are told of them.
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
