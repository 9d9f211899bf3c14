//! Errors in published documents. Each names the affected key and how to fix it.

use std::fmt;

use base::Problem;

/// A document that is rejected because it is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestError {
    /// Every problem found; never empty.
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
