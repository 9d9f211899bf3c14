//! Limits that endpoints in need name: what is learned of them, and what other gateways are told.

use std::{
    collections::HashSet,
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use base::{Rate, ServiceId};

use crate::{
    EndpointKey, LimitNews,
    endpoint::TrackedEndpoint,
    shared_limit::{GatewayGroup, SharedLimit},
    state::Dispatcher,
};

/// Time for which others are told that an endpoint names no limit any more.
const END_NEWS_TIME: Duration = Duration::from_secs(2);

/// What is known of the limit of an endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct EndpointLimit {
    /// The limit in force.
    pub(crate) current: Option<SharedLimit>,
    /// When an answer showed that the last one has ended.
    ended_at: Option<Instant>,
}

impl EndpointLimit {
    /// Records what an answer showed that was seen at `seen_at`. Returns whether it is new.
    fn record(&mut self, limit: Option<Rate>, seen_at: Instant, now: Instant) -> bool {
        match (limit, &mut self.current) {
            (Some(limit), Some(current)) => {
                let before = current.limit;
                current.record_seen(limit, seen_at);
                current.limit != before
            }
            (Some(limit), None) => {
                let is_new = self.ended_at.is_none_or(|ended| seen_at > ended);
                if is_new {
                    self.current = Some(SharedLimit::new(limit, seen_at, seen_at, now));
                }
                is_new
            }
            (None, Some(current)) if seen_at > current.seen_at => {
                self.current = None;
                self.ended_at = Some(seen_at);
                true
            }
            (None, _) => false,
        }
    }

    /// Returns whether a request may be sent. Tokens must have been refilled.
    pub(crate) fn has_token(&self) -> bool {
        self.current.as_ref().is_none_or(SharedLimit::has_token)
    }

    /// The time of the last end of a limit, while others are to be told of it.
    fn recent_end(&self, now: Instant) -> Option<Instant> {
        self.ended_at.filter(|at| now.saturating_duration_since(*at) < END_NEWS_TIME)
    }
}

impl Dispatcher {
    /// Records the limit that the answer to a request named that was sent at `sent_at`. An answer
    /// without one ends the limit only if the request was sent after the limit was last named, as
    /// answers overtake each other. Returns whether that is new.
    pub fn record_limit(
        &mut self,
        key: EndpointKey,
        limit: Option<Rate>,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let Some(tracked) = self.endpoints.get_mut(key) else { return false };
        let seen_at = if limit.is_some() { now } else { sent_at };
        tracked.limit.record(limit, seen_at, now)
    }

    /// Records what another gateway tells of a limit. Returns whether that is new.
    pub fn record_limit_news(&mut self, news: &LimitNews, now: Instant) -> bool {
        let group = self.gateway_group();
        let key = self.keys_by_id.get(&news.endpoint);
        let Some(tracked) = key.and_then(|key| self.endpoints.get_mut(*key)) else { return false };
        let is_new = tracked.limit.record(news.limit, news.seen_at, now);
        if let Some(current) = &mut tracked.limit.current {
            current.record_news(group, news);
        }
        is_new
    }

    /// Takes what other gateways are to be told, and those that certainly are.
    pub fn take_limit_news(&mut self, now: Instant) -> (Vec<LimitNews>, HashSet<Ipv4Addr>) {
        let group = self.gateway_group();
        let mut all = Vec::new();
        let mut gateways = HashSet::new();
        for tracked in self.endpoints.values_mut() {
            if let Some(ended_at) = tracked.limit.recent_end(now) {
                all.push(LimitNews {
                    endpoint: tracked.listed.id.clone(),
                    limit: None,
                    seen_at: ended_at,
                    named_at: ended_at,
                    wanting: Vec::new(),
                });
            } else if let Some(current) = &mut tracked.limit.current
                && let Some(wanting) = current.take_news(group, now)
            {
                gateways.extend(current.others());
                all.push(LimitNews {
                    endpoint: tracked.listed.id.clone(),
                    limit: Some(current.limit),
                    seen_at: current.seen_at,
                    named_at: current.named_at,
                    wanting,
                });
            }
        }
        (all, gateways)
    }

    pub(crate) fn gateway_group(&self) -> GatewayGroup {
        GatewayGroup { own_ip: self.settings.own_ip, count: self.retry_budget.gateways() as usize }
    }

    /// Brings the tokens of a service's limited endpoints up to date.
    pub(crate) fn refill_limits(&mut self, service: &ServiceId, now: Instant) {
        let group = self.gateway_group();
        for tracked in self.endpoints.values_mut().filter(|t| t.listed.service == *service) {
            if let Some(current) = &mut tracked.limit.current {
                current.refill(group, now);
            }
        }
    }

    /// Records that this gateway wants to send to endpoints for which it has no token.
    pub(crate) fn record_wanted(
        &mut self,
        keys: impl IntoIterator<Item = EndpointKey>,
        now: Instant,
    ) {
        let group = self.gateway_group();
        for key in keys {
            if let Some(current) = self.endpoints.get_mut(key).and_then(limit_of) {
                current.record_want(group, now);
            }
        }
    }

    /// Takes the token of a request that is sent to an endpoint.
    pub(crate) fn take_token(&mut self, key: EndpointKey, now: Instant) {
        let group = self.gateway_group();
        if let Some(current) = self.endpoints.get_mut(key).and_then(limit_of) {
            current.take_token(group, now);
        }
    }

    /// Requests that this gateway may send to limited endpoints within a time.
    pub(crate) fn tokens_within(&self, keys: &[EndpointKey], time: Duration, now: Instant) -> f64 {
        let group = self.gateway_group();
        let limits = keys.iter().filter_map(|key| self.endpoints[*key].limit.current.as_ref());
        limits.map(|limit| limit.tokens_within(time, group, now)).sum()
    }
}

fn limit_of(tracked: &mut TrackedEndpoint) -> Option<&mut SharedLimit> {
    tracked.limit.current.as_mut()
}
