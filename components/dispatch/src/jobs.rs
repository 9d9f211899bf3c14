//! Requests that wait for an endpoint.

use std::time::{Duration, Instant};

use base::ServiceId;
use catalog::WeightsVersion;
use slotmap::new_key_type;

use crate::{EndpointKey, InFlightKey};

new_key_type! {
    /// Names a request within this process.
    pub struct RequestKey;
}

/// Sizes of a generation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct GenerationSize {
    /// Tokens of its prompt.
    pub prompt_tokens: f64,
}

/// A request that is to be sent to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingRequest {
    /// Its service.
    pub service: ServiceId,
    /// Its size, for a model engine.
    pub size: Option<GenerationSize>,
    /// When its caller first asked, as far as that is known.
    pub requested_at: Instant,
    /// When it came to this entry.
    pub arrived_at: Instant,
    /// Time from `asked` within which the answer, or its first event, is due.
    pub latency_objective: Duration,
    /// Longest pause between two events.
    pub max_event_gap: Option<Duration>,
    /// No answer is of use after this.
    pub deadline: Instant,
    /// Whether it goes on with a stream that broke off.
    pub is_resumed: bool,
    /// Whether the caller was refused before.
    pub was_refused: bool,
    /// Endpoints that it was sent to.
    pub tried: Vec<EndpointKey>,
    /// Rank against others that wait; 0 is first.
    pub rank: u8,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No endpoint is known that takes requests of the service.
    NoEndpoint,
    /// All endpoints have as much to do as they can in time.
    Overload,
    /// Its deadline has passed.
    Late,
}

impl Refusal {
    /// A short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::NoEndpoint => "no_endpoint",
            Refusal::Overload => "overload",
            Refusal::Late => "late",
        }
    }
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It is to be sent.
    Send {
        /// The endpoint.
        endpoint: EndpointKey,
        /// To be given back when the request has ended there.
        in_flight: InFlightKey,
        /// Predicted time until the first event.
        expected: Duration,
    },
    /// It waits; `Dispatcher::poll` tells when that ends.
    Wait,
    /// It is refused.
    Refuse {
        /// Why.
        reason: Refusal,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// Weights that a service's requests are answered by, or by newer ones, from some time on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionRequirement {
    /// The oldest version that may answer.
    pub version: WeightsVersion,
    /// From when on.
    pub effective_at: Instant,
}
