//! Asks the endpoint for its state and reports it to entries.

use std::{net::Ipv4Addr, rc::Rc};

use peering::{EngineState, Message, StateReport};
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::shared::{Stager, Subscriber, now};

/// Failed questions in a row after which the endpoint counts as silent.
const SILENT_AFTER: u32 = 2;
/// Other entries that a report names, at most.
const NAMED_ENTRIES: usize = 8;

/// The entries that send requests to the endpoint on `me` first. Entries of a zone share its endpoints
/// out, so that each knows best what runs at its own ones.
fn homes(me: Ipv4Addr, endpoints: &[Ipv4Addr], mut entries: Vec<Ipv4Addr>) -> Vec<Ipv4Addr> {
    entries.sort_unstable();
    let Some(place) = endpoints.iter().position(|ip| *ip == me) else { return entries };
    let (endpoints, count) = (endpoints.len(), entries.len());
    let is_home = |entry: usize| match endpoints >= count {
        true => place % count == entry,
        false => entry % endpoints == place,
    };
    let homes = entries.into_iter().enumerate().filter(|(entry, _)| is_home(*entry));
    homes.map(|(_, ip)| ip).collect()
}

impl Stager {
    /// Asks the endpoint again and again.
    pub(crate) async fn report_loop(self: Rc<Stager>) {
        loop {
            match self.ask_report().await {
                Ok(report) => self.reported(report),
                Err(err) => {
                    let failures = self.silent.get() + 1;
                    self.silent.set(failures);
                    if failures == SILENT_AFTER {
                        warn!(self.log, "endpoint lost"; "error" => %err);
                        self.tell.notify_one();
                    }
                }
            }
            sleep(self.settings.report_every).await;
        }
    }

    fn reported(&self, report: catalog::EngineReport) {
        if self.silent.replace(0) >= SILENT_AFTER {
            info!(self.log, "endpoint regained");
        }
        let before = self.report.borrow().clone();
        let restarted =
            before.as_ref().is_some_and(|before| before.started_at_ms != report.started_at_ms);
        let changed = before
            .as_ref()
            .is_none_or(|b| b.held != report.held || b.is_loading != report.is_loading);
        if restarted {
            info!(self.log, "endpoint restarted"; "born" => report.started_at_ms.unwrap_or_default());
        }
        *self.report.borrow_mut() = Some(report);
        if changed {
            self.note_held();
            self.tell.notify_one();
            self.holding.notify_one();
            self.load.notify_one();
        }
    }

    fn note_held(&self) {
        let report = self.report.borrow();
        if let Some(report) = report.as_ref() {
            info!(self.log, "endpoint"; "version" => self.serving().map_or(0, |v| v.0),
                "busy" => report.is_loading, "sequence" => report.accepted_orders);
        }
    }

    /// Reports to entries again and again, and at once when something changed.
    pub(crate) async fn tell_loop(self: Rc<Stager>) {
        loop {
            let changed = timeout(self.settings.near_every, self.tell.notified()).await.is_ok();
            self.tell_entries(changed);
        }
    }

    fn tell_entries(&self, changed: bool) {
        let now = now();
        let life = self.settings.subscription;
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.retain(|_, s| now.saturating_duration_since(s.asked) < life);
        let entries: Vec<Ipv4Addr> = subscribers.keys().copied().collect();
        let near = subscribers.iter().filter(|(_, s)| s.near).map(|(ip, _)| *ip);
        let near: Vec<Ipv4Addr> = near.collect();
        let homes = self.homes(near.clone());
        for (ip, subscriber) in subscribers.iter_mut() {
            if changed || self.is_due(subscriber) {
                subscriber.reported = Some(now);
                self.socket.send(
                    *ip,
                    &Message::State(self.state_report(&entries, &near, homes.contains(ip))),
                );
            }
        }
    }

    fn is_due(&self, subscriber: &Subscriber) -> bool {
        let every = match subscriber.near {
            true => self.settings.near_every,
            false => self.settings.far_every,
        };
        let passed = subscriber.reported.map(|at| now().saturating_duration_since(at));
        // Timers fire a little early or late.
        passed.is_none_or(|passed| passed + self.settings.near_every / 4 >= every)
    }

    /// The entries of the zone, of those that ask for reports, that send requests here first.
    fn homes(&self, near: Vec<Ipv4Addr>) -> Vec<Ipv4Addr> {
        let zone = self.process.borrow().zone.to_string();
        let (endpoints, _) = self.members(&zone);
        homes(self.ip, &endpoints, near)
    }

    fn state_report(&self, entries: &[Ipv4Addr], near: &[Ipv4Addr], home: bool) -> StateReport {
        let report = self.report.borrow();
        let state = match report.as_ref() {
            None => EngineState::Silent,
            Some(_) if self.silent.get() >= SILENT_AFTER => EngineState::Silent,
            Some(report) if report.is_loading || self.loading.get() => EngineState::Loading,
            Some(report) if report.held.is_empty() => EngineState::Empty,
            Some(_) => EngineState::Serving,
        };
        self.number.set(self.number.get() + 1);
        let clip = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
        let start = fastrand::usize(..entries.len().max(1));
        let named = entries.iter().cycle().skip(start).take(entries.len().min(NAMED_ENTRIES));
        StateReport {
            number: self.number.get(),
            run: self.run,
            state,
            version: self.serving().map(|v| v.0),
            named: self.named_now(),
            waiting: report.as_ref().map_or(0, |r| clip(r.waiting)),
            running: report.as_ref().map_or(0, |r| clip(r.running)),
            cache_used: report.as_ref().map_or(0, |r| r.kv_cache_used.min(u32::MAX.into()) as u32),
            pace: report.as_ref().map_or(100, |r| (r.slowdown * 100.0).clamp(1.0, 60_000.0) as u16),
            home,
            near_entries: near.iter().take(NAMED_ENTRIES).copied().collect(),
            entries: named.copied().collect(),
            entry_count: clip(entries.len() as u32),
        }
    }
}

#[cfg(test)]
mod tests;
