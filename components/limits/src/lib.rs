//! Limits of workspaces and of retries.

mod admission;
mod retries;

pub use admission::{Admission, Refusal};
pub use retries::{RetryBudget, RetrySettings};
