//! Cold endpoints, which bear few requests for a while after their start.
//!
//! All gateways together may send a cold endpoint only so many requests within a second. They exchange
//! nothing about single requests: the allowance is a whole number of requests a second, and rendezvous
//! hashing by the endpoint's name divides these among the gateways. Where there are more gateways than
//! requests, the others send the endpoint nothing while it is cold.

use std::{
    collections::VecDeque,
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use base::{ServiceId, rendezvous_order};
use catalog::ColdStart;

use crate::{EndpointKey, PendingRequest, requests::Exclusion, state::Dispatcher};

/// Time within which the requests at a cold endpoint are counted: a second, and by how much longer one
/// of two requests may be on its way than the other.
const WINDOW: Duration = Duration::from_millis(1100);
/// Maximum number of requests whose times are kept for an endpoint.
const MAX_KEPT: usize = 256;
/// Maximum time for which an endpoint counts as cold without another word of it.
const MAX_COLD_TIME: Duration = Duration::from_secs(600);

/// How the requests that cold endpoints bear are divided among the gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSettings {
    /// Factor by which the requests within a second may exceed the rate that an endpoint names.
    pub overage: f64,
    /// Requests within a second that are allowed beyond that.
    pub slack: f64,
    /// Fraction of the allowance that is used; the margin absorbs gateways that just started or that
    /// others do not know yet.
    pub used_fraction: f64,
    /// Number of gateways that a gateway assumes that does not know them yet.
    pub assumed_gateways: usize,
}

impl Default for ColdSettings {
    fn default() -> ColdSettings {
        ColdSettings { overage: 1.0, slack: 0.0, used_fraction: 0.8, assumed_gateways: 16 }
    }
}

impl ColdSettings {
    /// Requests a second that all gateways together may send.
    fn allowance(&self, cold: &ColdStart) -> f64 {
        (cold.request_rate.0 * self.overage + self.slack) * self.used_fraction
    }
}

/// The gateways among which the allowance is divided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KnownGateways {
    /// Addresses of the gateways that are known, this one included, in order.
    names: Vec<String>,
    /// Number of all gateways.
    count: usize,
}

/// What one gateway may send to a cold endpoint: a number of requests within a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ColdShare {
    max_requests: usize,
    window: Duration,
}

impl ColdShare {
    const NOTHING: ColdShare = ColdShare::of(0);

    /// Up to `max_requests` within a second, at most as many as are remembered.
    const fn of(max_requests: usize) -> ColdShare {
        let max_requests = if max_requests < MAX_KEPT { max_requests } else { MAX_KEPT };
        ColdShare { max_requests, window: WINDOW }
    }

    /// One request in the time in which `rate` a second make one.
    fn one_at(rate: f64) -> ColdShare {
        let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX);
        ColdShare { max_requests: 1, window: interval.max(WINDOW) }
    }

    /// The share of the gateway `own` of `allowance` requests a second to `endpoint`.
    ///
    /// `allowance` is more than zero.
    fn divide(
        allowance: f64,
        endpoint: &str,
        gateways: &KnownGateways,
        own: Ipv4Addr,
    ) -> ColdShare {
        let whole = allowance.floor() as usize;
        let each = whole / gateways.count;
        if gateways.names.len() < gateways.count {
            // Which gateways get more than the others is not known.
            return match each {
                0 => ColdShare::one_at(allowance / gateways.count as f64),
                each => ColdShare::of(each),
            };
        }
        let ranked = rendezvous_order(endpoint.as_bytes(), &gateways.names, |name| name);
        let own = own.to_string();
        let rank = ranked.into_iter().position(|name| *name == own).unwrap_or(usize::MAX);
        match (whole, each + usize::from(rank < whole % gateways.count)) {
            (0, _) if rank == 0 => ColdShare::one_at(allowance),
            (_, 0) => ColdShare::NOTHING,
            (_, count) => ColdShare::of(count),
        }
    }
}

/// Whether an endpoint is cold, and what this gateway sent it lately.
#[derive(Debug, Clone, Default)]
pub(crate) struct ColdState {
    /// What this gateway may send while the endpoint is cold. `None` if its service has no cold starts.
    share: Option<ColdShare>,
    until: Option<Instant>,
    /// When requests were sent within the last window, also while it was warm.
    sent: VecDeque<Instant>,
}

impl ColdState {
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.share.is_some() && self.until.is_some_and(|until| now < until)
    }

    /// Whether the endpoint is cold and this gateway may send it nothing now.
    pub(crate) fn is_used_up(&self, now: Instant) -> bool {
        self.is_cold(now) && self.next_slot(now) != Some(now)
    }

    /// When this gateway may send it a request next; `None` if not as long as it is cold.
    fn next_slot(&self, now: Instant) -> Option<Instant> {
        let share = self.share?;
        let at = match self.sent.len().checked_sub(share.max_requests) {
            None => now,
            Some(_) if share.max_requests == 0 => self.until?,
            Some(index) => self.sent[index].checked_add(share.window)?.max(now),
        };
        Some(at.min(self.until.unwrap_or(at)).max(now))
    }

    /// Number of requests that this gateway may send within a time.
    fn slots_within(&self, time: Duration, now: Instant) -> usize {
        let (Some(share), Some(at)) = (self.share, self.next_slot(now)) else { return 0 };
        if at > now + time {
            return 0;
        }
        let windows = (now + time - at).as_secs_f64() / share.window.as_secs_f64();
        // The slots of one window may be used at once.
        share.max_requests.max(1).saturating_mul((windows as usize).saturating_add(1))
    }

    fn record_send(&mut self, now: Instant) {
        let Some(share) = self.share else { return };
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= share.window;
        while self.sent.len() >= MAX_KEPT || self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}

impl Dispatcher {
    /// Replaces how the requests that cold endpoints bear are divided.
    pub fn set_cold_settings(&mut self, settings: ColdSettings) {
        self.settings.cold = settings;
        self.divide_cold_allowances();
    }

    /// Sets what the endpoints of a service bear while they are cold; `None` if they start at full
    /// capacity.
    pub fn set_cold_start(&mut self, service: &ServiceId, cold: Option<ColdStart>) {
        let before = match cold {
            Some(cold) => self.cold_starts.insert(service.clone(), cold),
            None => self.cold_starts.remove(service),
        };
        if before != cold {
            self.divide_cold_allowances();
        }
    }

    /// Sets the other gateways that are known, and the number of all. `None` as long as no process that
    /// knows them has named them.
    pub fn set_gateways(&mut self, others: Option<&[Ipv4Addr]>, count: usize) {
        let own = self.settings.own_ip;
        let gateways = others.map(|others| {
            let mut names: Vec<String> = others.iter().map(Ipv4Addr::to_string).collect();
            names.push(own.to_string());
            names.sort_unstable();
            names.dedup();
            KnownGateways { count: count.max(names.len()), names }
        });
        if gateways != self.gateways {
            self.gateways = gateways;
            self.divide_cold_allowances();
        }
    }

    /// Time for which an endpoint is still cold.
    pub fn cold_time(&self, key: EndpointKey, now: Instant) -> Option<Duration> {
        let cold = &self.endpoints.get(key)?.cold;
        cold.until.filter(|_| cold.is_cold(now)).map(|until| until - now)
    }

    /// Takes the endpoints that became cold since the last call.
    pub fn take_newly_cold(&mut self) -> Vec<EndpointKey> {
        std::mem::take(&mut self.newly_cold)
    }

    /// Takes an endpoint at the word of its entry, which was learned at `now`, on how long it is cold. The
    /// entry is older than that, so the endpoint is warm by then.
    pub(crate) fn learn_cold_time(&mut self, key: EndpointKey, now: Instant) {
        let share = self.cold_share(key);
        let tracked = &mut self.endpoints[key];
        let was_cold = tracked.cold.is_cold(now);
        tracked.cold.share = share;
        tracked.cold.until = now.checked_add(tracked.listed.cold_time.min(MAX_COLD_TIME));
        if !was_cold && tracked.cold.is_cold(now) {
            self.newly_cold.push(key);
        }
    }

    /// Counts a request that is sent to an endpoint, whatever comes of it.
    pub(crate) fn record_cold_send(&mut self, key: EndpointKey, now: Instant) {
        self.endpoints[key].cold.record_send(now);
    }

    /// Number of requests like this that the cold endpoints may get within a time.
    pub(crate) fn cold_slots_within(
        &self,
        request: &PendingRequest,
        time: Duration,
        now: Instant,
    ) -> usize {
        self.cold_endpoints(request, now).map(|cold| cold.slots_within(time, now)).sum()
    }

    /// When the first cold endpoint may get such a request.
    pub(crate) fn next_cold_slot(&self, request: &PendingRequest, now: Instant) -> Option<Instant> {
        self.cold_endpoints(request, now).filter_map(|cold| cold.next_slot(now)).min()
    }

    fn cold_endpoints(
        &self,
        request: &PendingRequest,
        now: Instant,
    ) -> impl Iterator<Item = &ColdState> {
        let cold = self.exclusions(request, now).filter(|(_, why)| *why == Exclusion::Cold);
        cold.map(|(tracked, _)| &tracked.cold)
    }

    fn divide_cold_allowances(&mut self) {
        let keys: Vec<EndpointKey> = self.endpoints.keys().collect();
        for key in keys {
            let share = self.cold_share(key);
            self.endpoints[key].cold.share = share;
        }
    }

    /// What this gateway may send to an endpoint while that is cold.
    fn cold_share(&self, key: EndpointKey) -> Option<ColdShare> {
        let listed = &self.endpoints[key].listed;
        let cold = self.cold_starts.get(&listed.service)?;
        let settings = self.settings.cold;
        let allowance = settings.allowance(cold);
        Some(match &self.gateways {
            _ if allowance <= 0.0 => ColdShare::NOTHING,
            Some(gateways) => {
                ColdShare::divide(allowance, listed.id.as_str(), gateways, self.settings.own_ip)
            }
            None => ColdShare::one_at(allowance / settings.assumed_gateways.max(1) as f64),
        })
    }
}

#[cfg(test)]
mod tests;
