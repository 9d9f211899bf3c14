//! Endpoints that left a short time ago. A store that comes back from an older copy lists them again
//! as they were.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::ServiceId;
use catalog::{Endpoint, EndpointId};

/// Time for which endpoints that left are remembered, longer than the age of any copy.
const MEMORY_TIME: Duration = Duration::from_secs(30);
/// Maximum number of endpoints that are remembered.
const MAX_REMEMBERED: usize = 1024;
/// Time after which an entry of an older copy that is still listed belongs to a live endpoint: the
/// store removes the entry of a silent endpoint after three heartbeats.
const PROOF_TIME: Duration = Duration::from_secs(6);

/// From what a complete list of endpoints was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingOrigin {
    /// The store as it was before, and all that was written since.
    Current,
    /// A store that came back from an older copy and may list endpoints that have left since.
    OlderCopy,
}

/// One run of an endpoint, as it listed itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Run {
    started_at_ms: Option<u64>,
    addr: SocketAddr,
    service: ServiceId,
}

impl Run {
    pub(crate) fn of(endpoint: &Endpoint) -> Run {
        Run {
            started_at_ms: endpoint.started_at_ms,
            addr: endpoint.addr,
            service: endpoint.service.clone(),
        }
    }
}

/// Whether `listed` is a later run of the same endpoint than `known`.
pub(crate) fn is_later_run(listed: &Endpoint, known: &Endpoint) -> bool {
    follows(&Run::of(listed), &Run::of(known))
}

/// Whether `listed` is a later run than `known`.
pub(crate) fn follows(listed: &Run, known: &Run) -> bool {
    match (listed.started_at_ms, known.started_at_ms) {
        (Some(listed), Some(known)) if listed != known => listed > known,
        _ => listed != known,
    }
}

/// An endpoint that was removed.
#[derive(Debug, Clone)]
struct Departure {
    run: Run,
    at: Instant,
}

/// An entry that only an older copy shows to be in use.
#[derive(Debug, Clone)]
struct Doubtful {
    endpoint: Endpoint,
    /// When the entry counts as that of a live endpoint, if it is still listed.
    alive_from: Instant,
}

/// Endpoints that left, and entries of older copies that wait for a proof of life.
#[derive(Debug, Clone, Default)]
pub(crate) struct Departures {
    departed: HashMap<EndpointId, Departure>,
    doubtful: HashMap<EndpointId, Doubtful>,
}

impl Departures {
    /// Records that an endpoint was removed.
    pub(crate) fn record(&mut self, endpoint: &Endpoint, now: Instant) {
        self.departed.retain(|_, departure| is_recent(departure.at, now));
        if self.departed.len() >= MAX_REMEMBERED {
            let oldest = self.departed.iter().min_by_key(|(_, departure)| departure.at);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.departed.remove(&id);
            }
        }
        let departure = Departure { run: Run::of(endpoint), at: now };
        self.departed.insert(endpoint.id.clone(), departure);
    }

    /// Whether an entry is that of an endpoint that was removed a short time ago.
    pub(crate) fn has_left(&self, listed: &Endpoint, now: Instant) -> bool {
        let departure = self.departed.get(&listed.id);
        departure.is_some_and(|departure| {
            is_recent(departure.at, now) && !follows(&Run::of(listed), &departure.run)
        })
    }

    /// Forgets that an endpoint left, as it is in use.
    pub(crate) fn forget(&mut self, id: &EndpointId) {
        self.departed.remove(id);
        self.doubtful.remove(id);
    }

    /// Sets an entry of an older copy aside until it is written again or was listed for `PROOF_TIME`.
    pub(crate) fn doubt(&mut self, endpoint: Endpoint, now: Instant) {
        let alive_from = now + PROOF_TIME;
        self.doubtful.insert(endpoint.id.clone(), Doubtful { endpoint, alive_from });
    }

    /// Whether the entry was set aside before and has not changed since.
    pub(crate) fn is_doubtful(&self, listed: &Endpoint) -> bool {
        self.doubtful.get(&listed.id).is_some_and(|doubtful| doubtful.endpoint == *listed)
    }

    /// Drops an entry that is no longer listed.
    pub(crate) fn drop_entry(&mut self, id: &EndpointId) {
        self.doubtful.remove(id);
    }

    /// Drops all entries that are no longer listed.
    pub(crate) fn retain_listed(&mut self, ids: &HashSet<EndpointId>) {
        self.doubtful.retain(|id, _| ids.contains(id));
    }

    /// Takes the entries that were listed for long enough, as all changes before `known_until` are
    /// known.
    pub(crate) fn take_proved(&mut self, known_until: Instant) -> Vec<Endpoint> {
        let proved = self.doubtful.extract_if(|_, doubtful| known_until >= doubtful.alive_from);
        proved.map(|(_, doubtful)| doubtful.endpoint).collect()
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) <= MEMORY_TIME
}
