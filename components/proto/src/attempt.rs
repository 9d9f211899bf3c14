//! What became of an attempt.

use std::time::Duration;

use base::{AttemptId, Incarnation, message};

message! {
    /// What the agent knows about an attempt.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum ExecutionStatus {
        /// It did not reach the endpoint, and never will.
        NotRun,
        /// It reached the endpoint, which has not finished.
        Running,
        /// The endpoint answered it.
        Done,
        /// It may have reached the endpoint.
        Unknown,
    }
}

message! {
    /// Names an attempt to the agent that it was made for.
    #[derive(Copy, Eq)]
    pub struct AttemptRef {
        /// The attempt.
        pub attempt: AttemptId,
        /// The run of the agent that it was made for.
        pub incarnation: Incarnation,
        /// The agent's clock, in milliseconds, as the agent stated it before the attempt was made.
        pub stamp: u64,
    }
}

message! {
    /// Whether a refused request ran; stated to callers.
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
    /// The text in headers and bodies.
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
        /// It was made for another run of the agent.
        Incarnation,
        /// It was cancelled before it arrived.
        Cancelled,
        /// It arrived before, on another connection.
        Duplicate,
        /// The endpoint serves another release, or none.
        Release,
        /// The agent stops or changes the release.
        Draining,
        /// All slots of the endpoint are taken.
        Busy,
        /// The deadline has passed.
        Late,
        /// The idempotency key was used by an attempt that may have run.
        KeyUsed {
            /// That attempt.
            attempt: AttemptId,
        },
        /// The idempotency key was used for another request.
        KeyMismatch,
        /// This agent cannot vouch that the idempotency key was never used.
        KeyUnknown,
        /// The agent keeps no answer of the attempt, or not from this offset on.
        NoAnswer,
    }
}

/// Shortest time after which a refused caller is told to come back.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
