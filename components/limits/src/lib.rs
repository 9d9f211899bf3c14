//! Limits of workspaces over all entries, fair queues and the retry budget.

mod admission;
mod fair_queue;
mod meter;
mod pace;
mod parts;
mod retries;
mod usage;

pub use admission::{Admission, OverRate};
pub use fair_queue::{Entrant, FairQueue, Full};
pub use meter::Meter;
pub use pace::Pace;
pub use parts::Parts;
pub use retries::{RetryBudget, RetrySettings};
pub use usage::{Flow, FlowKey, Flows, Totals, Usage, UsageSettings};
