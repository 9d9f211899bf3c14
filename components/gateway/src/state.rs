//! What the tasks of the process share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::Ipv4Addr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use catalog::{Config, ProcessSettings};
use dispatch::{
    Decision, Dispatcher, EndpointKey, EndpointOutcome, InFlightKey, PendingRequest, Refusal,
    RequestKey,
};
use peering::PeerSocket;
use slog::Logger;
use telemetry::MetricsPage;
use tokio::{
    sync::{Notify, oneshot},
    time::timeout,
};
use transport::Pool;

use crate::{
    refused::RecentRefusals, settings::GatewaySettings, shutdown::Shutdown,
    suspects::SuspectRequests, weights::NamedWeights,
};

/// The state of the process. All tasks run on one thread; nothing is borrowed across an await.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) process: RefCell<ProcessSettings>,
    pub(crate) log: Logger,
    pub(crate) metrics: MetricsPage,
    pub(crate) config: RefCell<Option<Arc<Config>>>,
    pub(crate) dispatcher: RefCell<Dispatcher>,
    /// Requests that wait for an endpoint, and where their decision goes.
    pending_decisions: RefCell<HashMap<RequestKey, oneshot::Sender<Decision>>>,
    pub(crate) pool: Pool,
    pub(crate) socket: PeerSocket,
    pub(crate) suspects: RefCell<SuspectRequests>,
    pub(crate) named_weights: RefCell<NamedWeights>,
    /// Other entries, as agents name them, and when they did.
    pub(crate) other_gateways: RefCell<HashMap<Ipv4Addr, Instant>>,
    /// Entries that asked one agent for reports, by the last report.
    pub(crate) gateway_count: Cell<u32>,
    /// Grows when what agents ask for changed.
    pub(crate) fleet_revision: Cell<u64>,
    /// Wakes the task that asks agents for reports.
    pub(crate) subscribe_notify: Notify,
    /// Whether endpoints and configuration were read.
    pub(crate) endpoints_listed: Cell<bool>,
    /// Set once the process got SIGTERM.
    pub(crate) stopping: Cell<Option<Shutdown>>,
    /// Requests in progress.
    pub(crate) in_flight: Cell<usize>,
    /// Bytes of request bodies that are held.
    pub(crate) body_bytes: Cell<usize>,
    pub(crate) refusals: RefCell<RecentRefusals>,
    /// Other entries of the zone, as agents name them, and when they did.
    pub(crate) zone_gateways: RefCell<HashMap<Ipv4Addr, Instant>>,
}

/// A request at an endpoint; tells the dispatcher when it has ended.
pub(crate) struct InFlightRequest {
    gateway: Rc<Gateway>,
    pub(crate) endpoint: EndpointKey,
    flight: InFlightKey,
    /// Predicted time until the first event.
    pub(crate) expected: Duration,
    end: EndpointOutcome,
}

impl InFlightRequest {
    /// Its first event has come.
    pub(crate) fn mark_started(&self) {
        self.gateway.dispatcher.borrow_mut().record_first_event(self.endpoint, self.flight, now());
    }

    /// Notes how it ended.
    pub(crate) fn set_end(&mut self, end: EndpointOutcome) {
        self.end = end;
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let now = now();
        self.gateway.dispatcher.borrow_mut().record_result(
            self.endpoint,
            self.flight,
            self.end,
            now,
        );
        self.gateway.poll();
    }
}

/// The runtime's clock, which tests pause.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

struct PendingGuard<'a> {
    gateway: &'a Gateway,
    key: RequestKey,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        if self.gateway.pending_decisions.borrow_mut().remove(&self.key).is_some() {
            self.gateway.dispatcher.borrow_mut().cancel(self.key);
        }
    }
}

impl Gateway {
    /// The state of a process that knows nothing yet.
    pub(crate) fn new(
        settings: GatewaySettings,
        process: ProcessSettings,
        dispatcher: Dispatcher,
        pool: Pool,
        socket: PeerSocket,
        log: Logger,
        metrics: MetricsPage,
    ) -> Gateway {
        Gateway {
            settings,
            log,
            metrics,
            config: RefCell::default(),
            dispatcher: RefCell::new(dispatcher),
            pending_decisions: RefCell::default(),
            pool,
            socket,
            suspects: RefCell::default(),
            named_weights: RefCell::new(NamedWeights::new(
                process.bounds,
                settings.version_margin_fraction,
                now(),
            )),
            process: RefCell::new(process),
            other_gateways: RefCell::default(),
            gateway_count: Cell::new(1),
            fleet_revision: Cell::new(1),
            subscribe_notify: Notify::new(),
            endpoints_listed: Cell::new(false),
            stopping: Cell::new(None),
            in_flight: Cell::new(0),
            body_bytes: Cell::new(0),
            refusals: RefCell::default(),
            zone_gateways: RefCell::default(),
        }
    }

    /// Whether the process takes new connections.
    pub(crate) fn is_ready(&self) -> bool {
        self.stopping.get().is_none()
            && self.endpoints_listed.get()
            && self.config.borrow().is_some()
    }

    /// Waits until an endpoint is to run a request, or until the request is refused.
    pub(crate) async fn acquire(
        self: &Rc<Gateway>,
        job: PendingRequest,
    ) -> Result<InFlightRequest, (Refusal, Duration)> {
        let (key, decision) = self.dispatcher.borrow_mut().submit(job, now());
        let decision = match key {
            None => decision,
            Some(key) => self.wait_for_decision(key).await,
        };
        match decision {
            Decision::Send { endpoint, in_flight: flight, expected } => {
                let gateway = self.clone();
                Ok(InFlightRequest {
                    gateway,
                    endpoint,
                    flight,
                    expected,
                    end: EndpointOutcome::Inconclusive,
                })
            }
            Decision::Refuse { reason, retry_after } => Err((reason, retry_after)),
            Decision::Wait => Err((Refusal::Overload, self.settings.poll_interval)),
        }
    }

    async fn wait_for_decision(&self, key: RequestKey) -> Decision {
        let (tell, mut told) = oneshot::channel();
        self.pending_decisions.borrow_mut().insert(key, tell);
        let _waiting = PendingGuard { gateway: self, key };
        loop {
            match timeout(self.settings.poll_interval, &mut told).await {
                Ok(Ok(decision)) => return decision,
                Ok(Err(_)) => return Decision::Wait,
                Err(_) => self.poll(),
            }
        }
    }

    /// Looks again at the requests that wait.
    pub(crate) fn poll(&self) {
        let now = now();
        if self.dispatcher.borrow().waiting() == 0 {
            return;
        }
        let decided = self.dispatcher.borrow_mut().poll(now);
        for (key, decision) in decided {
            let tell = self.pending_decisions.borrow_mut().remove(&key);
            let told = tell.map(|tell| tell.send(decision));
            if let (Decision::Send { endpoint, in_flight: flight, .. }, None | Some(Err(_))) =
                (decision, told)
            {
                // The caller left at the same moment.
                self.dispatcher.borrow_mut().record_result(
                    endpoint,
                    flight,
                    EndpointOutcome::Inconclusive,
                    now,
                );
            }
        }
    }
}
