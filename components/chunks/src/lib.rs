//! Moves chunks: what is held, what is fetched from where, and how fast.

mod link;
mod pool;
mod transfer;
mod tree;

pub use link::Link;
pub use pool::Pool;
pub use transfer::{Action, FetchError, Source, Transfer, TransferSettings};
pub use tree::Tree;
