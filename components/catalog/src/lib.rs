//! What the data path knows of its surroundings, in the product's own terms: the settings of a
//! process, the configuration in force, and the endpoints of each service.

mod config;
mod endpoint;
mod engine;
mod load_policy;
mod process;

pub use config::{
    ApiKey, Config, ConfigVersion, Destination, Priority, RequestLimits, Route, RouteKind, Service,
    Workspace,
};
pub use endpoint::{Endpoint, EndpointId, EndpointState, EndpointUpdate};
pub use engine::{EngineProfile, EngineReport, HeldWeights, ModelId, WeightsSpec, WeightsVersion};
pub use load_policy::interrupts_on_load;
pub use process::{Bounds, LocalEndpoint, ProcessLimits, ProcessRole, ProcessSettings};
