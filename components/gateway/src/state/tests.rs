use std::{
    pin::pin,
    task::{Context, Waker},
};

use catalog::{Bounds, ConfigVersion, Endpoint, EndpointState, EndpointUpdate, ProcessLimits};
use dispatch::DispatchSettings;
use slog::{Discard, o};

use super::*;
use crate::{change_origin::ChangeOrigin, hedge::tests::context};

pub(crate) const OBJECTIVE: Duration = Duration::from_secs(60);

fn process() -> ProcessSettings {
    ProcessSettings {
        vm: "vm-1".parse().unwrap(),
        ip: Ipv4Addr::LOCALHOST,
        zone: "a".parse().unwrap(),
        region: "r".parse().unwrap(),
        zone_regions: Vec::new(),
        roles: Vec::new(),
        caller_addr: None,
        readiness_addr: None,
        control_addr: None,
        peer_ports: (1, 1),
        seed_nodes: Vec::new(),
        store_addr: "127.0.0.1:1".parse().unwrap(),
        endpoint: None,
        bounds: Bounds::default(),
        limits: ProcessLimits::default(),
    }
}

/// An endpoint that runs one request at a time.
fn endpoint() -> Endpoint {
    Endpoint {
        id: "i-1".parse().unwrap(),
        service: "plain".parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 1,
        state: EndpointState::Ready,
        started_at_ms: Some(1),
        cold_time: Duration::ZERO,
        held: Vec::new(),
        serves_model: false,
    }
}

pub(crate) fn request() -> PendingRequest {
    PendingRequest {
        service: "plain".parse().unwrap(),
        size: None,
        requested_at: now(),
        arrived_at: now(),
        latency_objective: OBJECTIVE,
        max_event_gap: None,
        deadline: now() + OBJECTIVE,
        is_resumed: false,
        was_refused: false,
        homes: catalog::Homes::ANYWHERE,
        workspace: None,
        tried: Vec::new(),
        rank: dispatch::Rank::default(),
    }
}

/// A gateway with one endpoint, without network.
pub(crate) async fn gateway() -> Rc<Gateway> {
    let dispatcher = Dispatcher::new(DispatchSettings::default(), "a".parse().unwrap(), Vec::new());
    let socket = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let log = Logger::root(Discard, o!());
    let metrics = telemetry::install_without_upkeep_thread();
    let pool = ConnectionPool::default();
    let settings = GatewaySettings::default();
    let gateway = Gateway::new(settings, process(), dispatcher, pool, socket, log, metrics);
    gateway.dispatcher.borrow_mut().apply_listing(EndpointUpdate::Published(endpoint()), now());
    Rc::new(gateway)
}

/// Guards against endpoints that count as full for ever: a request left between the decision on it and
/// the moment at which its task learned of that.
#[test]
fn a_request_that_leaves_after_its_decision_gives_the_endpoint_back() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let gateway = gateway().await;
        let first = gateway.acquire(request(), context()).await.ok().unwrap();
        let key = first.in_flight.endpoint;
        {
            let mut queued = pin!(gateway.acquire(request(), context()));
            assert!(queued.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_pending());
            drop(first);
            gateway.poll();
            assert_eq!(gateway.dispatcher.borrow().in_flight(key), 1);
        }
        assert_eq!(gateway.dispatcher.borrow().in_flight(key), 0);
    });
}

/// Guards against a waiting request that is sent to a region which a newer configuration forbids.
#[test]
fn a_newer_configuration_binds_requests_that_wait() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let gateway = gateway().await;
        let first = gateway.acquire(request(), context()).await.ok().unwrap();
        let mut queued = pin!(gateway.acquire(request(), context()));
        assert!(queued.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_pending());
        let mut route = (*context().route).clone();
        route.homes = Homes::only(["elsewhere".parse().unwrap()]);
        gateway.apply_config(Config::new(ConfigVersion(1), vec![route]), ChangeOrigin::Timer);
        drop(first);
        gateway.poll();
        let (reason, _) = queued.await.err().unwrap();
        assert_eq!(reason, Refusal::NoHome);
    });
}
