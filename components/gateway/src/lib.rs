//! The gateway process on the users' platform: it admits callers' requests, sends them to endpoints and
//! forwards responses as they arrive. All tasks run on one thread.

mod attempt;
mod attempt_plan;
mod change_origin;
mod change_source;
mod events;
mod explain;
mod hedge;
mod in_progress;
mod limit_news;
mod peers;
mod position_news;
mod presumed_weights;
mod process;
mod refused;
mod relay;
mod request;
mod reregistration;
mod response;
mod response_memory;
mod serve;
mod settings;
mod shutdown;
mod state;
mod store_contents;
mod store_follower;
mod store_patience;
mod store_updates;
mod stream;
mod suspect_parts;
mod suspects;
mod weights;
mod zone_exit;

pub use process::{run, run_until};
pub use settings::GatewaySettings;
