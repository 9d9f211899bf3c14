//! HTTP requests between processes.

use std::time::Duration;

use base::{ServiceId, Zone};

/// Timeout of a request, beyond the time that the peer itself waits for a piece.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Key of the query that names a zone.
const ZONE_KEY: &str = "zone=";
/// Query that asks for changes in compressed responses of the store.
const COMPRESSED_QUERY: &str = "?compressed";
const EXPLAIN_PATH: &str = "/explain";

/// What one process requests from another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerRequest {
    /// The part of a service's fleet that the stagers of a zone need, or all of it without a zone,
    /// as an encoded `Fleet`.
    Fleet(ServiceId, Option<Zone>),
    /// The store's changes after a position, as an encoded `RelayedChanges`.
    Changes {
        /// Era of the store in which the revision was given out.
        era: u64,
        /// The revision.
        revision: u64,
        /// Whether compressed responses of the store are understood.
        compressed: bool,
    },
    /// The digests of a version, 32 bytes each.
    Digests(u64),
    /// One piece of a version.
    Piece(u64, u32),
    /// Where the request that the body describes, an `ExplainQuery`, would be sent.
    Explain,
}

impl PeerRequest {
    /// The URL path of the request, with its query.
    pub fn path(&self) -> String {
        match self {
            PeerRequest::Fleet(service, None) => format!("/fleet/{service}"),
            PeerRequest::Fleet(service, Some(zone)) => format!("/fleet/{service}?{ZONE_KEY}{zone}"),
            PeerRequest::Changes { era, revision, compressed } => {
                let query = if *compressed { COMPRESSED_QUERY } else { "" };
                format!("/changes/{era}/{revision}{query}")
            }
            PeerRequest::Explain => EXPLAIN_PATH.to_owned(),
            PeerRequest::Digests(version) => format!("/digests/{version}"),
            PeerRequest::Piece(version, piece) => format!("/pieces/{version}/{piece}"),
        }
    }

    /// Parses a URL path with its query; `None` if it belongs to no request.
    pub fn parse(path: &str) -> Option<PeerRequest> {
        if path == EXPLAIN_PATH {
            return Some(PeerRequest::Explain);
        }
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let mut parts = path.strip_prefix('/')?.split('/');
        let request = match (parts.next()?, parts.next()?, parts.next()) {
            ("fleet", service, None) => {
                let zone = query.strip_prefix(ZONE_KEY).and_then(|zone| zone.parse().ok());
                PeerRequest::Fleet(service.parse().ok()?, zone)
            }
            ("changes", era, Some(revision)) => {
                let (era, revision) = (era.parse().ok()?, revision.parse().ok()?);
                let compressed = Some(query) == COMPRESSED_QUERY.strip_prefix('?');
                PeerRequest::Changes { era, revision, compressed }
            }
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
