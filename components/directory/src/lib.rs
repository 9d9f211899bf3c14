//! Reads and watches the platform's store.

mod body;
mod error;
mod history;
mod progress;
mod reader;
mod response;

pub use body::StoreBody;
pub use error::ReadError;
pub use history::{ChangeHistory, ChangesSince, StorePages, known_by_watch};
pub use progress::{Recovery, Restoration, StoreProgress};
pub use reader::{AnswerLimits, StoreReader, StoreReaderSettings, WatchAnswer};
pub use response::{PagedRead, Snapshot, WatchedChanges, accept_response};
