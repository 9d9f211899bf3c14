//! Orders the endpoint to load the staged weights when the load schedule permits.

use std::{rc::Rc, time::Duration};

use catalog::WeightsVersion;
use metrics::counter;
use platform::weights::{RunningRequests, load_order};
use slog::{info, warn};
use telemetry::names;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    engine::{EngineError, LoadOrderOutcome},
    fleet_view::WeightsLayout,
    load_schedule::{is_urgent, may_load},
    open_order::{OrderEnd, Weights},
    shared::{Download, Stager, now},
    staged_check::StagedCheck,
};

/// Maximum time between checks whether to load, while new weights wait for it.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time between checks while no new weights are here; their arrival wakes the task.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Size up to which a fleet has too few other endpoints to resume interrupted requests.
const MAX_FLEET_WITHOUT_HANDOVER: usize = 2;
/// Time between checks of a load in progress.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(40);

impl Stager {
    /// Loads new versions, and uploads pieces again that could not be staged, until the task is dropped.
    pub(crate) async fn load_loop(self: Rc<Stager>) {
        loop {
            // Whether notified or timed out, everything is checked again.
            let pending = self.has_pending_load();
            let interval = if pending { CHECK_INTERVAL } else { IDLE_CHECK_INTERVAL };
            let _ = timeout(interval, self.load_wakeup.notified()).await;
            let Some(layout) = self.weights_layout() else { continue };
            if let Some(weights) = self.overtaken_order() {
                self.settle_order(&layout, &weights).await;
            } else if let Some(version) = self.due_version() {
                self.load_version(&layout, version).await;
            } else if let Some(version) = self.unstaged_version() {
                self.stage_missing(&layout, version).await;
                sleep(self.settings.retry_delay).await;
            }
        }
    }

    /// The weights of an order that may still be accepted though a newer version is here.
    fn overtaken_order(&self) -> Option<Weights> {
        let orders = self.open_orders.borrow();
        let weights = &orders.current()?.weights;
        (Some(weights.version) != self.download_version()).then(|| weights.clone())
    }

    /// Finds out whether an order without an answer was accepted. If it was not, it is sent again: of
    /// several orders that name the same number the endpoint accepts one, and what is staged must not
    /// change before.
    async fn settle_order(self: &Rc<Stager>, layout: &WeightsLayout, weights: &Weights) {
        let Ok(report) = self.get_report().await else { return };
        if self.close_order(report.accepted_orders) {
            self.stage_held(layout).await;
        } else if !report.is_loading {
            self.load_weights(layout, weights).await;
        }
    }

    /// Closes an order that the endpoint cannot accept any more, by the number of orders that it has
    /// accepted. Returns whether there was one.
    fn close_order(&self, accepted_orders: u64) -> bool {
        let is_over = self.open_orders.borrow_mut().record_sequence(accepted_orders);
        if is_over {
            info!(self.log, "order without an answer settled"; "accepted" => accepted_orders);
        }
        is_over
    }

    /// Uploads the pieces of the newest version that an open order has held back.
    async fn stage_held(&self, layout: &WeightsLayout) {
        if let Some(version) = self.download_version() {
            self.stage_missing(layout, version).await;
        }
    }

    /// The version to load now, if any.
    fn due_version(&self) -> Option<WeightsVersion> {
        let report = self.report.borrow();
        let report = report.as_ref().filter(|_| self.failed_polls.get() == 0)?;
        if self.remaining_backoff(self.endpoint.addr).is_some() {
            return None;
        }
        let (version, named_at, complete, staged_at) = {
            let download = self.download.borrow();
            let download = download.as_ref()?;
            (
                download.version,
                download.named_at,
                download.scheduler.is_complete(),
                download.staged_at,
            )
        };
        let serving = self.serving_version();
        if !complete || report.is_loading || serving.is_some_and(|serving| serving >= version) {
            return None;
        }
        let time_limit = self.process.borrow().bounds.version_switch;
        let Some(serving) = serving else { return Some(version) };
        // Weights whose naming nobody saw are taken to be as old as the time limit.
        let due_since = named_at.and_then(|_| self.named.borrow().first_after(serving));
        let age = due_since.map_or(time_limit, |at| now().saturating_duration_since(at));
        let peers = self.zone_peers(version);
        let settings = &self.settings.load;
        let staged_for = now().saturating_duration_since(staged_at?);
        let settled = staged_for >= settings.settle_delay || is_urgent(settings, age, time_limit);
        let interrupts = self.interrupts_requests();
        let may_load_now =
            settled && may_load(settings, self.ip, &peers, age, time_limit, interrupts);
        may_load_now.then_some(version)
    }

    /// Whether a load interrupts the requests in progress, as other endpoints can resume them.
    fn interrupts_requests(&self) -> bool {
        let fleet = self.fleet();
        fleet.resumable
            && fleet.member_count > MAX_FLEET_WITHOUT_HANDOVER
            && catalog::interrupts_on_load(self.ip, fleet.zone_members.iter().copied())
    }

    async fn load_version(self: &Rc<Stager>, layout: &WeightsLayout, version: WeightsVersion) {
        self.stage_missing(layout, version).await;
        let weights = self.download.borrow().as_ref().and_then(Download::weights);
        if let Some(weights) = weights.filter(|weights| weights.version == version) {
            self.load_weights(layout, &weights).await;
        }
    }

    /// Checks the staged pieces and orders the endpoint to load them.
    async fn load_weights(self: &Rc<Stager>, layout: &WeightsLayout, weights: &Weights) {
        let Some(check) = self.check_staged(layout, weights).await else {
            sleep(self.settings.retry_delay).await;
            return;
        };
        self.loading.set(true);
        self.report_wakeup.notify_one();
        self.inventory_wakeup.notify_one();
        // Gateways learn of the load before the endpoint stops taking requests.
        sleep(self.settings.load_notice).await;
        self.order_load(layout, weights, check).await;
        self.loading.set(false);
        self.report_wakeup.notify_one();
        self.inventory_wakeup.notify_one();
        // Pieces of a newer version may have arrived meanwhile.
        if self.may_order_newest() {
            self.stage_held(layout).await;
        }
    }

    /// Whether a version may be ordered: that of the open order, else the newest one.
    pub(crate) fn may_order(&self, version: WeightsVersion) -> bool {
        let open = self.open_orders.borrow().current().map(|order| order.weights.version);
        open.or(self.download_version()) == Some(version)
    }

    /// Orders the endpoint to load the staged pieces, unless their check is too old.
    async fn order_load(&self, layout: &WeightsLayout, weights: &Weights, check: StagedCheck) {
        let report = match self.get_report().await {
            Ok(report) => report,
            Err(err) => {
                warn!(self.log, "no endpoint report before the load order"; "error" => %err);
                return;
            }
        };
        let (version, sequence) = (weights.version, report.accepted_orders);
        if self.stopping.get()
            || report.is_loading
            || !self.may_order(version)
            || self.close_order(sequence)
        {
            return;
        }
        let running = match self.interrupts_requests() {
            true => RunningRequests::BreakOff,
            false => RunningRequests::Finish,
        };
        // From here on the staged pieces stay as they are.
        self.open_orders.borrow_mut().open(weights.clone(), sequence);
        let body = load_order(&layout.model, version, running, sequence).into();
        self.ordering.set(true);
        let result = self.send_load_order(body, check).await;
        self.ordering.set(false);
        self.open_orders.borrow_mut().record_end(order_end(&result));
        let accepted = if result.is_ok() { "true" } else { "false" };
        counter!(names::ORDERS, "order" => "load", "accepted" => accepted).increment(1);
        match result {
            Ok(outcome) => {
                info!(self.log, "order"; "order" => "load", "version" => version.0,
                    "sequence" => sequence, "outcome" => ?outcome,
                    "running" => report.running, "mode" => ?running);
                if outcome == LoadOrderOutcome::Begun {
                    self.await_load(version).await;
                }
            }
            Err(err) => {
                warn!(self.log, "order"; "order" => "load", "version" => version.0,
                    "sequence" => sequence, "error" => %err);
                sleep(self.settings.retry_delay).await;
            }
        }
    }

    /// Whether no order holds back the newest version.
    fn may_order_newest(&self) -> bool {
        self.download_version().is_some_and(|version| self.may_order(version))
    }

    /// Waits until the endpoint serves the version or is no longer busy.
    async fn await_load(&self, version: WeightsVersion) {
        let deadline = Instant::now() + self.settings.load_timeout;
        while Instant::now() < deadline {
            sleep(LOAD_POLL_INTERVAL).await;
            if let Ok(report) = self.get_report().await {
                let busy = report.is_loading;
                *self.report.borrow_mut() = Some(report);
                if self.serving_version() == Some(version) {
                    info!(self.log, "weights loaded"; "version" => version.0);
                    return;
                }
                if !busy {
                    return;
                }
            }
        }
        warn!(self.log, "load has not finished in time"; "version" => version.0);
    }
}

/// Returns what an answer, or its absence, says about an order.
fn order_end(result: &Result<LoadOrderOutcome, EngineError>) -> OrderEnd {
    match result {
        Ok(LoadOrderOutcome::Begun | LoadOrderOutcome::Done) => OrderEnd::Accepted,
        Err(
            EngineError::Status(400..=499)
            | EngineError::BackingOff(_)
            | EngineError::CheckTooOld(_),
        ) => OrderEnd::NotAccepted,
        Err(EngineError::Transport(err)) if err.is_unsent() => OrderEnd::NotAccepted,
        Err(EngineError::Transport(_) | EngineError::Status(_) | EngineError::Decode(_)) => {
            OrderEnd::Unanswered
        }
    }
}
