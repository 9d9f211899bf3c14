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

pub use bias::PredictionBias;
pub use endpoint::{EndpointKey, EngineStatus, InFlightKey, InFlightRequest};
pub use engine::EngineModel;
pub use health::{EndpointOutcome, Health};
pub use jobs::{Decision, GenerationSize, PendingRequest, Refusal, RequestKey, VersionRequirement};
pub use repeats::{RetryBudget, RetrySettings};
pub use settings::DispatchSettings;
pub use state::{Dispatcher, EndpointChange, EndpointView};
