//! Errors of manifests; each names the key and the remedy.

use std::fmt;

use base::Problem;

/// A document that cannot be taken into force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestError {
    /// All that was found wrong; never empty.
    pub problems: Vec<Problem>,
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.problems.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ManifestError {}
