use super::*;

fn release(s: &str) -> ReleaseId {
    s.parse().unwrap()
}

fn target(s: &str) -> Event {
    Event::Target(Some(Target { rollout: "r".parse().unwrap(), release: release(s) }))
}

fn view(serving: Option<&str>, prepared: Option<&str>) -> Event {
    let parse = |s: Option<&str>| s.map(release);
    Event::Engine(EngineView {
        serving: parse(serving),
        prepared: parse(prepared),
        fence: Fence(50),
    })
}

fn accepted(action: &Action) -> Event {
    let Action::Order(order) = action else { panic!("{action:?}") };
    Event::Ordered { order: order.clone(), accepted: true }
}

#[test]
fn an_endpoint_goes_from_nothing_to_ready() {
    let now = Instant::now();
    let mut endpoint = Endpoint::new(Fence(10), now);
    assert_eq!(endpoint.handle(target("m@v1"), now), []);
    let orders = endpoint.handle(view(None, None), now);
    assert_eq!(endpoint.handle(accepted(&orders[0]), now), [Action::Load(release("m@v1"))]);
    let orders = endpoint.handle(Event::Staged(release("m@v1")), now);
    assert!(matches!(&orders[0], Action::Order(o) if o.order == OrderKind::Activate));
    assert!(matches!(&orders[0], Action::Order(o) if o.fence > Fence(50)));
    assert_eq!(endpoint.handle(accepted(&orders[0]), now), [Action::ReadEngine]);
    let ready = endpoint.handle(view(Some("m@v1"), None), now);
    assert_eq!(ready, [Action::Ready(release("m@v1"))]);
    assert!(endpoint.accepting());
}

#[test]
fn a_paused_process_asks_the_engine_before_it_orders() {
    let now = Instant::now();
    let mut endpoint = Endpoint::new(Fence(10), now);
    endpoint.handle(target("m@v1"), now);
    let orders = endpoint.handle(view(None, None), now);
    endpoint.handle(accepted(&orders[0]), now);
    let late = now + Duration::from_secs(60);
    let actions = endpoint.handle(Event::Staged(release("m@v1")), late);
    assert_eq!(actions, [Action::Stop(release("m@v1"))]);
    assert_eq!(endpoint.handle(Event::Tick, late), [Action::ReadEngine]);
}
