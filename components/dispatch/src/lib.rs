//! Decides which endpoint runs a request, and which requests wait or are refused. Free of I/O: state
//! and time go in, decisions come out.

mod bias;
mod choose;
mod endpoint;
mod engine;
mod health;
mod jobs;
mod listing;
mod repeats;
mod settings;
mod state;

pub use bias::Bias;
pub use endpoint::{EndpointKey, EngineNews, Flight, FlightKey};
pub use engine::EngineModel;
pub use health::{End, Health};
pub use jobs::{Decision, Job, JobKey, Refusal, Required, Size};
pub use repeats::{RepeatBudget, RepeatSettings};
pub use settings::DispatchSettings;
pub use state::{Change, Dispatcher, EndpointView};
