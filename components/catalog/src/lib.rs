//! What the data path knows of its surroundings, in the product's own terms: the settings of a
//! process, the configuration in force, and the endpoints of each service.

mod config;
mod endpoint;
mod engine;
mod process;
mod turns;

pub use config::{
    ApiKey, Config, ConfigVersion, Destination, Kind, Limits, Priority, Route, Service, Workspace,
};
pub use endpoint::{Endpoint, EndpointId, EndpointState, Listing};
pub use engine::{EngineFigures, Held, ModelId, Report, Weights, WeightsVersion};
pub use process::{Bounds, OwnEndpoint, Process, ProcessLimits, Serves};
pub use turns::breaks_off;
