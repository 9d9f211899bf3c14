//! How often gateways get state reports. However many gateways ask, the sum of the rates is bounded.

use std::time::Duration;

use base::Rate;

/// Rates of the state reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportRates {
    /// Time between reports to a gateway that prefers the endpoint, and the minimum to any other.
    pub preferred_interval: Duration,
    /// Reports per second to all other gateways of the zone together.
    pub same_zone_rate: Rate,
    /// Minimum time between reports to a gateway of another zone.
    pub other_zone_interval: Duration,
    /// Reports per second to all gateways of other zones together.
    pub other_zone_rate: Rate,
    /// Maximum time between reports to one gateway, which takes precedence over the rates: gateways
    /// ignore old reports.
    pub max_interval: Duration,
}

impl Default for ReportRates {
    fn default() -> ReportRates {
        ReportRates {
            preferred_interval: Duration::from_millis(100),
            same_zone_rate: Rate(25.0),
            other_zone_interval: Duration::from_millis(600),
            other_zone_rate: Rate(12.0),
            max_interval: Duration::from_millis(700),
        }
    }
}

/// The relation of a gateway to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// A gateway of the zone that prefers the endpoint.
    Preferring,
    /// Another gateway of the zone.
    SameZone,
    /// A gateway of another zone.
    OtherZone,
}

impl ReportRates {
    /// Time between two reports to one of `count` gateways of the same kind.
    pub fn interval(&self, audience: Audience, count: usize) -> Duration {
        let (min, rate) = match audience {
            Audience::Preferring => return self.preferred_interval,
            Audience::SameZone => (self.preferred_interval, self.same_zone_rate),
            Audience::OtherZone => (self.other_zone_interval, self.other_zone_rate),
        };
        let share = Duration::from_secs_f64(count as f64 / rate.0.max(f64::MIN_POSITIVE));
        share.min(self.max_interval).max(min)
    }
}

#[cfg(test)]
mod tests;
