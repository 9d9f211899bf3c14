//! HTTP client and server connections on a single-threaded event loop: to endpoints, to the platform
//! and between processes.

mod caller_stream;
mod client;
mod connect;
mod error;
mod head_limit;
mod limits;
mod pool;
mod resettable;
mod server;
mod write_timeout;

pub use client::{BufferedResponse, Connection, Exchange, Framing, ResponseBody, request};
pub use connect::ConnectSettings;
pub use error::TransportError;
pub use limits::{BodyLimit, CallLimits, ReceiveProgress};
pub use pool::{ConnectionPool, PoolSettings};
pub use resettable::{CloseControl, ResettableStream};
pub use server::{AcceptSettings, OpenConnections, ResponseAborted, StopPhase, serve};
