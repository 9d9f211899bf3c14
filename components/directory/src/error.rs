//! What can fail when the store is read.

use platform::DecodeError;
use transport::TransportError;

/// A read that failed.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The store did not answer.
    #[error("the store does not answer: {0}")]
    Transport(#[from] TransportError),
    /// The store turned the call away.
    #[error("the store answers {0}")]
    Status(u16),
    /// The history that was asked for is no longer there; the whole has to be read again.
    #[error("the store's history does not go back that far")]
    HistoryGone,
    /// The store sent something else.
    #[error("the store's answer cannot be used: {0}")]
    Decode(#[from] DecodeError),
}
