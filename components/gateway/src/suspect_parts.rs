//! Refuses requests with a part of their prompt that crashes endpoints, and exchanges with the other
//! gateways what was lost and what was answered.

use std::time::{Duration, Instant};

use base::{Digest, ServiceId, rendezvous_weight};
use bytes::Bytes;
use peering::{LostParts, PartAge, PartNews};
use quarantine::{LostRequest, PartKey, PartTracker, PartTrackerSettings};

/// Number of events after which a request counts as answered. An endpoint that crashes as it begins to
/// write may have sent a part of the first ones.
pub(crate) const ANSWERED_EVENTS: u64 = 2;
/// Maximum number of parts by which a request is judged.
const MAX_PARTS: usize = 8;
/// How often each piece of news is sent, as datagrams may be lost.
const SEND_COUNT: u8 = 2;
/// Maximum number of lost requests in one message.
const MAX_LOST_PER_MESSAGE: usize = 8;
/// Maximum number of answered parts in one message.
const MAX_ANSWERED_PER_MESSAGE: usize = 16;
/// Maximum number of pieces of news of one kind that wait to be sent.
const MAX_PENDING: usize = 256;

/// Returns the keys of the parts of a prompt that other requests may share: all but the last.
pub(crate) fn part_keys(service: &ServiceId, parts: &[Bytes]) -> Vec<PartKey> {
    let shared = parts.split_last().map_or(parts, |(_, shared)| shared);
    let mut keys: Vec<PartKey> = Vec::with_capacity(shared.len().min(MAX_PARTS));
    for part in shared.iter().take(MAX_PARTS) {
        let key = PartKey(rendezvous_weight(part, service.as_str()));
        if !keys.contains(&key) {
            keys.push(key);
        }
    }
    keys
}

/// Parts of prompts that crash endpoints, here or at other gateways.
#[derive(Debug)]
pub(crate) struct SuspectParts {
    tracker: PartTracker,
    /// Lost requests to report to the other gateways.
    lost: Pending<LostRequest>,
    /// Parts that were answered although they were suspected, with the times.
    answered: Pending<(PartKey, Instant)>,
}

/// News that wait to be sent, each `SEND_COUNT` times.
#[derive(Debug)]
struct Pending<T>(Vec<(T, u8)>);

impl<T: Clone> Pending<T> {
    fn push(&mut self, news: T) {
        if self.0.len() < MAX_PENDING {
            self.0.push((news, SEND_COUNT));
        }
    }

    /// Takes up to `limit` pieces of news. Those that are to be sent again move to the end.
    fn take(&mut self, limit: usize) -> Vec<T> {
        let count = self.0.len().min(limit);
        let taken: Vec<(T, u8)> = self.0.drain(..count).collect();
        let again = taken.iter().filter(|(_, left)| *left > 1);
        let again: Vec<(T, u8)> = again.map(|(news, left)| (news.clone(), left - 1)).collect();
        self.0.extend(again);
        taken.into_iter().map(|(news, _)| news).collect()
    }
}

impl Default for SuspectParts {
    fn default() -> SuspectParts {
        SuspectParts {
            tracker: PartTracker::new(PartTrackerSettings::default()),
            lost: Pending(Vec::new()),
            answered: Pending(Vec::new()),
        }
    }
}

impl SuspectParts {
    /// Records a request that was lost at an endpoint before it was answered. Returns the part that is
    /// refused from now on, if there is one.
    pub(crate) fn record_loss(
        &mut self,
        fingerprint: &Digest,
        parts: &[PartKey],
        now: Instant,
    ) -> Option<PartKey> {
        if parts.is_empty() {
            return None;
        }
        let lost = LostRequest { request: fingerprint.short(), parts: parts.to_vec(), at: now };
        let refused = self.tracker.record_loss(&lost, now);
        self.lost.push(lost);
        refused
    }

    /// Records that a request was answered, at least its first events.
    pub(crate) fn record_answer(&mut self, parts: &[PartKey], now: Instant) {
        if self.tracker.is_empty() {
            return;
        }
        for part in parts {
            if self.tracker.record_answer(*part, now) {
                self.answered.push((*part, now));
            }
        }
    }

    /// Returns the first part that is refused.
    pub(crate) fn refused_part(&self, parts: &[PartKey]) -> Option<PartKey> {
        parts.iter().find(|part| self.tracker.is_refused(**part)).copied()
    }

    /// Records the news of another gateway. Returns the parts that are refused from now on.
    pub(crate) fn record_news(&mut self, news: &PartNews, now: Instant) -> Vec<PartKey> {
        let at = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into())).unwrap_or(now);
        for answered in &news.answered {
            self.tracker.record_answer(PartKey(answered.part), at(answered.age_ms));
        }
        let mut refused = Vec::new();
        for lost in &news.lost {
            let parts = lost.parts.iter().take(MAX_PARTS).map(|part| PartKey(*part)).collect();
            let lost = LostRequest { request: lost.request, parts, at: at(lost.age_ms) };
            refused.extend(self.tracker.record_loss(&lost, now));
        }
        for told in &news.refused {
            let part = PartKey(told.part);
            if self.tracker.record_remote_refusal(part, at(told.age_ms), now) {
                refused.push(part);
            }
        }
        refused
    }

    /// Takes news for the other gateways; `None` if there are none.
    pub(crate) fn take_news(&mut self, now: Instant) -> Option<PartNews> {
        let lost = self.lost.take(MAX_LOST_PER_MESSAGE);
        let answered = self.answered.take(MAX_ANSWERED_PER_MESSAGE);
        if lost.is_empty() && answered.is_empty() {
            return None;
        }
        let message = |lost: LostRequest| LostParts {
            request: lost.request,
            parts: lost.parts.iter().map(|part| part.0).collect(),
            age_ms: age_ms(lost.at, now),
        };
        let aged =
            |(part, at): (PartKey, Instant)| PartAge { part: part.0, age_ms: age_ms(at, now) };
        Some(PartNews {
            lost: lost.into_iter().map(message).collect(),
            answered: answered.into_iter().map(aged).collect(),
            refused: Vec::new(),
        })
    }

    /// Returns which parts are refused, for a gateway that may not know; `None` if none is.
    pub(crate) fn refusals(&self, now: Instant) -> Option<PartNews> {
        let aged =
            |(part, at): (PartKey, Instant)| PartAge { part: part.0, age_ms: age_ms(at, now) };
        let refused: Vec<PartAge> = self.tracker.refusals_to_tell(now).map(aged).collect();
        (!refused.is_empty()).then(|| PartNews { refused, ..PartNews::default() })
    }

    /// Forgets what has expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.tracker.expire(now);
    }
}

fn age_ms(at: Instant, now: Instant) -> u32 {
    now.saturating_duration_since(at).as_millis() as u32
}

#[cfg(test)]
mod tests;
