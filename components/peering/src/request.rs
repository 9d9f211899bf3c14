//! HTTP requests between processes.

use std::time::Duration;

use base::ServiceId;

/// Timeout of a request, beyond the time that the peer itself waits for a piece.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// What one process requests from another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerRequest {
    /// The fleet as a gateway knows it, as an encoded `Fleet`.
    Fleet(ServiceId),
    /// The digests of a version, 32 bytes each.
    Digests(u64),
    /// One piece of a version.
    Piece(u64, u32),
}

impl PeerRequest {
    /// The URL path of the request.
    pub fn path(&self) -> String {
        match self {
            PeerRequest::Fleet(service) => format!("/fleet/{service}"),
            PeerRequest::Digests(version) => format!("/digests/{version}"),
            PeerRequest::Piece(version, piece) => format!("/pieces/{version}/{piece}"),
        }
    }

    /// Parses a URL path; `None` if it belongs to no request.
    pub fn parse(path: &str) -> Option<PeerRequest> {
        let mut parts = path.strip_prefix('/')?.split('/');
        let request = match (parts.next()?, parts.next()?, parts.next()) {
            ("fleet", service, None) => PeerRequest::Fleet(service.parse().ok()?),
            ("digests", version, None) => PeerRequest::Digests(version.parse().ok()?),
            ("pieces", version, Some(piece)) => {
                PeerRequest::Piece(version.parse().ok()?, piece.parse().ok()?)
            }
            _ => return None,
        };
        parts.next().is_none().then_some(request)
    }
}

#[cfg(test)]
mod tests;
