//! Errors in settings files. Each names the affected key and how to fix it.

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
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// An unknown routing policy.
    #[error("policy {0:?} does not exist; use p2c, random or round-robin")]
    Policy(String),
    /// The file has problems.
    #[error("{}", problem_lines(file, problems))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// Every problem found.
        problems: Vec<Problem>,
    },
}

fn problem_lines(file: &std::path::Path, problems: &[Problem]) -> String {
    let lines = problems.iter().map(|p| format!("{}: {p}", file.display()));
    lines.collect::<Vec<_>>().join("\n")
}
