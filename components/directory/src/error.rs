//! Errors of reading the store.

use platform::{DecodeError, store::StoreEra};
use transport::TransportError;

/// Error of a read or watch of the store.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The request could not be sent or got no response in time.
    #[error("request to the store failed: {0}")]
    Transport(#[from] TransportError),
    /// The store responded with an unexpected HTTP status.
    #[error("the store returned status {0}")]
    Status(u16),
    /// The requested history has been discarded; the whole store has to be read again.
    #[error("the store has discarded the history after the requested revision")]
    HistoryGone,
    /// The store came back from an older copy of its data; the whole store has to be read again.
    #[error("the store came back from an older copy and is in era {0}")]
    Restored(StoreEra),
    /// The response is from before the store came back from an older copy and must not be applied.
    #[error("the store answered from era {answered}, though it is known to be in era {known}")]
    OlderEra {
        /// Era of the response.
        answered: StoreEra,
        /// Newest era that was seen.
        known: StoreEra,
    },
    /// The response was passed on compressed and could not be decompressed.
    #[error("compressed response of the store is not readable: {0}")]
    Decompress(#[source] std::io::Error),
    /// The response was passed on compressed and is too large.
    #[error("compressed response of the store has more than {0} bytes")]
    DecompressedTooLarge(usize),
    /// The response could not be decoded.
    #[error("invalid response of the store: {0}")]
    Decode(#[from] DecodeError),
}
