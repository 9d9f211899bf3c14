//! The process beside each endpoint on the users' platform. It distributes weights to the endpoint,
//! preferring other VMs over the origin, and reports the endpoint's state to gateways.

mod backoffs;
mod engine;
mod fetch;
mod fleet;
mod fleet_view;
mod list_doubts;
mod load;
mod load_schedule;
mod named_versions;
mod open_order;
mod peers;
mod process;
mod read_pace;
mod relist;
mod report;
mod report_rates;
mod scheduler;
mod settings;
mod shared;
mod staged_check;

pub use load_schedule::{LoadSettings, PeerStatus, may_load};
pub use process::{run, run_until};
pub use report_rates::{Audience, ReportRates};
pub use scheduler::{Fetch, FetchFailure, FetchScheduler, FetchSettings, Neighbour, Source};
pub use settings::StagerSettings;
