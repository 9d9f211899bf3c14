//! What can fail on a connection.

use std::io;

/// A connection or an exchange that failed.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// No connection was made, so nothing was sent.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// No connection was made in time, so nothing was sent.
    #[error("no connection within the time limit")]
    ConnectTimeout,
    /// The connection ended before the request was sent.
    #[error("the connection ended before the request was sent")]
    Unsent,
    /// The request was sent, at least in part, and no whole answer came.
    #[error("no answer: {0}")]
    Broken(hyper::Error),
    /// The request was sent and nothing came in time.
    #[error("no answer within the time limit")]
    Timeout,
    /// The answer is longer than allowed.
    #[error("the answer has more than {0} bytes")]
    TooLarge(usize),
}

impl TransportError {
    /// Whether the other side cannot have seen the request.
    pub fn is_unsent(&self) -> bool {
        use TransportError::{Connect, ConnectTimeout, Unsent};
        matches!(self, Connect(_) | ConnectTimeout | Unsent)
    }

    /// A short name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            TransportError::Connect(_) => "connect",
            TransportError::ConnectTimeout => "connect_timeout",
            TransportError::Unsent => "unsent",
            TransportError::Broken(_) => "broken",
            TransportError::Timeout => "timeout",
            TransportError::TooLarge(_) => "too_long",
        }
    }
}
