//! Domain types shared by the gateway and the stager: the settings of a process, the operator's
//! configuration and the endpoints of each service. They do not depend on the platform's wire formats.

mod config;
mod endpoint;
mod engine;
mod homes;
mod load_policy;
mod process;

pub use config::{
    ApiKey, ColdStart, Config, ConfigVersion, Destination, Priority, RequestLimits, Route,
    RouteKind, Service, Workspace, ZoneDelay,
};
pub use endpoint::{Endpoint, EndpointId, EndpointState, EndpointUpdate};
pub use engine::{EngineProfile, EngineReport, HeldWeights, ModelId, WeightsSpec, WeightsVersion};
pub use homes::Homes;
pub use load_policy::interrupts_on_load;
pub use process::{Bounds, LocalEndpoint, ProcessLimits, ProcessRole, ProcessSettings};
