//! Typed identifiers.

use std::{fmt, str::FromStr};

use crate::{number, text_id};

/// Maximum length of an identifier in bytes.
const MAX_ID_BYTES: usize = 128;

/// Error for an identifier with a disallowed character or length.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "id {0:?} is not valid: use 1 to {MAX_ID_BYTES} letters, digits, '-', '_', '.', '@' or '+'"
)]
pub struct ParseIdError(pub String);

impl ParseIdError {
    /// Checks that `s` is a well-formed identifier.
    pub fn check(s: &str) -> Result<(), ParseIdError> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.@+".contains(c);
        if s.is_empty() || s.len() > MAX_ID_BYTES || !s.chars().all(allowed) {
            return Err(ParseIdError(s.chars().take(MAX_ID_BYTES).collect()));
        }
        Ok(())
    }
}

text_id! {
    /// The name of a VM.
    VmId
}
text_id! {
    /// The name of an availability zone.
    Zone
}
text_id! {
    /// The name of a region, a group of availability zones.
    Region
}
text_id! {
    /// The name of a workspace, the unit that shares and limits apply to.
    WorkspaceId
}
text_id! {
    /// The name of a service that callers address.
    ServiceId
}
text_id! {
    /// The name of a rollout in the manifest.
    RolloutId
}
text_id! {
    /// The name of a model or an adapter.
    ArtifactId
}
text_id! {
    /// The name of one version of a model or an adapter.
    VersionId
}
text_id! {
    /// The name of a complete set of weights: `model@version`, followed by `+adapter@version` if it
    /// includes an adapter.
    ReleaseId
}
text_id! {
    /// A caller's `Idempotency-Key`.
    IdempotencyKey
}

number! {
    /// The revision of a document that the platform publishes. It never decreases.
    Revision(u64)
}
number! {
    /// A fencing number. An engine that checks fencing numbers rejects orders whose number is lower
    /// than the highest it has seen.
    Fence(u64)
}
number! {
    /// Distinguishes successive runs of a process on a VM: the wall-clock time at its start, in
    /// milliseconds.
    Incarnation(u64)
}

/// Identifies one attempt to run a request; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u128);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for AttemptId {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, ParseIdError> {
        if s.len() != 32 || !s.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(ParseIdError(s.chars().take(MAX_ID_BYTES).collect()));
        }
        u128::from_str_radix(s, 16).map(AttemptId).map_err(|_| ParseIdError(s.to_owned()))
    }
}

impl serde::Serialize for AttemptId {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for AttemptId {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let s = <std::borrow::Cow<'de, str>>::deserialize(d)?;
        s.parse().map_err(serde::de::Error::custom)
    }
}

#[cfg(test)]
mod tests;
