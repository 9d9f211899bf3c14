//! HTTP connections on one event-driven thread: to endpoints, to the platform and between processes.

mod client;
mod connect;
mod error;
mod pool;
mod server;

pub use client::{Connection, Exchange, Reply, ReplyBody, request};
pub use connect::ConnectSettings;
pub use error::TransportError;
pub use pool::{Pool, PoolSettings};
pub use server::{AcceptSettings, Gone, Server, Stop, serve};
