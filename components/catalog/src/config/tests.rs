use super::*;

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        target_event_gap: None,
        priority: Priority(1),
        destinations: Vec::new(),
        max_attempts: 2,
        allow_anonymous: false,
        homes: Homes::ANYWHERE,
    }
}

#[test]
fn the_longest_matching_prefix_of_the_host_wins() {
    let routes = vec![route("a.example", "/x/"), route("a.example", "/x/y/"), route("b", "/")];
    let config = Config::new(ConfigVersion(1), routes);
    let name = |host, path| config.route(host, path).map(|r| &*r.path_prefix);
    assert_eq!(name("a.example", "/x/y/z"), Some("/x/y/"));
    assert_eq!(name("A.example:80", "/x/z"), Some("/x/"));
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("b", "/x/y/"), Some("/"));
    assert_eq!(name("c", "/x/y/"), None);
    assert_eq!(config.route_count(), 3);
}

#[test]
fn debug_output_hides_api_keys() {
    assert_eq!(format!("{:?}", ApiKey("secret".into())), "ApiKey(..)");
}

#[test]
fn a_service_is_resumable_if_all_its_routes_allow_a_retry() {
    let service: ServiceId = "s".parse().unwrap();
    let to = |kind, attempts| Route {
        kind,
        max_attempts: attempts,
        destinations: vec![Destination { service: service.clone(), weight: 1 }],
        ..route("h", "/x/")
    };
    let stream = to(RouteKind::Stream { resumable: true }, 2);
    let resumable = |routes| Config::new(ConfigVersion(1), routes).is_resumable(&service);
    assert!(resumable(vec![stream.clone(), to(RouteKind::Idempotent, 2)]));
    assert!(!resumable(vec![stream.clone(), to(RouteKind::AtMostOnce, 2)]));
    assert!(!resumable(vec![stream.clone(), to(RouteKind::Stream { resumable: false }, 2)]));
    assert!(!resumable(vec![stream, to(RouteKind::Idempotent, 1)]));
}

// Guards against waiting for the first event of a stream until the deadline, long after its caller has
// left.
#[test]
fn a_caller_abandons_a_stream_after_the_longest_of_its_three_limits() {
    let millis = Duration::from_millis;
    let stream = |latency, gap| Route {
        kind: RouteKind::Stream { resumable: true },
        target_latency: millis(latency),
        target_event_gap: gap,
        ..route("h", "/x/")
    };
    assert_eq!(stream(400, Some(millis(400))).caller_patience(), Some(millis(3200)));
    assert_eq!(stream(900, Some(millis(400))).caller_patience(), Some(millis(3600)));
    assert_eq!(stream(100, Some(millis(100))).caller_patience(), Some(millis(2000)));
    assert_eq!(stream(100, None).caller_patience(), Some(millis(2000)));
    assert_eq!(route("h", "/x/").caller_patience(), None);
}
