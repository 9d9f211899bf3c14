//! Process input and output: the event loop, JSON-RPC, HTTP listeners and clients.

mod client;
mod core_loop;
mod handlers;
mod http;
mod listener;
mod peers;
mod request;
mod response;
mod rpc;
mod runtime;
mod shutdown;
mod stream;
mod workers;

pub use ::http::Method;
pub use client::{pooled_client, unpooled_client};
pub use core_loop::{Mailbox, run_event_loop};
pub use handlers::{HandlerGuard, HandlerTracker};
pub use http::{header, is_authorized, query_param, read_body, respond_with_error};
pub use listener::Listener;
pub use peers::{CallError, PeerCaller};
pub use request::Request;
pub use response::Response;
pub use rpc::{PeerCall, Reply, RpcServer, send_reply};
pub use runtime::runtime;
pub use shutdown::{DrainTimer, Latch};
pub use stream::StreamWriter;
pub use workers::ThreadPool;
