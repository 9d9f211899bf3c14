//! Problems found in a document or file; each names the key and the remedy.

use std::fmt;

/// One thing that is wrong in a file or document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Path of the key, as in `rollouts[2].version`.
    pub key: String,
    /// What is wrong and how to mend it.
    pub what: String,
}

impl Problem {
    /// A problem at `key`.
    pub fn new(key: impl Into<String>, what: impl Into<String>) -> Problem {
        Problem { key: key.into(), what: what.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.what)
    }
}
