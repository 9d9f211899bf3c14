//! Exchanges with other gateways the limits that endpoints name, and who wants to send to them.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use base::Rate;
use dispatch::{LimitNews, WantingGateway};
use peering::{Message, NamedLimit, Wanting};
use slog::{info, warn};

use crate::state::{Gateway, now};

/// Maximum number of limits in one message.
const MAX_LIMITS_PER_MESSAGE: usize = 16;
/// Maximum number of gateways that are told because they want to send as well.
const MAX_TOLD_GATEWAYS: usize = 8;
/// Requests per second in the unit of messages.
const MILLI: f64 = 1000.0;

fn to_message(news: &LimitNews, now: Instant) -> NamedLimit {
    let age_ms = |at: Instant| {
        u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
    };
    let to_wanting =
        |wanting: &WantingGateway| Wanting { gateway: wanting.ip, age_ms: age_ms(wanting.at) };
    NamedLimit {
        endpoint: news.endpoint.to_string(),
        limit: news.limit.map(|limit| (limit.0 * MILLI).round() as u32),
        seen_age_ms: age_ms(news.seen_at),
        named_age_ms: age_ms(news.named_at),
        wanting: news.wanting.iter().map(to_wanting).collect(),
    }
}

/// `None` if the id of the endpoint is not valid.
fn from_message(named: &NamedLimit, now: Instant) -> Option<LimitNews> {
    let at = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into())).unwrap_or(now);
    let from_wanting =
        |wanting: &Wanting| WantingGateway { ip: wanting.gateway, at: at(wanting.age_ms) };
    Some(LimitNews {
        endpoint: named.endpoint.parse().ok()?,
        limit: named.limit.map(|limit| Rate(f64::from(limit) / MILLI)),
        seen_at: at(named.seen_age_ms),
        named_at: at(named.named_age_ms),
        wanting: named.wanting.iter().map(from_wanting).collect(),
    })
}

impl Gateway {
    /// Tells other gateways of limits that endpoints name: those that want to send to them too, and a
    /// few others.
    pub(crate) fn tell_limits(&self) {
        let now = now();
        let (news, wanting) = self.dispatcher.borrow_mut().take_limit_news(now);
        for news in news.chunks(MAX_LIMITS_PER_MESSAGE) {
            let limits = news.iter().map(|news| to_message(news, now)).collect();
            let message = Message::Limits(limits);
            for ip in fastrand::choose_multiple(wanting.iter(), MAX_TOLD_GATEWAYS) {
                self.socket.send(*ip, &message);
            }
            self.send_to_some(&message);
        }
    }

    /// Applies what another gateway tells of limits.
    pub(crate) fn handle_limits(&self, from: Ipv4Addr, limits: &[NamedLimit]) {
        let now = now();
        for named in limits {
            let Some(news) = from_message(named, now) else {
                warn!(self.log, "news of a limit are not readable"; "entry" => %from,
                    "endpoint" => &named.endpoint);
                continue;
            };
            if self.dispatcher.borrow_mut().record_limit_news(&news, now) {
                info!(self.log, "endpoint names a limit"; "endpoint" => %news.endpoint,
                    "limit" => news.limit.map(|limit| limit.to_string()), "entry" => %from);
            }
        }
    }
}

#[cfg(test)]
mod tests;
