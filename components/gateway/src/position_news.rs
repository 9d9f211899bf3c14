//! Notices that other gateways know changes of the store that this one does not learn, and tells
//! others how far this one knows them.

use std::{
    collections::HashMap,
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use platform::store::StorePosition;

/// A position of the store that another gateway knows and this one does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct NewerPosition {
    position: StorePosition,
    gateway: Ipv4Addr,
    heard_at: Instant,
}

/// What gateways tell each other of their positions. A gateway has its own source of changes; if that
/// does not tell it within `patience` what another one knows, it asks that one.
#[derive(Debug)]
pub(crate) struct PositionNews {
    times: NewsTimes,
    own: StorePosition,
    /// When `own` last grew.
    grown_at: Option<Instant>,
    announced_at: Option<Instant>,
    /// The first newer position that was heard of since `own` was the newest one.
    newer: Option<NewerPosition>,
    /// Gateways that did not tell what they announced, with the time until which they are not heard.
    failed: HashMap<Ipv4Addr, Instant>,
}

/// Times of the exchange of positions, derived from the time within which changes must be known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NewsTimes {
    /// Time that the own source of changes gets to tell what another gateway knows.
    pub(crate) patience: Duration,
    /// Minimum interval between two announcements.
    pub(crate) interval: Duration,
    /// Time for which a position is announced again and again, as datagrams may be lost.
    pub(crate) duration: Duration,
    /// Time for which a gateway is not heard that did not tell what it announced. To ask it interrupts
    /// the own source of changes.
    pub(crate) failure_backoff: Duration,
}

impl NewsTimes {
    /// The times for a bound on the knowledge of changes.
    pub(crate) fn for_bound(bound: Duration) -> NewsTimes {
        NewsTimes {
            patience: bound / 4,
            interval: bound / 8,
            duration: bound,
            failure_backoff: bound * 2,
        }
    }
}

impl PositionNews {
    pub(crate) fn new(times: NewsTimes) -> PositionNews {
        PositionNews {
            times,
            own: StorePosition::default(),
            grown_at: None,
            announced_at: None,
            newer: None,
            failed: HashMap::new(),
        }
    }

    /// Records how far this gateway knows the store.
    pub(crate) fn record_own(&mut self, position: StorePosition, now: Instant) {
        if position > self.own {
            self.own = position;
            self.grown_at = Some(now);
        }
        if self.newer.is_some_and(|newer| newer.position <= self.own) {
            self.newer = None;
        }
    }

    /// Records how far another gateway knows the store. Positions of another era are left to the
    /// reader of the store, as changes after a position of an older era are not known.
    pub(crate) fn record_remote(
        &mut self,
        gateway: Ipv4Addr,
        position: StorePosition,
        now: Instant,
    ) {
        self.failed.retain(|_, until| now < *until);
        let is_newer = position.era == self.own.era && position > self.own;
        if is_newer && self.newer.is_none() && !self.failed.contains_key(&gateway) {
            self.newer = Some(NewerPosition { position, gateway, heard_at: now });
        }
    }

    /// Records that a gateway that knows more did not tell the changes. The next announcement of
    /// another one names whom to ask.
    pub(crate) fn record_failure(&mut self, gateway: Ipv4Addr, now: Instant) {
        self.newer = None;
        self.failed.insert(gateway, now + self.times.failure_backoff);
    }

    /// The gateway to ask for changes, and from when on. A large answer last made progress at
    /// `received_at`: while it does, to ask another gateway would throw away what has arrived.
    pub(crate) fn due_request(&self, received_at: Option<Instant>) -> Option<(Ipv4Addr, Instant)> {
        let newer = self.newer?;
        let waiting_since = received_at.map_or(newer.heard_at, |at| at.max(newer.heard_at));
        Some((newer.gateway, waiting_since + self.times.patience))
    }

    /// The position to announce now, if there is one.
    pub(crate) fn take_announcement(&mut self, now: Instant) -> Option<StorePosition> {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        let is_recent = self.grown_at.is_some_and(|at| elapsed(at) < self.times.duration);
        let is_early = self.announced_at.is_some_and(|at| elapsed(at) < self.times.interval);
        if !is_recent || is_early {
            return None;
        }
        self.announced_at = Some(now);
        Some(self.own)
    }
}

#[cfg(test)]
mod tests;
