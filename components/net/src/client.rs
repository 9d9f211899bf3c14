//! HTTP clients.

use std::time::Duration;

use ureq::Agent;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections that are kept to one address.
const IDLE_PER_HOST: usize = 8;
/// Connections that are kept in all.
const IDLE_CONNECTIONS: usize = 64;
/// Longest time that an unused connection is kept.
const IDLE_AGE: Duration = Duration::from_secs(5);

/// A client that keeps connections; `read` bounds each wait for bytes.
pub fn pooled_client(read: Duration) -> Agent {
    builder(read).max_idle_connections(IDLE_CONNECTIONS).build().into()
}

/// A client that opens a connection for each request; `read` bounds each wait for bytes.
pub fn unpooled_client(read: Duration) -> Agent {
    builder(read).max_idle_connections(0).build().into()
}

fn builder(read: Duration) -> ureq::config::ConfigBuilder<ureq::typestate::AgentScope> {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_redirects(0)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_per_read(Some(read))
        .timeout_per_write(Some(read))
        .max_idle_connections_per_host(IDLE_PER_HOST)
        .max_idle_age(IDLE_AGE)
}
