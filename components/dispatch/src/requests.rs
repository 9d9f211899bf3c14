//! Requests to be dispatched, and the decisions on them.

use std::time::{Duration, Instant};

use base::{ServiceId, WorkspaceId};
use catalog::{Homes, WeightsVersion};
use slotmap::new_key_type;

use crate::{EndpointKey, InFlightKey, Rank};

new_key_type! {
    /// Identifies a waiting request within this process.
    pub struct RequestKey;
}

/// Size of a generation request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct GenerationSize {
    /// Length of the prompt in tokens.
    pub prompt_tokens: f64,
    /// Maximum length of the answer in tokens.
    pub max_answer_tokens: f64,
    /// The caller's estimate of the length of the answer in tokens.
    pub answer_hint: Option<f64>,
}

/// A request that is to be sent to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingRequest {
    /// The requested service.
    pub service: ServiceId,
    /// Size of the request, for a model engine.
    pub size: Option<GenerationSize>,
    /// When the caller first sent the request, as far as that is known.
    pub requested_at: Instant,
    /// When the request arrived at this gateway.
    pub arrived_at: Instant,
    /// Time from `requested_at` within which the answer, or its first event, is due.
    pub latency_objective: Duration,
    /// Maximum gap between two events of a stream.
    pub max_event_gap: Option<Duration>,
    /// An answer after this time is of no use.
    pub deadline: Instant,
    /// Whether the request resumes a stream that was interrupted.
    pub is_resumed: bool,
    /// Whether the caller was refused before.
    pub was_refused: bool,
    /// Regions in which the request may be served.
    pub homes: Homes,
    /// The workspace of the caller, if it is known.
    pub workspace: Option<WorkspaceId>,
    /// Endpoints that the request was already sent to.
    pub tried: Vec<EndpointKey>,
    /// Rank among the waiting requests.
    pub rank: Rank,
}

/// Why an endpoint may not get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exclusion {
    /// The request was sent to it before.
    Tried,
    /// It is not in the subset that this gateway follows.
    NotFollowed,
    /// It is draining.
    Leaving,
    /// Its region is none in which the request may be served.
    Home,
    /// The operator evacuated its zone.
    Evacuated,
    /// It asked to be sent nothing for now.
    Backoff,
    /// Its last answers were failures.
    Unhealthy,
    /// It loads weights, or holds none.
    NotServing,
    /// Its weights may no longer answer.
    OldWeights,
    /// It is cold, and this gateway's share of what it accepts is used up.
    Cold,
    /// Its memory has no room for the request.
    Memory,
}

impl Exclusion {
    /// Whether the endpoint may get the request without a change of the fleet, the configuration or what
    /// the operator wants.
    pub(crate) fn may_pass_soon(self) -> bool {
        match self {
            Exclusion::Backoff
            | Exclusion::Unhealthy
            | Exclusion::NotServing
            | Exclusion::OldWeights
            | Exclusion::Memory
            | Exclusion::Cold => true,
            Exclusion::Tried
            | Exclusion::NotFollowed
            | Exclusion::Leaving
            | Exclusion::Home
            | Exclusion::Evacuated => false,
        }
    }

    /// Name in logs, metrics and explanations.
    pub fn name(self) -> &'static str {
        match self {
            Exclusion::Tried => "tried",
            Exclusion::NotFollowed => "not_followed",
            Exclusion::Leaving => "leaving",
            Exclusion::Home => "home",
            Exclusion::Evacuated => "evacuated",
            Exclusion::Backoff => "backoff",
            Exclusion::Unhealthy => "unhealthy",
            Exclusion::NotServing => "not_serving",
            Exclusion::OldWeights => "old_weights",
            Exclusion::Cold => "cold",
            Exclusion::Memory => "memory",
        }
    }
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No known endpoint takes requests of the service.
    NoEndpoint,
    /// No endpoint can take the request and meet its objective.
    Overload,
    /// All endpoints that could take the request asked to be sent nothing for now.
    Backoff,
    /// All endpoints that could take the request name limits that are used up.
    Limited,
    /// No endpoint of a region in which the request may be served can take it.
    NoHome,
    /// All endpoints that could take the request are in zones that the operator evacuated.
    Evacuated,
    /// All endpoints that could take the request are cold and bear no more for now.
    Cold,
    /// The deadline of the request has passed.
    Late,
    /// The request needs more memory than any endpoint has.
    TooLarge,
}

impl Refusal {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::NoEndpoint => "no_endpoint",
            Refusal::Overload => "overload",
            Refusal::Backoff => "backoff",
            Refusal::Limited => "limit",
            Refusal::NoHome => "no_home",
            Refusal::Evacuated => "evacuated",
            Refusal::Cold => "cold",
            Refusal::Late => "late",
            Refusal::TooLarge => "too_large",
        }
    }
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// Send the request.
    Send {
        /// The endpoint to send it to.
        endpoint: EndpointKey,
        /// Identifies the request at the endpoint; to be passed to `Dispatcher::record_result` when
        /// it ends.
        in_flight: InFlightKey,
        /// Predicted time until the first event.
        expected: Duration,
    },
    /// Wait; `Dispatcher::poll` returns the request once it is decided.
    Wait,
    /// Refuse the request.
    Refuse {
        /// Why it is refused.
        reason: Refusal,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// The minimum version of the weights that may answer a service's requests from some time on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionRequirement {
    /// The oldest version that may answer.
    pub version: WeightsVersion,
    /// When the requirement takes effect.
    pub effective_at: Instant,
    /// Until when a request may begin on an older version if no endpoint with the required one can take
    /// it.
    pub last_start: Instant,
}
