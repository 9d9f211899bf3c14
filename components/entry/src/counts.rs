//! Counts what becomes of requests.

use std::time::Duration;

use metrics::{counter, gauge, histogram};
use telemetry::names;

/// A request has its whole answer.
pub(crate) fn answered() {
    ended("answered");
}

/// The caller of a request left before its answer was whole.
pub(crate) fn caller_gone() {
    ended("caller-gone");
}

/// A request ended in one of the outcomes.
pub(crate) fn ended(outcome: &'static str) {
    counter!(names::REQUESTS, "outcome" => outcome).increment(1);
}

/// An attempt is made; `first` says that it is the first of its request.
pub(crate) fn attempt(first: bool) {
    counter!(names::ATTEMPTS).increment(1);
    if first {
        counter!(names::STARTED).increment(1);
    }
}

/// The retry budget was asked for a retry.
pub(crate) fn retry(allowed: bool) {
    let allowed = if allowed { "true" } else { "false" };
    counter!(names::RETRIES, "allowed" => allowed).increment(1);
}

/// The first byte of an answer went out, so long after its request arrived.
pub(crate) fn first_byte(after: Duration) {
    histogram!(names::FIRST_BYTE).record(after.as_secs_f64());
}

/// Requests in progress, and those of them that wait for an endpoint.
pub(crate) fn load(in_flight: usize, queued: usize) {
    gauge!(names::IN_FLIGHT).set(in_flight as f64);
    gauge!(names::QUEUED).set(queued as f64);
}
