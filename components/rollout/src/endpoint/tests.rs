use super::*;
use crate::Event;

const SOAK: Duration = Duration::from_secs(5);

fn release(s: &str) -> ReleaseId {
    s.parse().unwrap()
}

fn target(s: &str) -> Event {
    let (rollout, release) = ("r".parse().unwrap(), release(s));
    Event::Target(Some(Target { rollout, release, soak: SOAK }))
}

fn status_with_fence(
    serving: Option<&str>,
    prepared: Option<&str>,
    fence: u64,
    asked_at: Instant,
) -> Event {
    let parse = |s: Option<&str>| s.map(release);
    let (serving, prepared) = (parse(serving), parse(prepared));
    Event::Engine { status: EngineStatus { serving, prepared, fence: Fence(fence) }, asked_at }
}

fn status(serving: Option<&str>, prepared: Option<&str>, asked_at: Instant) -> Event {
    status_with_fence(serving, prepared, 50, asked_at)
}

fn order_answered(action: &Action, accepted: bool) -> Event {
    Event::OrderAnswered { order: order(action).clone(), accepted }
}

fn order(action: &Action) -> &Order {
    let Action::Order(order) = action else { panic!("{action:?}") };
    order
}

fn kinds(actions: &[Action]) -> Vec<OrderKind> {
    let orders = actions.iter().filter(|a| matches!(a, Action::Order(_)));
    orders.map(|a| order(a).order).collect()
}

/// An endpoint whose documents and members peers confirmed.
fn confirmed_endpoint(fence: u64, now: Instant) -> Endpoint {
    let mut endpoint = Endpoint::new(Fence(fence), now);
    assert_eq!(endpoint.handle(Event::PeersConfirmed, now), []);
    endpoint
}

/// An endpoint that loads `to` while the engine serves `from`.
fn loading_endpoint(from: Option<&str>, to: &str, now: Instant) -> Endpoint {
    let mut endpoint = confirmed_endpoint(50, now);
    endpoint.handle(target(to), now);
    let orders = endpoint.handle(status(from, None, now), now);
    assert_eq!(kinds(&orders), [OrderKind::Prepare]);
    assert_eq!(
        endpoint.handle(order_answered(&orders[0], true), now),
        [Action::LoadChunks(release(to))]
    );
    endpoint
}

/// Advances the endpoint until it orders to activate `to`; the order is not answered yet.
fn advance_to_switching(endpoint: &mut Endpoint, to: &str, now: Instant) -> Action {
    endpoint.handle(Event::MaySwitch(true), now);
    let orders = endpoint.handle(Event::Staged(release(to)), now);
    assert_eq!(kinds(&orders), [OrderKind::Activate]);
    orders[0].clone()
}

#[test]
fn an_empty_endpoint_becomes_ready() {
    let now = Instant::now();
    let mut endpoint = loading_endpoint(None, "m@v1", now);
    assert_eq!(endpoint.handle(Event::Staged(release("m@v1")), now), []);
    let orders = endpoint.handle(Event::MaySwitch(true), now);
    assert_eq!(kinds(&orders), [OrderKind::Activate]);
    assert!(order(&orders[0]).fence > Fence(50));
    assert_eq!(endpoint.handle(order_answered(&orders[0], true), now), [Action::ReadEngine]);
    let ready = endpoint.handle(status(Some("m@v1"), None, now), now);
    assert_eq!(ready, [Action::ReportReady(release("m@v1"))]);
    assert!(endpoint.is_accepting());
}

#[test]
fn an_endpoint_that_kept_serving_is_not_reported_ready_again() {
    let now = Instant::now();
    let mut endpoint = confirmed_endpoint(50, now);
    endpoint.handle(target("m@v1"), now);
    let ready = [Action::ReportReady(release("m@v1"))];
    assert_eq!(endpoint.handle(status(Some("m@v1"), None, now), now), ready);
    assert_eq!(endpoint.handle(status_with_fence(Some("m@v1"), None, 51, now), now), []);
    let orders = endpoint.handle(target("m@v2"), now);
    endpoint.handle(order_answered(&orders[0], true), now);
    let actions = endpoint.handle(target("m@v1"), now);
    assert_eq!((actions.len(), kinds(&actions)), (2, vec![OrderKind::Abort]));
    endpoint.handle(Event::EngineUnreachable, now);
    endpoint.handle(status(None, None, now), now);
    endpoint.handle(Event::EngineUnreachable, now);
    assert_eq!(endpoint.handle(status(Some("m@v1"), None, now), now), ready);
}

#[test]
fn no_order_is_given_before_peers_confirm() {
    let now = Instant::now();
    let mut endpoint = Endpoint::new(Fence(50), now);
    endpoint.handle(target("m@v2"), now);
    assert_eq!(endpoint.handle(status(Some("m@v1"), None, now), now), []);
    assert!(endpoint.is_accepting(), "what the engine serves may answer requests");
    assert_eq!(kinds(&endpoint.handle(Event::PeersConfirmed, now)), [OrderKind::Prepare]);
}

#[test]
fn a_paused_process_queries_peers_and_the_engine_before_the_next_order() {
    let now = Instant::now();
    let mut endpoint = loading_endpoint(Some("m@v1"), "m@v2", now);
    let late = now + Duration::from_secs(60);
    let actions = endpoint.handle(Event::Staged(release("m@v2")), late);
    assert_eq!(actions, [Action::CancelLoad(release("m@v2")), Action::ConfirmWithPeers]);
    assert_eq!(endpoint.handle(Event::MaySwitch(true), late), []);
    assert_eq!(endpoint.handle(Event::Tick, late), [Action::ReadEngine]);
    // A status requested before the pause is ignored.
    assert_eq!(endpoint.handle(status(Some("m@v1"), Some("m@v2"), now), late), []);
    assert_eq!(endpoint.handle(Event::PeersConfirmed, late), []);
    let actions = endpoint.handle(status(Some("m@v1"), None, late), late);
    assert_eq!(kinds(&actions), [OrderKind::Prepare]);
}

#[test]
fn a_wall_clock_gap_counts_as_a_pause() {
    let now = Instant::now();
    let mut endpoint = loading_endpoint(Some("m@v1"), "m@v2", now);
    let actions = endpoint.handle(Event::Resumed, now);
    assert_eq!(actions, [Action::CancelLoad(release("m@v2")), Action::ConfirmWithPeers]);
}

#[test]
fn fencing_numbers_grow_even_if_the_wall_clock_was_set_back() {
    let now = Instant::now();
    let mut endpoint = confirmed_endpoint(50, now);
    endpoint.handle(target("m@v2"), now);
    let seen = 1_700_000_000_000;
    let actions = endpoint.handle(status_with_fence(Some("m@v1"), None, seen, now), now);
    assert_eq!(actions, [Action::ConfirmWithPeers]);
    assert_eq!(endpoint.handle(Event::PeersConfirmed, now), [Action::ReadEngine]);
    let orders = endpoint.handle(status_with_fence(Some("m@v1"), None, seen, now), now);
    assert!(order(&orders[0]).fence > Fence(seen));
}

#[test]
fn the_fencing_number_of_a_newer_process_is_not_adopted() {
    let now = Instant::now();
    let mut endpoint = confirmed_endpoint(50, now);
    endpoint.handle(target("m@v2"), now);
    assert_eq!(
        endpoint.handle(status_with_fence(None, None, 99, now), now),
        [Action::ConfirmWithPeers]
    );
    assert_eq!(
        endpoint.handle(status_with_fence(None, None, 99, now), now),
        [Action::ConfirmWithPeers]
    );
    assert_eq!(endpoint.handle(Event::NewerProcess, now), [Action::StepDown(Fence(50))]);
    assert_eq!(endpoint.handle(Event::PeersConfirmed, now), []);
}

#[test]
fn a_fencing_number_that_grew_meanwhile_is_confirmed_with_peers_again() {
    let now = Instant::now();
    let mut endpoint = confirmed_endpoint(50, now);
    endpoint.handle(target("m@v2"), now);
    endpoint.handle(status_with_fence(None, None, 99, now), now);
    endpoint.handle(Event::PeersConfirmed, now);
    assert_eq!(
        endpoint.handle(status_with_fence(None, None, 100, now), now),
        [Action::ConfirmWithPeers]
    );
}

#[test]
fn the_older_of_two_processes_steps_down() {
    let now = Instant::now();
    let mut old = loading_endpoint(Some("m@v1"), "m@v2", now);
    let late = now + Duration::from_secs(60);
    old.handle(Event::Tick, late);
    old.handle(Event::PeersConfirmed, late);
    // The newer process has adopted the engine's number and given an order.
    let actions = old.handle(status_with_fence(Some("m@v3"), None, 9999, late), late);
    assert_eq!(actions, [Action::StepDown(Fence(9999))]);
    assert_eq!(old.phase(), &Phase::Superseded);
    assert!(!old.is_accepting());
    assert_eq!(old.handle(target("m@v4"), late), []);
    assert_eq!(old.handle(status(None, None, late), late), []);
}

#[test]
fn a_process_steps_down_when_peers_know_a_newer_one() {
    let now = Instant::now();
    let mut endpoint = loading_endpoint(Some("m@v1"), "m@v2", now);
    let actions = endpoint.handle(Event::NewerProcess, now);
    assert_eq!(actions[0], Action::CancelLoad(release("m@v2")));
    assert!(matches!(actions[1], Action::StepDown(_)));
    assert_eq!(endpoint.handle(Event::Staged(release("m@v2")), now), []);
}

#[test]
fn a_replaced_release_is_aborted_before_the_engine_reports_it() {
    let now = Instant::now();
    let mut endpoint = confirmed_endpoint(50, now);
    endpoint.handle(target("m@v2"), now);
    let orders = endpoint.handle(status(Some("m@v1"), None, now), now);
    let accepted = now + Duration::from_millis(5);
    endpoint.handle(order_answered(&orders[0], true), accepted);
    // Requested before the engine accepted the order to prepare.
    endpoint.handle(status(Some("m@v1"), None, now + Duration::from_millis(1)), accepted);
    let actions = endpoint.handle(target("m@v1"), now);
    assert_eq!(actions[0], Action::CancelLoad(release("m@v2")));
    assert_eq!(kinds(&actions), [OrderKind::Abort]);
    assert_eq!(order(&actions[1]).release, release("m@v2"));
    // The abort is repeated if the order to prepare overtook it.
    let again = endpoint.handle(status(Some("m@v1"), Some("m@v2"), now), now);
    assert_eq!(kinds(&again), [OrderKind::Abort]);
}

#[test]
fn a_replaced_release_that_waits_to_switch_is_aborted() {
    let now = Instant::now();
    let mut endpoint = loading_endpoint(Some("m@v1"), "m@v2", now);
    endpoint.handle(Event::Staged(release("m@v2")), now);
    assert_eq!(endpoint.phase(), &Phase::Waiting);
    let actions = endpoint.handle(target("m@v3"), now);
    assert_eq!(actions[0], Action::CancelLoad(release("m@v2")));
    assert_eq!(kinds(&actions), [OrderKind::Abort, OrderKind::Prepare]);
}

#[test]
fn an_engine_that_restarts_during_a_load_gets_a_new_prepare_order() {
    let now = Instant::now();
    let mut endpoint = loading_endpoint(None, "m@v2", now);
    let later = now + Duration::from_millis(600);
    let actions = endpoint.handle(status(None, None, later), later);
    assert_eq!(kinds(&actions), [OrderKind::Prepare]);
}

#[test]
fn another_prepared_release_is_aborted_first() {
    let now = Instant::now();
    let mut endpoint = confirmed_endpoint(50, now);
    endpoint.handle(target("m@v2"), now);
    let actions = endpoint.handle(status(None, Some("m@v9"), now), now);
    assert_eq!(kinds(&actions), [OrderKind::Abort, OrderKind::Prepare]);
    assert_eq!(order(&actions[0]).release, release("m@v9"));
}

#[test]
fn an_unreachable_engine_is_queried_before_the_next_order() {
    let now = Instant::now();
    let mut endpoint = loading_endpoint(None, "m@v2", now);
    assert_eq!(
        endpoint.handle(Event::EngineUnreachable, now),
        [Action::CancelLoad(release("m@v2"))]
    );
    assert_eq!(endpoint.handle(Event::Staged(release("m@v2")), now), []);
    assert_eq!(endpoint.handle(Event::MaySwitch(true), now), []);
    assert!(!endpoint.is_accepting());
    assert_eq!(kinds(&endpoint.handle(status(None, None, now), now)), [OrderKind::Prepare]);
}

#[test]
fn a_refused_order_is_retried_after_a_delay() {
    let now = Instant::now();
    let mut endpoint = confirmed_endpoint(50, now);
    endpoint.handle(target("m@v2"), now);
    let orders = endpoint.handle(status(None, None, now), now);
    let actions = endpoint.handle(order_answered(&orders[0], false), now);
    assert_eq!(actions, [Action::CancelLoad(release("m@v2")), Action::ReadEngine]);
    assert_eq!(endpoint.handle(status(None, None, now), now), []);
    let later = now + RETRY_DELAY;
    assert_eq!(kinds(&endpoint.handle(Event::Tick, later)), [OrderKind::Prepare]);
}

#[test]
fn an_engine_that_twice_refuses_to_activate_fails_the_release() {
    let now = Instant::now();
    let v2 = release("m@v2");
    let mut endpoint = loading_endpoint(Some("m@v1"), "m@v2", now);
    let mut at = now;
    for failures in 1..=2 {
        let activate = advance_to_switching(&mut endpoint, "m@v2", at);
        endpoint.handle(order_answered(&activate, false), at);
        at += RETRY_DELAY;
        let orders = endpoint.handle(status(Some("m@v1"), None, at), at);
        assert_eq!(endpoint.verdict(&v2).is_some(), failures == 2);
        assert_eq!(kinds(&orders), [OrderKind::Prepare]);
        endpoint.handle(order_answered(&orders[0], true), at);
    }
    // The target returns to the old release, which the engine still serves.
    let actions = endpoint.handle(target("m@v1"), at);
    assert_eq!(kinds(&actions), [OrderKind::Abort]);
    assert!(endpoint.is_accepting());
    assert!(endpoint.verdict(&v2).is_some());
}

#[test]
fn a_crash_during_the_soak_time_counts_as_one_failure() {
    let now = Instant::now();
    let v2 = release("m@v2");
    let mut endpoint = loading_endpoint(Some("m@v1"), "m@v2", now);
    let activate = advance_to_switching(&mut endpoint, "m@v2", now);
    endpoint.handle(order_answered(&activate, true), now);
    endpoint.handle(status(Some("m@v2"), None, now), now);
    endpoint.handle(Event::EngineUnreachable, now);
    assert_eq!(kinds(&endpoint.handle(status(None, None, now), now)), [OrderKind::Prepare]);
    assert_eq!(endpoint.verdict(&v2), None);
    let mut passed = loading_endpoint(None, "m@v2", now);
    let activate = advance_to_switching(&mut passed, "m@v2", now);
    passed.handle(order_answered(&activate, true), now);
    for step in 0..=10 {
        let at = now + SOAK * step / 10;
        passed.handle(status(Some("m@v2"), None, at), at);
    }
    assert!(passed.verdict(&v2).is_some());
}
