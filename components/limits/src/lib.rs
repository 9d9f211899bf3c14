//! Limits of workspaces over all entries, fair queues and the retry budget.

mod admission;
mod fair_queue;
mod meter;
mod pace;
mod parts;
mod retries;
mod usage;

pub use admission::{RateLimitExceeded, RateLimiter};
pub use fair_queue::{FairQueue, QueueFull, QueueRequest};
pub use meter::RateMeter;
pub use pace::ServiceTimeEstimator;
pub use parts::LocalQuotas;
pub use retries::{RetryBudget, RetrySettings};
pub use usage::{Flow, FlowKey, Flows, UsageGossip, UsageSettings, UsageTotals};
