use std::{
    pin::pin,
    sync::Arc,
    task::{Context, Waker},
};

use base::Digest;
use catalog::{Priority, Route, RouteKind};
use http::Method;
use platform::CallerHeaders;

use super::*;
use crate::state::tests::{OBJECTIVE, gateway, request};

/// Number of silent requests, more than the dispatcher lets wait.
const SILENT_COUNT: usize = 300;

pub(crate) fn context() -> Rc<RequestContext> {
    let route = Route {
        name: "safe".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Idempotent,
        timeout: OBJECTIVE,
        target_latency: OBJECTIVE,
        target_event_gap: None,
        priority: Priority(0),
        destinations: Vec::new(),
        max_attempts: 2,
        allow_anonymous: true,
        homes: catalog::Homes::ANYWHERE,
    };
    Rc::new(RequestContext {
        facts: CallerHeaders::default(),
        route: Arc::new(route),
        service: "plain".parse().unwrap(),
        workspace: None,
        method: Method::GET,
        path: "/".parse().unwrap(),
        headers: Default::default(),
        body: Default::default(),
        fingerprint: Digest([0; 32]),
        parts: Vec::new(),
        arrived: now(),
        first_requested: now(),
        refused_before: false,
        deadline: now() + OBJECTIVE,
    })
}

/// Makes a request that was sent to a silent endpoint ask for another one.
fn ask_again(gateway: &Rc<Gateway>) -> Hedge {
    let mut hedge = Hedge::new(gateway.clone(), context());
    hedge.plan.record_sent(Duration::ZERO, now());
    if hedge.start_acquiring().is_none() {
        let mut context = Context::from_waker(Waker::noop());
        let _ = pin!(next_assignment(&mut hedge.acquiring)).poll(&mut context);
    }
    hedge
}

/// Guards against new requests that are refused because the queue is full of second attempts, of which
/// the retry budget allows only a few.
#[test]
fn second_attempts_beyond_the_retry_budget_do_not_fill_the_queue() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let gateway = gateway().await;
        let _busy = gateway.acquire(request(), context()).await.ok().unwrap();
        let _silent: Vec<Hedge> = (0..SILENT_COUNT).map(|_| ask_again(&gateway)).collect();
        let first = pin!(gateway.acquire(request(), context()));
        let polled = first.poll(&mut Context::from_waker(Waker::noop()));
        assert!(
            polled.is_pending(),
            "refused with {} waiting",
            gateway.dispatcher.borrow().waiting()
        );
    });
}
