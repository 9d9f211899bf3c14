//! Logs and metrics of the requests that leave the availability zone.

use std::collections::HashMap;

use base::ServiceId;
use dispatch::EndpointKey;
use metrics::{counter, gauge};
use slog::info;
use telemetry::names;

use crate::state::{Gateway, now};

/// Share from which it is logged that requests leave although their zone expects to serve them.
const LOGGED_SHARE: f64 = 0.2;

impl Gateway {
    /// Counts a request that is sent to an endpoint of another zone.
    pub(crate) fn count_zone_exit(&self, endpoint: EndpointKey) {
        let dispatcher = self.dispatcher.borrow();
        let Some(zone) = dispatcher.zone_of(endpoint) else { return };
        if *zone != self.process.borrow().zone {
            counter!(names::ZONE_EXITS, "zone" => zone.to_string()).increment(1);
        }
    }

    /// Publishes what is known of the ways to other zones, and logs when requests begin to leave and
    /// when they are back.
    pub(crate) fn report_ways(&self) {
        let ways = self.dispatcher.borrow().ways(now());
        let mut shares: HashMap<ServiceId, f64> = HashMap::new();
        for way in ways {
            let (service, zone) = (way.service.to_string(), way.zone.to_string());
            gauge!(names::ZONE_EXTRA_LATENCY, "service" => service.clone(), "zone" => zone)
                .set(way.extra_latency.as_secs_f64());
            gauge!(names::ZONE_EXIT_SHARE, "service" => service).set(way.share);
            shares.insert(way.service, way.share);
        }
        let mut leaving = self.leaving_services.borrow_mut();
        for (service, share) in shares {
            if share >= LOGGED_SHARE && leaving.insert(service.clone()) {
                info!(self.log, "requests leave the zone, as it misses objectives";
                    "service" => %service, "share" => share);
            } else if share == 0.0 && leaving.remove(&service) {
                info!(self.log, "requests stay in the zone again"; "service" => %service);
            }
        }
    }
}
