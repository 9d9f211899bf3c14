//! Queries the endpoint's state and reports it to gateways.

use std::{net::Ipv4Addr, rc::Rc, time::Duration};

use peering::{EngineState, Message, StateReport};
use slog::{info, warn};
use tokio::time::sleep;

use crate::{
    Audience,
    engine::EngineError,
    shared::{Stager, Subscriber, now},
};

/// Consecutive failed queries after which the endpoint counts as silent.
const MAX_FAILED_POLLS: u32 = 2;
/// Time for which the last state counts while the endpoint asked to be sent nothing.
const MAX_STATE_AGE: Duration = Duration::from_secs(3);
/// Maximum number of gateways that a report lists.
const MAX_REPORTED_GATEWAYS: usize = 8;

/// The gateways that prefer the endpoint on `own_ip`. The gateways of a zone divide its endpoints
/// among themselves, so that each has the most accurate view of the load on its own ones.
fn preferring_gateways(
    own_ip: Ipv4Addr,
    endpoints: &[Ipv4Addr],
    mut gateways: Vec<Ipv4Addr>,
) -> Vec<Ipv4Addr> {
    gateways.sort_unstable();
    let Some(index) = endpoints.iter().position(|ip| *ip == own_ip) else { return gateways };
    let (endpoints, count) = (endpoints.len(), gateways.len());
    let prefers = |gateway: usize| match endpoints >= count {
        true => index % count == gateway,
        false => gateway % endpoints == index,
    };
    let preferring = gateways.into_iter().enumerate().filter(|(gateway, _)| prefers(*gateway));
    preferring.map(|(_, ip)| ip).collect()
}

impl Stager {
    /// Queries the endpoint's state periodically and sends the reports that are due.
    pub(crate) async fn poll_loop(self: Rc<Stager>) {
        loop {
            match self.get_report().await {
                Ok(report) => self.handle_report(report),
                Err(EngineError::BackingOff(_)) if self.has_recent_report() => {}
                Err(err) => {
                    let failures = self.failed_polls.get() + 1;
                    self.failed_polls.set(failures);
                    if failures == MAX_FAILED_POLLS {
                        warn!(self.log, "endpoint lost"; "error" => %err);
                        self.report_wakeup.notify_one();
                    }
                }
            }
            self.send_reports(false);
            sleep(self.settings.poll_interval).await;
        }
    }

    fn has_recent_report(&self) -> bool {
        let age = self.reported_at.get().map(|at| now().saturating_duration_since(at));
        age.is_some_and(|age| age < MAX_STATE_AGE)
    }

    fn handle_report(&self, report: catalog::EngineReport) {
        self.reported_at.set(Some(now()));
        if self.failed_polls.replace(0) >= MAX_FAILED_POLLS {
            info!(self.log, "endpoint answers again");
            self.load_wakeup.notify_one();
        }
        let before = self.report.borrow().clone();
        let restarted =
            before.as_ref().is_some_and(|before| before.started_at_ms != report.started_at_ms);
        let changed = before
            .as_ref()
            .is_none_or(|b| b.held != report.held || b.is_loading != report.is_loading);
        if restarted {
            info!(self.log, "endpoint restarted";
                "born" => report.started_at_ms.unwrap_or_default());
        }
        *self.report.borrow_mut() = Some(report);
        if changed {
            self.log_endpoint_state();
            self.report_wakeup.notify_one();
            self.inventory_wakeup.notify_one();
            self.load_wakeup.notify_one();
        }
    }

    fn log_endpoint_state(&self) {
        let report = self.report.borrow();
        if let Some(report) = report.as_ref() {
            info!(self.log, "endpoint"; "version" => self.serving_version().map_or(0, |v| v.0),
                "busy" => report.is_loading, "sequence" => report.accepted_orders);
        }
    }

    /// Reports to all gateways at once after a change.
    pub(crate) async fn report_loop(self: Rc<Stager>) {
        loop {
            self.report_wakeup.notified().await;
            self.send_reports(true);
        }
    }

    /// Sends reports to the gateways to which one is due, or, if `changed`, to all of them.
    fn send_reports(&self, changed: bool) {
        let now = now();
        let max_age = self.settings.subscription_timeout;
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.retain(|_, s| now.saturating_duration_since(s.subscribed_at) < max_age);
        let gateways: Vec<Ipv4Addr> = subscribers.keys().copied().collect();
        let in_own_zone = subscribers.iter().filter(|(_, s)| s.same_zone).map(|(ip, _)| *ip);
        let in_own_zone: Vec<Ipv4Addr> = in_own_zone.collect();
        let displaced: Vec<Ipv4Addr> =
            subscribers.iter().filter(|(_, s)| s.displaced).map(|(ip, _)| *ip).collect();
        let near_count = in_own_zone.len() + displaced.len();
        let members = &self.fleet().zone_members;
        let mut preferring = preferring_gateways(self.ip, members, in_own_zone.clone());
        preferring.extend(preferring_gateways(self.ip, members, displaced));
        let other_zone_count = gateways.len() - near_count;
        for (ip, subscriber) in subscribers.iter_mut() {
            let (audience, count) = match (subscriber.is_near(), preferring.contains(ip)) {
                (true, true) => (Audience::Preferring, preferring.len()),
                (true, false) => (Audience::SameZone, near_count - preferring.len()),
                (false, _) => (Audience::OtherZone, other_zone_count),
            };
            let interval = self.settings.report_rates.interval(audience, count);
            if !changed && !self.is_report_due(subscriber, interval) {
                continue;
            }
            subscriber.last_report_at = Some(now);
            let home = audience == Audience::Preferring;
            let report = self.state_report(&gateways, &in_own_zone, home);
            self.socket.send(*ip, &Message::State(report));
        }
    }

    fn is_report_due(&self, subscriber: &Subscriber, interval: Duration) -> bool {
        let elapsed = subscriber.last_report_at.map(|at| now().saturating_duration_since(at));
        // Reports are sent when the endpoint's state was queried; half a period earlier or later
        // keeps the mean interval.
        elapsed.is_none_or(|elapsed| elapsed + self.settings.poll_interval / 2 >= interval)
    }

    fn state_report(
        &self,
        gateways: &[Ipv4Addr],
        in_own_zone: &[Ipv4Addr],
        home: bool,
    ) -> StateReport {
        let report = self.report.borrow();
        let state = match report.as_ref() {
            None => EngineState::Silent,
            Some(_) if self.failed_polls.get() >= MAX_FAILED_POLLS => EngineState::Silent,
            Some(report) if report.is_loading || self.loading.get() => EngineState::Loading,
            Some(report) if report.held.is_empty() => EngineState::Empty,
            Some(_) => EngineState::Serving,
        };
        self.report_number.set(self.report_number.get() + 1);
        let clip = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
        let start = fastrand::usize(..gateways.len().max(1));
        let listed =
            gateways.iter().cycle().skip(start).take(gateways.len().min(MAX_REPORTED_GATEWAYS));
        StateReport {
            number: self.report_number.get(),
            run: self.run_id,
            state,
            version: self.serving_version().map(|v| v.0),
            named: self.newest_named(),
            waiting: report.as_ref().map_or(0, |r| clip(r.waiting)),
            running: report.as_ref().map_or(0, |r| clip(r.running)),
            cache_used: StateReport::encode_cache_share(
                report.as_ref().and_then(|report| report.cache_share),
            ),
            pace: report.as_ref().map_or(100, |r| (r.slowdown * 100.0).clamp(1.0, 60_000.0) as u16),
            home,
            near_entries: in_own_zone.iter().take(MAX_REPORTED_GATEWAYS).copied().collect(),
            entries: listed.copied().collect(),
            entry_count: clip(gateways.len() as u32),
        }
    }
}

#[cfg(test)]
mod tests;
