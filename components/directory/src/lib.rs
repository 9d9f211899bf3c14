//! Reads and watches the platform's store.

mod error;
mod reader;

pub use error::ReadError;
pub use reader::{Snapshot, StoreReader, StoreReaderSettings};
