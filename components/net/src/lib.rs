//! Edges of a process: the core loop, JSON-RPC, HTTP listeners and clients.

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
pub use client::{pooled, single};
pub use core_loop::{Mailbox, run};
pub use handlers::{Handlers, Running};
pub use http::{authorized, header, query, read_body, refuse};
pub use listener::Listener;
pub use peers::{CallError, Peers};
pub use request::Request;
pub use response::Response;
pub use rpc::{PeerCall, Reply, RpcServer, answer_call};
pub use runtime::runtime;
pub use shutdown::{Drain, Latch};
pub use stream::StreamWriter;
pub use workers::Workers;
