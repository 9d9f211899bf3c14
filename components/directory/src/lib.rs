//! Reads and watches the platform's store.

mod error;
mod history;
mod reader;

pub use error::ReadError;
pub use history::{ChangeHistory, ChangesSince, known_by_watch};
pub use reader::{Snapshot, StoreReader, StoreReaderSettings, WatchedChanges};
