//! Metrics on requests and attempts.

use std::time::Duration;

use metrics::{counter, gauge, histogram};
use telemetry::names;

/// Counts a request that was answered completely.
pub(crate) fn answered() {
    ended("answered");
}

/// Counts a request whose caller disconnected before the response was complete.
pub(crate) fn caller_gone() {
    ended("caller-gone");
}

/// Counts a request that ended with the given outcome.
pub(crate) fn ended(outcome: &'static str) {
    counter!(names::REQUESTS, "outcome" => outcome).increment(1);
}

/// Counts an attempt; `first` tells whether it is the first of its request.
pub(crate) fn attempt(first: bool) {
    counter!(names::ATTEMPTS).increment(1);
    if first {
        counter!(names::STARTED).increment(1);
    }
}

/// Counts a retry that the retry budget allowed or denied.
pub(crate) fn retry(allowed: bool) {
    let allowed = if allowed { "true" } else { "false" };
    counter!(names::RETRIES, "allowed" => allowed).increment(1);
}

/// Records the time from a request's arrival to the first byte of its response.
pub(crate) fn first_byte(after: Duration) {
    histogram!(names::FIRST_BYTE).record(after.as_secs_f64());
}

/// Sets the number of requests in progress, and of those that wait for an endpoint.
pub(crate) fn load(in_flight: usize, queued: usize) {
    gauge!(names::IN_FLIGHT).set(in_flight as f64);
    gauge!(names::QUEUED).set(queued as f64);
}
