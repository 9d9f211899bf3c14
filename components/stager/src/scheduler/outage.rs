//! How a zone behaves while the source outside it has nothing to give: the origin does not respond,
//! or the origin's zone holds no further piece.
//!
//! Members that take over from each other then gain nothing, but send the origin a request for the
//! same piece each, and its link carries several copies once it is back.

use std::time::{Duration, Instant};

use super::{FetchScheduler, FetchSettings};

impl FetchScheduler {
    /// Whether the source outside the zone had nothing to give, with no progress in the zone since.
    pub(super) fn is_outage(&self, now: Instant) -> bool {
        let last_failed = self.origin_failed_at.max(self.origin_zone_lacked_at);
        last_failed.is_some_and(|at| at >= self.last_progress)
            && self.time_without_progress(now) < self.settings.max_outage
    }

    /// Maximum number of concurrent fetches from the origin.
    pub(super) fn max_origin_fetches(&self, now: Instant) -> usize {
        let FetchSettings { max_origin_fetches, max_zone_origin_fetches, max_owners, .. } =
            self.settings;
        let owners = self.zone_members.len().min(max_owners).max(1);
        let usual = (max_zone_origin_fetches / owners).clamp(1, max_origin_fetches.max(1));
        let Some(failed_at) = self.origin_failed_at else { return usual };
        let responds = self.last_progress > failed_at;
        let delay = match responds {
            true => self.settings.origin_probe_delay,
            false => self.origin_delay(now),
        };
        match now.saturating_duration_since(failed_at) >= delay {
            true if responds => usual,
            true => 1,
            false => 0,
        }
    }

    /// Whether this member, which has `rank` in the order of addresses of its zone, requests the list of
    /// digests from the origin now, if no neighbour has it.
    pub fn may_fetch_digests(&self, rank: usize, now: Instant) -> bool {
        let may_retry =
            |failed_at| now.saturating_duration_since(failed_at) >= self.origin_delay(now);
        self.elapsed(now) >= self.settings.digest_delay(rank)
            && self.origin_failed_at.is_none_or(may_retry)
    }

    /// Records whether the origin sent the list of digests.
    pub fn record_list_answer(&mut self, is_sent: bool, now: Instant) {
        self.origin_failed_at = (!is_sent).then_some(now);
    }

    /// Time after a failure of the origin at which this member asks it again.
    fn origin_delay(&self, now: Instant) -> Duration {
        match self.is_origin_prober(now) {
            true => self.settings.origin_probe_delay,
            false => self.settings.origin_retry_delay,
        }
    }

    /// Whether this member is among those that ask an origin which does not respond, so that the
    /// others need not: the first ones of the zone that are alive.
    pub(super) fn is_origin_prober(&self, now: Instant) -> bool {
        if self.origin_failed_at.is_none() {
            return false;
        }
        let before = self.zone_members.iter().take_while(|ip| **ip != self.own_ip);
        before.filter(|ip| self.is_alive(**ip, now)).count() < self.settings.max_origin_probers
    }

    /// Whether no member of the origin's zone responds. One that responds without a piece is alive:
    /// it brings the piece once the origin gives it.
    pub(super) fn is_cut_from_origin_zone(&self, now: Instant) -> bool {
        let FetchSettings { origin_fallback_delay, inventory_timeout, max_outage, .. } =
            self.settings;
        let stalled = self.time_without_progress(now);
        let responded = self
            .origin_zone_lacked_at
            .is_some_and(|at| now.saturating_duration_since(at) < inventory_timeout);
        stalled >= max_outage || stalled >= origin_fallback_delay && !responded
    }
}
