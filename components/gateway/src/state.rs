//! State shared by the tasks of the gateway.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::Ipv4Addr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{ServiceId, Zone};
use catalog::{Config, Homes, ProcessSettings};
use directory::StoreProgress;
use dispatch::{
    Decision, Dispatcher, EndpointKey, EndpointOutcome, InFlightKey, PendingRequest, Refusal,
    RequestKey,
};
use lifecycle::{BootTime, Pauses};
use metrics::counter;
use peering::PeerSocket;
use slog::{Logger, info};
use telemetry::{MetricsHandle, names};
use tokio::{
    sync::{Notify, oneshot},
    time::{sleep, timeout},
};
use transport::{ConnectionPool, ReceiveProgress};

use crate::{
    change_source::SourceTimes,
    peers::MAX_NEWS_GAP,
    position_news::{NewsTimes, PositionNews},
    presumed_weights::PresumedWeights,
    refused::RecentRefusals,
    request::RequestContext,
    response_memory::ResponseMemory,
    settings::GatewaySettings,
    shutdown::Shutdown,
    suspect_parts::SuspectParts,
    suspects::SuspectRequests,
    weights::NamedWeights,
};

/// What the subset of followed engines was chosen from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SubsetInputs {
    pub(crate) fleet_revision: u64,
    /// Number of gateways of the zone.
    pub(crate) gateways: usize,
}

/// State of the gateway. All tasks run on one thread and hold no `RefCell` borrow across an await.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) process: RefCell<ProcessSettings>,
    pub(crate) log: Logger,
    pub(crate) metrics: MetricsHandle,
    pub(crate) config: RefCell<Option<Arc<Config>>>,
    pub(crate) dispatcher: RefCell<Dispatcher>,
    /// The queued requests.
    pending_results: RefCell<HashMap<RequestKey, QueuedRequest>>,
    pub(crate) pool: ConnectionPool,
    pub(crate) socket: PeerSocket,
    pub(crate) suspects: RefCell<SuspectRequests>,
    pub(crate) suspect_parts: RefCell<SuspectParts>,
    /// Wakes the requests in progress when another part of prompts is refused.
    pub(crate) part_refused: Notify,
    pub(crate) named_weights: RefCell<NamedWeights>,
    pub(crate) presumed_weights: RefCell<PresumedWeights>,
    /// Wakes the requests that wait at endpoints when other weights are required.
    pub(crate) weights_changed: Notify,
    /// Other gateways as named by stagers, with the time when they were last named.
    pub(crate) other_gateways: RefCell<HashMap<Ipv4Addr, Instant>>,
    /// Number of gateways that asked one stager for reports, by the last report; `None` before the first
    /// one.
    pub(crate) gateway_count: Cell<Option<u32>>,
    /// When a stager first told of other gateways.
    pub(crate) gateways_told_at: Cell<Option<Instant>>,
    /// Incremented when the fleet that stagers request has changed.
    pub(crate) fleet_revision: Cell<u64>,
    /// Digests of the fleets for the stagers of each service and zone, with the `fleet_revision`
    /// they belong to.
    pub(crate) fleet_digests: RefCell<HashMap<(ServiceId, Zone), (u64, u64)>>,
    /// `None` until the subset was first chosen.
    pub(crate) subset_inputs: Cell<Option<SubsetInputs>>,
    /// Wakes the task that decides on queued requests.
    poll_notify: Notify,
    /// Wakes the task that asks stagers for reports.
    pub(crate) subscribe_notify: Notify,
    /// Whether the store was read completely.
    pub(crate) endpoints_listed: Cell<bool>,
    /// How far the store was followed, and its last changes for other gateways.
    pub(crate) store_progress: RefCell<StoreProgress>,
    /// Whether the last read of the store failed.
    pub(crate) store_lost: Cell<bool>,
    /// Wakes other gateways' requests for changes.
    pub(crate) store_changed: Notify,
    /// What gateways tell each other of their positions.
    pub(crate) position_news: RefCell<PositionNews>,
    /// Wakes the follower of the store when another gateway knows more.
    pub(crate) newer_position: Notify,
    /// When a large answer with changes last made progress.
    pub(crate) receiving: ReceiveProgress,
    /// Observed by `news_loop`, and before what it decides on.
    pub(crate) pauses: RefCell<Pauses>,
    /// Set once the process received SIGTERM.
    pub(crate) stopping: Cell<Option<Shutdown>>,
    /// Wakes the requests in progress at the next stage of the shutdown.
    pub(crate) stage_reached: Notify,
    /// Number of requests in progress, streams included.
    pub(crate) in_flight: Cell<usize>,
    /// Memory reserved for request bodies, in bytes.
    pub(crate) body_bytes: Cell<usize>,
    pub(crate) response_memory: Arc<ResponseMemory>,
    pub(crate) refusals: RefCell<RecentRefusals>,
    /// Other gateways of the zone as named by stagers, with the time when they were last named.
    pub(crate) zone_gateways: RefCell<HashMap<Ipv4Addr, Instant>>,
}

/// A request that waits for an endpoint.
struct QueuedRequest {
    context: Rc<RequestContext>,
    /// Takes the result.
    sender: oneshot::Sender<AcquireResult>,
}

/// Identifies a request in flight at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct InFlight {
    pub(crate) endpoint: EndpointKey,
    pub(crate) key: InFlightKey,
}

/// Request that was assigned to an endpoint. Reports its end to the dispatcher on drop.
pub(crate) struct Assignment {
    gateway: Rc<Gateway>,
    pub(crate) in_flight: InFlight,
    /// When the request was assigned, which is before it is sent.
    pub(crate) sent_at: Instant,
    /// Predicted time until the first event.
    pub(crate) expected: Duration,
    end: EndpointOutcome,
}

/// The endpoint that a request is assigned to, or why it is refused and the time after which the
/// caller may retry.
pub(crate) type AcquireResult = Result<Assignment, (Refusal, Duration)>;

impl Assignment {
    /// Reports that the first event has arrived.
    pub(crate) fn mark_started(&self) {
        self.gateway.dispatcher.borrow_mut().record_first_event(
            self.in_flight.endpoint,
            self.in_flight.key,
            now(),
        );
    }

    /// Sets the end that is reported on drop.
    pub(crate) fn set_end(&mut self, end: EndpointOutcome) {
        self.end = end;
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        let now = now();
        self.gateway.dispatcher.borrow_mut().record_result(
            self.in_flight.endpoint,
            self.in_flight.key,
            self.end,
            now,
        );
        self.gateway.poll_soon();
    }
}

/// Returns the time of the runtime's clock, which tests can pause.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Cancels a queued request on drop, unless it was decided.
struct PendingGuard<'a> {
    gateway: &'a Gateway,
    key: RequestKey,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        if self.gateway.pending_results.borrow_mut().remove(&self.key).is_some() {
            self.gateway.dispatcher.borrow_mut().cancel(self.key);
        }
    }
}

impl Gateway {
    /// Creates the state before anything was read from the store.
    pub(crate) fn new(
        settings: GatewaySettings,
        process: ProcessSettings,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        socket: PeerSocket,
        log: Logger,
        metrics: MetricsHandle,
    ) -> Gateway {
        let bound = process.bounds.change_bound();
        Gateway {
            settings,
            log,
            metrics,
            config: RefCell::default(),
            dispatcher: RefCell::new(dispatcher),
            pending_results: RefCell::default(),
            pool,
            socket,
            suspects: RefCell::default(),
            suspect_parts: RefCell::default(),
            part_refused: Notify::new(),
            named_weights: RefCell::new(NamedWeights::new(
                process.bounds,
                settings.version_margin_fraction,
                now(),
            )),
            presumed_weights: RefCell::default(),
            weights_changed: Notify::new(),
            process: RefCell::new(process),
            other_gateways: RefCell::default(),
            gateway_count: Cell::default(),
            gateways_told_at: Cell::default(),
            fleet_revision: Cell::new(1),
            fleet_digests: RefCell::default(),
            subset_inputs: Cell::default(),
            poll_notify: Notify::new(),
            subscribe_notify: Notify::new(),
            endpoints_listed: Cell::new(false),
            store_progress: RefCell::default(),
            store_lost: Cell::new(false),
            store_changed: Notify::new(),
            position_news: RefCell::new(PositionNews::new(NewsTimes::for_bound(bound))),
            newer_position: Notify::new(),
            receiving: ReceiveProgress::default(),
            pauses: RefCell::new(Pauses::new(MAX_NEWS_GAP, now(), BootTime::now())),
            stopping: Cell::new(None),
            stage_reached: Notify::new(),
            in_flight: Cell::new(0),
            body_bytes: Cell::new(0),
            response_memory: Arc::default(),
            refusals: RefCell::default(),
            zone_gateways: RefCell::default(),
        }
    }

    /// Timeouts of learning the store's changes.
    pub(crate) fn source_times(&self) -> SourceTimes {
        SourceTimes::for_bound(self.process.borrow().bounds.change_bound())
    }

    /// Records that the process runs. Logs a pause that has just ended, and corrects the times that are
    /// kept if the clock has not counted it.
    pub(crate) fn observe_pauses(&self) {
        let ended = self.pauses.borrow_mut().observe(now(), BootTime::now());
        let Some(pause) = ended else { return };
        info!(self.log, "process was paused"; "paused_ms" => pause.length.as_millis() as u64,
            "uncounted_ms" => pause.uncounted.as_millis() as u64);
        if pause.uncounted > Duration::ZERO {
            self.store_progress.borrow_mut().correct_times(|at| pause.corrected(at));
            self.named_weights.borrow_mut().correct_times(|at| pause.corrected(at));
            self.require_weights();
        }
    }

    /// A time that was read earlier, corrected by suspensions that the clock has not counted since.
    pub(crate) fn corrected_time(&self, at: Instant) -> Instant {
        self.observe_pauses();
        self.pauses.borrow().corrected(at)
    }

    /// Returns whether the gateway accepts new connections.
    pub(crate) fn is_ready(&self) -> bool {
        self.stopping.get().is_none()
            && self.endpoints_listed.get()
            && self.config.borrow().is_some()
    }

    /// Records that an endpoint is silent, unless it loads weights and is not at fault. Returns whether
    /// that is new.
    pub(crate) fn record_silence(&self, silent: InFlight) -> bool {
        let mut dispatcher = self.dispatcher.borrow_mut();
        !dispatcher.is_loading(silent.endpoint, now())
            && dispatcher.record_silence(silent.endpoint, silent.key, now())
    }

    /// Waits until the request is assigned to an endpoint or refused.
    pub(crate) async fn acquire(
        self: &Rc<Gateway>,
        request: PendingRequest,
        context: Rc<RequestContext>,
    ) -> AcquireResult {
        let (key, decision) = self.dispatcher.borrow_mut().submit(request, now());
        match key {
            None => self.acquired(decision),
            Some(key) => self.wait_for_result(key, context).await,
        }
    }

    /// Returns the regions in which a request may be served now.
    pub(crate) fn homes(&self, context: &RequestContext) -> Homes {
        context.homes(self.config.borrow().as_deref())
    }

    /// Binds the queued requests to the regions that the configuration in force allows.
    pub(crate) fn rebind_waiting(&self) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        for (key, queued) in &*self.pending_results.borrow() {
            dispatcher.set_homes(*key, self.homes(&queued.context));
        }
    }

    fn acquired(self: &Rc<Gateway>, decision: Decision) -> AcquireResult {
        self.count_cold_request(&decision);
        match decision {
            Decision::Send { endpoint, in_flight: key, expected } => Ok(Assignment {
                gateway: self.clone(),
                in_flight: InFlight { endpoint, key },
                sent_at: now(),
                expected,
                end: EndpointOutcome::Inconclusive,
            }),
            Decision::Refuse { reason, retry_after } => Err((reason, retry_after)),
            Decision::Wait => Err((Refusal::Overload, self.settings.poll_interval)),
        }
    }

    fn count_cold_request(&self, decision: &Decision) {
        match decision {
            Decision::Send { endpoint, .. }
                if self.dispatcher.borrow().cold_time(*endpoint, now()).is_some() =>
            {
                counter!(names::COLD_REQUESTS, "allowed" => "true").increment(1);
            }
            Decision::Refuse { reason: Refusal::Cold, .. } => {
                counter!(names::COLD_REQUESTS, "allowed" => "false").increment(1);
            }
            Decision::Send { .. } | Decision::Refuse { .. } | Decision::Wait => {}
        }
    }

    async fn wait_for_result(
        self: &Rc<Gateway>,
        key: RequestKey,
        context: Rc<RequestContext>,
    ) -> AcquireResult {
        let (sender, receiver) = oneshot::channel();
        self.pending_results.borrow_mut().insert(key, QueuedRequest { context, sender });
        let _guard = PendingGuard { gateway: self, key };
        self.poll_notify.notify_one();
        receiver.await.unwrap_or_else(|_| self.acquired(Decision::Wait))
    }

    /// Decides on queued requests after each event that may matter to them, and periodically while
    /// there are any. Events that come in quick succession are handled together.
    pub(crate) async fn poll_loop(self: Rc<Gateway>) {
        loop {
            if self.dispatcher.borrow().waiting() == 0 {
                self.poll_notify.notified().await;
            } else {
                // Whether notified or timed out, all queued requests are decided again.
                let _ = timeout(self.settings.poll_interval, self.poll_notify.notified()).await;
            }
            self.poll();
            sleep(self.settings.min_poll_interval).await;
        }
    }

    /// Has queued requests decided soon, if there are any.
    pub(crate) fn poll_soon(&self) {
        if self.dispatcher.borrow().waiting() > 0 {
            self.poll_notify.notify_one();
        }
    }

    /// Asks the dispatcher for decisions on queued requests.
    fn poll(self: &Rc<Gateway>) {
        let decided = self.dispatcher.borrow_mut().poll(now());
        for (key, decision) in decided {
            let result = self.acquired(decision);
            let queued = self.pending_results.borrow_mut().remove(&key);
            // If the caller disconnected at the same moment, the assignment ends with the result.
            let _ = queued.map(|queued| queued.sender.send(result));
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
