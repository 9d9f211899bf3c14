//! Decides which endpoint runs a request, and which requests wait or are refused. Free of I/O:
//! callers pass in events and the current time and get decisions back.

mod backoff;
mod bias;
mod candidate;
mod claims;
mod cold;
mod decay;
mod demand;
mod departures;
mod distance;
mod eligibility;
mod endpoint;
mod engine;
mod evacuation;
mod explain;
mod health;
mod limits;
mod listing;
mod memory;
mod outdated;
mod queue;
mod rank;
mod refusal;
mod requests;
mod retries;
mod selection;
mod settings;
mod shared_limit;
mod state;
mod subset;
mod zone_exit;

pub use bias::{PredictionBias, Relation};
pub use cold::ColdSettings;
pub use departures::ListingOrigin;
pub use endpoint::{EndpointKey, EngineStatus, InFlightKey, InFlightRequest};
pub use engine::EngineModel;
pub use evacuation::EvacuationChange;
pub use explain::{Assessment, Explanation, Suitability};
pub use health::{EndpointOutcome, Health};
pub use listing::Absence;
pub use rank::{Rank, Urgency};
pub use requests::{
    Decision, Exclusion, GenerationSize, PendingRequest, Refusal, RequestKey, VersionRequirement,
};
pub use retries::{RetryBudget, RetrySettings};
pub use settings::DispatchSettings;
pub use shared_limit::{LimitNews, WantingGateway};
pub use state::{Dispatcher, EndpointChange, EndpointView};
pub use subset::SubsetSettings;
pub use zone_exit::WayView;
