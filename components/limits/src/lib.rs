//! Rate limits and shares of workspaces over all entries, fair queues and the retry budget.

mod fair_queue;
mod meter;
mod quotas;
mod rate_limiter;
mod retries;
mod service_time;
mod usage;

pub use fair_queue::{FairQueue, QueueFull, QueueRequest};
pub use meter::RateMeter;
pub use quotas::LocalQuotas;
pub use rate_limiter::{RateLimitExceeded, RateLimiter};
pub use retries::{RetryBudget, RetrySettings};
pub use service_time::ServiceTimeEstimator;
pub use usage::{Flow, FlowKey, Flows, UsageGossip, UsageSettings, UsageTotals};
