//! Problems found in a document or file; each names the key and the remedy.

use std::fmt;

/// Remedies by a part of the parser's message.
const REMEDIES: [(&str, &str); 6] = [
    ("unknown field", "remove the key or correct its spelling"),
    ("unknown variant", "use one of the values named"),
    ("missing field", "add the key"),
    ("duplicate field", "remove one of the two"),
    ("invalid type", "write a value of the type named"),
    ("invalid socket address", "write an IP address and a port, as in 10.0.1.5:7000"),
];

/// One thing that is wrong in a file or document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Path of the key, as in `rollouts[2].version`.
    pub key: String,
    /// What is wrong and how to mend it.
    pub message: String,
}

impl Problem {
    /// A problem at `key`.
    pub fn new(key: impl Into<String>, what: impl Into<String>) -> Problem {
        Problem { key: key.into(), message: what.into() }
    }

    /// A problem that a parser reports at `key`, with the remedy that goes with it.
    pub fn from_parser(key: impl Into<String>, message: &str) -> Problem {
        let remedy = REMEDIES.iter().find(|(part, _)| message.contains(part));
        let what = match remedy {
            Some((_, remedy)) => format!("{message}; {remedy}"),
            None => message.to_owned(),
        };
        Problem::new(key, what)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.message)
    }
}
