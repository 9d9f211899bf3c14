//! Attempts: their status, outcome and reasons for refusal.

use std::time::Duration;

use base::{AttemptId, Incarnation, message};

message! {
    /// What an agent knows about the execution of an attempt.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum ExecutionStatus {
        /// It has not reached the endpoint and never will.
        NotRun,
        /// The endpoint is processing it.
        Running,
        /// The endpoint has answered it.
        Done,
        /// It may have reached the endpoint.
        Unknown,
    }
}

message! {
    /// Identifies an attempt to the agent that it was made for.
    #[derive(Copy, Eq)]
    pub struct AttemptRef {
        /// The attempt.
        pub attempt: AttemptId,
        /// Incarnation of the agent that it was made for.
        pub incarnation: Incarnation,
        /// The agent's clock in milliseconds, as last reported by the agent before the attempt was
        /// made.
        pub stamp: u64,
    }
}

message! {
    /// Whether a refused request ran, as reported to callers.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum Outcome {
        /// It did not run.
        NotRun,
        /// It ran.
        Run,
        /// It may have run.
        Unknown,
    }
}

impl Outcome {
    /// Returns the text used in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Run => "run",
            Outcome::Unknown => "unknown",
        }
    }
}

message! {
    /// Why an agent refused an attempt.
    #[derive(Eq)]
    #[serde(tag = "reason", rename_all = "kebab-case")]
    pub enum RefusalReason {
        /// It was made for another incarnation of the agent.
        Incarnation,
        /// It was cancelled before it arrived.
        Cancelled,
        /// It arrived before, on another connection.
        Duplicate,
        /// The endpoint serves another release, or none.
        Release,
        /// The agent is stopping or switching the release.
        Draining,
        /// All slots of the endpoint are in use.
        Busy,
        /// The deadline has passed.
        Late,
        /// The idempotency key was used by an attempt that may have run.
        KeyUsed {
            /// The attempt that used it.
            attempt: AttemptId,
        },
        /// The idempotency key was used for another request.
        KeyMismatch,
        /// This agent does not know all uses of the idempotency key, so it may have been used.
        KeyUnknown,
        /// The agent has no response of the attempt, or no longer from this offset on.
        NoAnswer,
    }
}

/// Minimum retry delay that a refused caller is given.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
