//! The share of this gateway in the limit that an endpoint in need names for all gateways together.
//! Gateways tell each other which of them want to send to the endpoint; each uses only its share.

use std::{
    cmp::Reverse,
    collections::HashMap,
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use base::{Rate, rendezvous_weight};
use catalog::EndpointId;

/// Maximum number of gateways that send to a limited endpoint at a time. Each may send somewhat more
/// than its share at once.
const MAX_SENDERS: usize = 4;
/// Time after which a gateway sends that begins to, where others can do so at the same moment: by then
/// they know of each other.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// Time in whose share of the limit a gateway may send at once.
const BURST_TIME: Duration = Duration::from_secs(1);
/// Time after which, where more gateways want to send, others get their turn.
const TURN_TIME: Duration = Duration::from_secs(10);
/// Requests that a sender is to get in one turn, at least.
const MIN_PER_TURN: f64 = 1.0;
/// Time for which a gateway that wanted to send counts among those that share the limit.
const INTEREST_TIME: Duration = Duration::from_secs(5);
/// Interval at which interest is announced again.
const NEWS_INTERVAL: Duration = Duration::from_millis(500);
/// Lowest rate that is used. An endpoint that takes nothing is asked now and then whether it still
/// says so.
const MIN_RATE: f64 = 0.1;

/// Which gateway this is, and how many there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct GatewayGroup {
    pub(crate) own_ip: Ipv4Addr,
    /// Number of all gateways, at least 1.
    pub(crate) count: usize,
}

impl GatewayGroup {
    /// Whether all gateways may send at the same time.
    fn is_small(self) -> bool {
        self.count <= MAX_SENDERS
    }
}

/// A gateway that wants to send to a limited endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WantingGateway {
    /// The gateway.
    pub ip: Ipv4Addr,
    /// When it last wanted to.
    pub at: Instant,
}

/// What another gateway tells of an endpoint's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitNews {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The limit; `None` if the endpoint names none any more.
    pub limit: Option<Rate>,
    /// When an answer of the endpoint showed that.
    pub seen_at: Instant,
    /// When the endpoint first named a limit.
    pub named_at: Instant,
    /// The gateways that want to send, of those that are known the first ones of this turn.
    pub wanting: Vec<WantingGateway>,
}

/// A limit and this gateway's share in it.
#[derive(Debug, Clone)]
pub(crate) struct SharedLimit {
    pub(crate) limit: Rate,
    /// When the endpoint first named a limit. Turns are counted from then.
    pub(crate) named_at: Instant,
    /// When an answer last showed the limit, here or at another gateway.
    pub(crate) seen_at: Instant,
    /// Other gateways that want to send, with the time when they last did.
    others: HashMap<Ipv4Addr, Instant>,
    /// When this gateway last wanted to send.
    wanted_at: Option<Instant>,
    /// Since when this gateway is one of those that send.
    sending_since: Option<Instant>,
    /// When this gateway last told others of it.
    told_at: Option<Instant>,
    /// Requests that may be sent now.
    tokens: f64,
    /// When `tokens` was last brought up to date.
    filled_at: Instant,
}

impl SharedLimit {
    /// A limit that an endpoint named for the first time.
    pub(crate) fn new(
        limit: Rate,
        named_at: Instant,
        seen_at: Instant,
        now: Instant,
    ) -> SharedLimit {
        SharedLimit {
            limit,
            named_at,
            seen_at,
            others: HashMap::new(),
            wanted_at: None,
            sending_since: None,
            told_at: None,
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Records that an answer showed the limit.
    pub(crate) fn record_seen(&mut self, limit: Rate, seen_at: Instant) {
        if seen_at >= self.seen_at {
            self.limit = limit;
            self.seen_at = seen_at;
        }
    }

    /// Records which gateways want to send, and since when another one knows the endpoint to be limited.
    pub(crate) fn record_news(&mut self, group: GatewayGroup, news: &LimitNews) {
        self.named_at = self.named_at.min(news.named_at);
        for other in news.wanting.iter().filter(|other| other.ip != group.own_ip) {
            let at = self.others.entry(other.ip).or_insert(other.at);
            *at = other.at.max(*at);
        }
    }

    /// Records that this gateway wants to send.
    pub(crate) fn record_want(&mut self, group: GatewayGroup, now: Instant) {
        self.refill(group, now);
        self.wanted_at = Some(now);
    }

    /// Whether a request may be sent now. Tokens must have been refilled.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of a request that is sent.
    pub(crate) fn take_token(&mut self, group: GatewayGroup, now: Instant) {
        self.record_want(group, now);
        self.tokens -= 1.0;
    }

    /// Brings the tokens up to date.
    pub(crate) fn refill(&mut self, group: GatewayGroup, now: Instant) {
        self.others.retain(|_, at| now.saturating_duration_since(*at) < INTEREST_TIME);
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let share = self.share(group, now);
        let is_sending = share > 0.0 && (group.is_small() || self.is_interested(now));
        self.sending_since = is_sending.then(|| self.sending_since.unwrap_or(now));
        let has_settled = self.time_to_settle(group, now).is_zero();
        self.tokens = match is_sending && has_settled {
            true => (self.tokens + share * elapsed).min(self.max_tokens(group)),
            false => 0.0,
        };
    }

    /// Time until this gateway may send, if it wants to from now on and it is its turn.
    fn time_to_settle(&self, group: GatewayGroup, now: Instant) -> Duration {
        if group.is_small() {
            return Duration::ZERO;
        }
        let since = self.sending_since.unwrap_or(now);
        SETTLE_TIME.saturating_sub(now.saturating_duration_since(since))
    }

    /// The most tokens that are saved up. Those of all gateways together stay within what the limit
    /// allows beyond its rate.
    fn max_tokens(&self, group: GatewayGroup) -> f64 {
        let senders = group.count.clamp(1, MAX_SENDERS);
        (self.rate() * BURST_TIME.as_secs_f64() / senders as f64).max(1.0)
    }

    fn rate(&self) -> f64 {
        self.limit.0.max(MIN_RATE)
    }

    /// The requests a second that this gateway may send, if it wants to.
    pub(crate) fn share(&self, group: GatewayGroup, now: Instant) -> f64 {
        let wanting = self.others.len() + 1;
        if wanting <= MAX_SENDERS {
            return self.rate() / wanting as f64;
        }
        let per_turn = self.rate() * TURN_TIME.as_secs_f64() / MIN_PER_TURN;
        let senders = (per_turn as usize).clamp(1, MAX_SENDERS);
        let turn = self.turn(now);
        let own = turn_weight(turn, group.own_ip);
        let before = self.others.keys().filter(|ip| turn_weight(turn, **ip) > own).count();
        match before < senders {
            true => self.rate() / senders as f64,
            false => 0.0,
        }
    }

    fn turn(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.named_at).as_secs() / TURN_TIME.as_secs()
    }

    fn is_interested(&self, now: Instant) -> bool {
        self.wanted_at.is_some_and(|at| now.saturating_duration_since(at) < INTEREST_TIME)
    }

    /// Number of requests that may be sent within a time from now.
    pub(crate) fn tokens_within(&self, time: Duration, group: GatewayGroup, now: Instant) -> f64 {
        let sending = time.saturating_sub(self.time_to_settle(group, now));
        self.tokens + self.share(group, now) * sending.as_secs_f64()
    }

    /// The gateways that others are to be told of now, if any: soon after this one wants to send, and
    /// again while it does.
    pub(crate) fn take_news(
        &mut self,
        group: GatewayGroup,
        now: Instant,
    ) -> Option<Vec<WantingGateway>> {
        let is_early =
            self.told_at.is_some_and(|at| now.saturating_duration_since(at) < NEWS_INTERVAL);
        let own_at = self.wanted_at.filter(|_| !is_early && self.is_interested(now))?;
        self.told_at = Some(now);
        let own = WantingGateway { ip: group.own_ip, at: own_at };
        let turn = self.turn(now);
        let others = self.others.iter().map(|(ip, at)| WantingGateway { ip: *ip, at: *at });
        let mut wanting: Vec<WantingGateway> = others.collect();
        wanting.sort_by_key(|other| Reverse(turn_weight(turn, other.ip)));
        wanting.truncate(MAX_SENDERS);
        wanting.push(own);
        Some(wanting)
    }

    /// The other gateways that want to send.
    pub(crate) fn others(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.others.keys().copied()
    }
}

/// The gateways with the highest weights send in a turn.
fn turn_weight(turn: u64, gateway: Ipv4Addr) -> u64 {
    let mut key = [0; 12];
    key[..8].copy_from_slice(&turn.to_be_bytes());
    key[8..].copy_from_slice(&gateway.octets());
    rendezvous_weight(&key, "")
}

#[cfg(test)]
mod tests;
