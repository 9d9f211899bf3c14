//! Times for which the endpoint, or the origin of weights, asked this VM to send nothing.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Longest time for which a host is left alone. One that started again knows nothing of the time that it had
/// asked for, and this VM learns that only by asking.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Until when hosts asked to be sent nothing.
#[derive(Debug, Default)]
pub(crate) struct Backoffs(HashMap<SocketAddr, Instant>);

impl Backoffs {
    /// Records that a host asked to be sent nothing for a time. It does not shorten an earlier one.
    pub(crate) fn record(&mut self, host: SocketAddr, time: Duration, now: Instant) {
        let until = now + time.min(MAX_BACKOFF);
        let known = self.0.entry(host).or_insert(until);
        *known = until.max(*known);
    }

    /// Returns for how long a host is still to be sent nothing, if it is.
    pub(crate) fn remaining(&self, host: SocketAddr, now: Instant) -> Option<Duration> {
        let remaining = self.0.get(&host)?.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }
}

#[cfg(test)]
mod tests;
