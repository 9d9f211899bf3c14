//! Typed identifiers.

use std::{fmt, str::FromStr};

use crate::{number, text_id};

/// Longest accepted identifier, in bytes.
const MAX_ID_BYTES: usize = 128;

/// An identifier with characters or a length that are not allowed.
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
    /// Names one VM of the fleet.
    VmId
}
text_id! {
    /// Names an availability zone.
    Zone
}
text_id! {
    /// Names a region, a group of availability zones.
    Region
}
text_id! {
    /// Names a workspace, the unit that shares and limits apply to.
    WorkspaceId
}
text_id! {
    /// Names a service that callers address.
    ServiceId
}
text_id! {
    /// Names a rollout of the manifest.
    RolloutId
}
text_id! {
    /// Names a model or an adapter.
    ArtifactId
}
text_id! {
    /// Names one version of a model or an adapter.
    VersionId
}
text_id! {
    /// Names a complete set of weights: `model@version`, and `+adapter@version` where it has one.
    ReleaseId
}
text_id! {
    /// A caller's `Idempotency-Key`.
    IdempotencyKey
}

number! {
    /// The revision of a document of the platform; it only grows.
    Revision(u64)
}
number! {
    /// A fencing number; an engine that checks them refuses any lower than the highest it saw.
    Fence(u64)
}
number! {
    /// Tells one run of a process on a VM from the next: milliseconds of the wall clock at start.
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
