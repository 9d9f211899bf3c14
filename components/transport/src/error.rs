//! Connection errors.

use std::{error::Error, io};

use crate::head_limit::HeadTooLarge;

/// Error of a connection or of a request on it.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// The connection could not be opened, so nothing was sent.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// The connection was not opened in time, so nothing was sent.
    #[error("no connection within the time limit")]
    ConnectTimeout,
    /// The connection ended before the request was sent.
    #[error("the connection ended before the request was sent")]
    Unsent,
    /// The request was sent at least in part, and no complete response was received.
    #[error("no answer: {0}")]
    Broken(hyper::Error),
    /// The request was sent, and what was received is no response.
    #[error("no answer but other bytes: {0}")]
    Invalid(hyper::Error),
    /// The request was sent, and no response was received in time.
    #[error("no answer within the time limit")]
    Timeout,
    /// The request was sent, and the response had not been received completely in time.
    #[error("no complete answer within the time limit, after {0} bytes of it")]
    Incomplete(usize),
    /// The response exceeds the size limit.
    #[error("the answer has more than {0} bytes")]
    TooLarge(usize),
}

impl TransportError {
    /// Whether the peer cannot have received the request.
    pub fn is_unsent(&self) -> bool {
        use TransportError::{Connect, ConnectTimeout, Unsent};
        matches!(self, Connect(_) | ConnectTimeout | Unsent)
    }

    /// Returns the error of a request that was sent at least in part.
    pub(crate) fn after_sending(err: hyper::Error) -> TransportError {
        let source = err.source().and_then(|source| source.downcast_ref::<io::Error>());
        let is_head =
            source.is_some_and(|err| err.get_ref().is_some_and(|err| err.is::<HeadTooLarge>()));
        match is_head || err.is_parse() {
            true => TransportError::Invalid(err),
            false => TransportError::Broken(err),
        }
    }

    /// Returns a short name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            TransportError::Connect(_) => "connect",
            TransportError::ConnectTimeout => "connect_timeout",
            TransportError::Unsent => "unsent",
            TransportError::Broken(_) => "broken",
            TransportError::Invalid(_) => "invalid",
            TransportError::Timeout => "timeout",
            TransportError::Incomplete(_) => "incomplete",
            TransportError::TooLarge(_) => "too_long",
        }
    }
}
