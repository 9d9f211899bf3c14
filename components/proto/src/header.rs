//! Names of the HTTP headers on the data address.

/// `Bearer` followed by the peer key.
pub const AUTHORIZATION: &str = "authorization";
/// The attempt that a request belongs to.
pub const ATTEMPT: &str = "x-attempt";
/// The incarnation of the agent that the attempt was made for.
pub const INCARNATION: &str = "x-incarnation";
/// The agent's clock in milliseconds, as last reported by the agent before the attempt was made.
pub const STAMP: &str = "x-stamp";
/// Identifies the caller's request to the endpoint; the same for all its attempts.
pub const REQUEST_ID: &str = "x-request-id";
/// SHA-256 of the content of the caller's request.
pub const FINGERPRINT: &str = "x-fingerprint";
/// Milliseconds until the caller's deadline.
pub const DEADLINE: &str = "x-deadline-ms";
/// The release that is required to respond, or that responded.
pub const RELEASE: &str = "x-release";
/// The caller's workspace.
pub const WORKSPACE: &str = "x-workspace";
/// The caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// HTTP method of the caller's request.
pub const METHOD: &str = "x-call-method";
/// Path of the caller's request, relative to the service's prefix.
pub const PATH: &str = "x-call-path";
/// Content type of the caller's request.
pub const CONTENT_TYPE: &str = "content-type";
/// Whether a refused request ran: `not-run`, `run` or `unknown`.
pub const OUTCOME: &str = "x-outcome";
/// The request's priority at the engine; the lowest number is served first.
pub const PRIORITY: &str = "x-priority";
