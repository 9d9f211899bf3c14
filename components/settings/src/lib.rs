//! The settings file of one process.

mod error;
mod load;
mod model;

pub use error::SettingsError;
pub use model::{
    AgentSettings, EndpointKind, EntrySettings, Fencing, PeerKey, PlatformSettings, RoutingPolicy,
    Settings, Strategy, UnknownStrategy,
};
