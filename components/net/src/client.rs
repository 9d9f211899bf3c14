//! HTTP clients.

use std::time::Duration;

use ureq::Agent;

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle connections to one address.
const MAX_IDLE_PER_HOST: usize = 8;
/// Maximum number of idle connections in total.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Maximum time that an idle connection is kept.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// Creates a client that reuses connections. `timeout` limits each read and write.
pub fn pooled_client(timeout: Duration) -> Agent {
    builder(timeout).max_idle_connections(MAX_IDLE_CONNECTIONS).build().into()
}

/// Creates a client that opens a new connection for each request. `timeout` limits each read and
/// write.
pub fn unpooled_client(timeout: Duration) -> Agent {
    builder(timeout).max_idle_connections(0).build().into()
}

fn builder(timeout: Duration) -> ureq::config::ConfigBuilder<ureq::typestate::AgentScope> {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_redirects(0)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_per_read(Some(timeout))
        .timeout_per_write(Some(timeout))
        .max_idle_connections_per_host(MAX_IDLE_PER_HOST)
        .max_idle_age(MAX_IDLE_AGE)
}
