//! Versions of the weights that the operator named, as this process learned of them.

use std::time::Instant;

use catalog::WeightsVersion;

/// Number of remembered versions. By the time a version is dropped, its time limit is over.
const KEPT_VERSIONS: usize = 8;

/// Named versions with the times before which they were not named, in ascending order.
#[derive(Debug, Default)]
pub(crate) struct NamedVersions(Vec<(WeightsVersion, Instant)>);

impl NamedVersions {
    /// Records a version. Returns whether it is newer than all others.
    pub(crate) fn record(&mut self, version: WeightsVersion, named_at: Instant) -> bool {
        if self.newest().is_some_and(|(newest, _)| newest >= version) {
            return false;
        }
        if self.0.len() == KEPT_VERSIONS {
            self.0.remove(0);
        }
        self.0.push((version, named_at));
        true
    }

    /// The newest version.
    pub(crate) fn newest(&self) -> Option<(WeightsVersion, Instant)> {
        self.0.last().copied()
    }

    /// When the first version after `served` was named. An endpoint that serves `served` may take no
    /// requests once the time limit of that version is over, even if a newer one was named since.
    pub(crate) fn first_after(&self, served: WeightsVersion) -> Option<Instant> {
        self.0.iter().filter(|(version, _)| *version > served).map(|(_, at)| *at).min()
    }

    /// Corrects the times after the clock has not counted a suspension of the VM.
    pub(crate) fn correct_times(&mut self, corrected: impl Fn(Instant) -> Instant) {
        self.0.iter_mut().for_each(|(_, at)| *at = corrected(*at));
    }
}

#[cfg(test)]
mod tests;
