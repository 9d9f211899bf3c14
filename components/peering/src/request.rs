//! Calls between processes, over HTTP.

use std::time::Duration;

use base::ServiceId;

/// Longest time that a piece is waited for.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// What one process asks another for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerRequest {
    /// The fleet as an entry knows it; an encoded `Fleet`.
    Fleet(ServiceId),
    /// The digests of a version, each of 32 bytes.
    Digests(u64),
    /// One piece of a version.
    Piece(u64, u32),
}

impl PeerRequest {
    /// The path of the call.
    pub fn path(&self) -> String {
        match self {
            PeerRequest::Fleet(service) => format!("/fleet/{service}"),
            PeerRequest::Digests(version) => format!("/digests/{version}"),
            PeerRequest::Piece(version, piece) => format!("/pieces/{version}/{piece}"),
        }
    }

    /// The call with this path.
    pub fn parse(path: &str) -> Option<PeerRequest> {
        let mut parts = path.strip_prefix('/')?.split('/');
        let call = match (parts.next()?, parts.next()?, parts.next()) {
            ("fleet", service, None) => PeerRequest::Fleet(service.parse().ok()?),
            ("digests", version, None) => PeerRequest::Digests(version.parse().ok()?),
            ("pieces", version, Some(piece)) => {
                PeerRequest::Piece(version.parse().ok()?, piece.parse().ok()?)
            }
            _ => return None,
        };
        parts.next().is_none().then_some(call)
    }
}

#[cfg(test)]
mod tests;
