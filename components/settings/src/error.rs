//! Errors of settings files; each names the key and the remedy.

use std::path::PathBuf;

use base::Problem;

/// A settings file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: cannot be read: {source}; check the path and its permissions", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A way to pick endpoints that does not exist.
    #[error("policy {0:?} does not exist; use p2c, random or round-robin")]
    Policy(String),
    /// The file has problems.
    #[error("{}", lines(file, problems))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// All that was found wrong.
        problems: Vec<Problem>,
    },
}

fn lines(file: &std::path::Path, problems: &[Problem]) -> String {
    let lines = problems.iter().map(|p| format!("{}: {p}", file.display()));
    lines.collect::<Vec<_>>().join("\n")
}
