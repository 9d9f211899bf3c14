//! Validation problems of a document or file. Each names the affected key and how to fix it.

use std::fmt;

/// Remedies by a substring of the parser's error message.
const REMEDIES: [(&str, &str); 6] = [
    ("unknown field", "remove the key or correct its spelling"),
    ("unknown variant", "use one of the values named"),
    ("missing field", "add the key"),
    ("duplicate field", "remove one of the two"),
    ("invalid type", "write a value of the type named"),
    ("invalid socket address", "write an IP address and a port, as in 10.0.1.5:7000"),
];

/// A validation problem in a file or document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Path of the key, as in `rollouts[2].version`.
    pub key: String,
    /// What is wrong and how to fix it.
    pub message: String,
}

impl Problem {
    /// Creates a problem at `key`.
    pub fn new(key: impl Into<String>, message: impl Into<String>) -> Problem {
        Problem { key: key.into(), message: message.into() }
    }

    /// Creates a problem from a parser error at `key` and adds the matching remedy, if there is one.
    pub fn from_parser(key: impl Into<String>, message: &str) -> Problem {
        let remedy = REMEDIES.iter().find(|(part, _)| message.contains(part));
        let message = match remedy {
            Some((_, remedy)) => format!("{message}; {remedy}"),
            None => message.to_owned(),
        };
        Problem::new(key, message)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.message)
    }
}
