//! Has the endpoint load the weights that are staged, when it is its turn.

use std::{rc::Rc, time::Duration};

use base::Digest;
use catalog::WeightsVersion;
use metrics::counter;
use platform::weights::Running;
use slog::{info, warn};
use telemetry::names;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    engine::Ordered,
    shared::{Shape, Stager, now},
    turn::may_load,
};

/// Time between two looks at whose turn it is.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Endpoints up to which there are too few others to go on with what runs at one.
const LEAST_FLEET: usize = 2;
/// Time between two looks at a load under way.
const WATCH_EVERY: Duration = Duration::from_millis(40);

impl Stager {
    /// Loads until the task is dropped.
    pub(crate) async fn load_loop(self: Rc<Stager>) {
        loop {
            // Woken early or not, everything is looked at again.
            let _ = timeout(LOOK_EVERY, self.load.notified()).await;
            let (Some(shape), Some(version)) = (self.shape(), self.due()) else { continue };
            self.load_now(&shape, version).await;
        }
    }

    /// The version to load now.
    fn due(&self) -> Option<WeightsVersion> {
        let report = self.report.borrow();
        let report = report.as_ref().filter(|_| self.silent.get() == 0)?;
        let (version, named, complete, staged_at) = {
            let wanted = self.wanted.borrow();
            let wanted = wanted.as_ref()?;
            (wanted.version, wanted.named, wanted.spread.is_complete(), wanted.staged_at)
        };
        let serving = self.serving();
        if !complete || report.is_loading || serving.is_some_and(|serving| serving >= version) {
            return None;
        }
        let bound = self.process.borrow().bounds.version_switch;
        // Weights that nobody saw named are as old as can be.
        let age = named.map_or(bound, |named| now().saturating_duration_since(named));
        let peers = self.zone_peers(version);
        if serving.is_none() {
            return Some(version);
        }
        let settled = now().saturating_duration_since(staged_at?) >= self.settings.turn.settle;
        let breaks = self.breaks_off();
        let turn = &self.settings.turn;
        let mine = settled && may_load(turn, self.ip, &peers, age, bound, breaks);
        mine.then_some(version)
    }

    /// Whether the endpoint breaks off what runs there when it loads, as others can go on with it.
    fn breaks_off(&self) -> bool {
        let (zone, _) = self.members(&self.process.borrow().zone.to_string());
        let fleet = self.fleet.borrow();
        fleet.resumable
            && fleet.members.len() > LEAST_FLEET
            && catalog::interrupts_on_load(self.ip, zone)
    }

    async fn load_now(self: &Rc<Stager>, shape: &Shape, version: WeightsVersion) {
        self.stage_missing(shape, version).await;
        if !self.check_staged(shape, version).await {
            sleep(self.settings.retry).await;
            return;
        }
        self.loading.set(true);
        self.tell.notify_one();
        self.holding.notify_one();
        // Entries hear of it before the endpoint takes no more requests.
        sleep(self.settings.notice).await;
        self.order(shape, version).await;
        self.loading.set(false);
        self.tell.notify_one();
        self.holding.notify_one();
    }

    /// Reads back what lies at the endpoint and replaces what is not as it should be. Returns whether
    /// all is right now.
    async fn check_staged(&self, shape: &Shape, version: WeightsVersion) -> bool {
        for piece in 0..shape.pieces {
            let Some(digest) = self.digest(version, piece) else { return false };
            let there = match self.staged(&shape.model, piece).await {
                Ok(there) => there,
                Err(err) => {
                    warn!(self.log, "staged piece not read"; "piece" => piece, "error" => %err);
                    return false;
                }
            };
            if there.is_some_and(|body| Digest::of(&body) == digest) {
                continue;
            }
            let Some(body) = self.held_piece(version, piece) else { return false };
            info!(self.log, "staged piece replaced"; "version" => version.0, "piece" => piece);
            if let Err(err) = self.stage(&shape.model, piece, body).await {
                warn!(self.log, "piece not staged"; "piece" => piece, "error" => %err);
                return false;
            }
        }
        true
    }

    fn digest(&self, version: WeightsVersion, piece: u32) -> Option<Digest> {
        let wanted = self.wanted.borrow();
        let wanted = wanted.as_ref().filter(|wanted| wanted.version == version)?;
        wanted.digests.as_ref()?.get(piece as usize).copied()
    }

    async fn order(&self, shape: &Shape, version: WeightsVersion) {
        let report = match self.ask_report().await {
            Ok(report) => report,
            Err(err) => {
                warn!(self.log, "no report before an order"; "error" => %err);
                return;
            }
        };
        if report.is_loading || self.wanted_version() != Some(version) {
            return;
        }
        let running = match self.breaks_off() {
            true => Running::BreakOff,
            false => Running::Finish,
        };
        let result = self.order_load(&shape.model, version, running, report.accepted_orders).await;
        let accepted = if result.is_ok() { "true" } else { "false" };
        counter!(names::ORDERS, "order" => "load", "accepted" => accepted).increment(1);
        match result {
            Ok(outcome) => {
                info!(self.log, "order"; "order" => "load", "version" => version.0,
                    "sequence" => report.accepted_orders, "outcome" => ?outcome,
                    "running" => report.running, "mode" => ?running);
                if outcome == Ordered::Begun {
                    self.await_load(version).await;
                }
            }
            Err(err) => {
                warn!(self.log, "order"; "order" => "load", "version" => version.0,
                    "sequence" => report.accepted_orders, "error" => %err);
                sleep(self.settings.retry).await;
            }
        }
    }

    /// Waits until the endpoint serves the version, or no longer works on the order.
    async fn await_load(&self, version: WeightsVersion) {
        let until = Instant::now() + self.settings.order_patience;
        while Instant::now() < until {
            sleep(WATCH_EVERY).await;
            if let Ok(report) = self.ask_report().await {
                let busy = report.is_loading;
                *self.report.borrow_mut() = Some(report);
                if self.serving() == Some(version) {
                    info!(self.log, "weights loaded"; "version" => version.0);
                    return;
                }
                if !busy {
                    return;
                }
            }
        }
        warn!(self.log, "load has not ended"; "version" => version.0);
    }
}
