use super::*;

#[test]
fn news_of_a_limit_survive_the_way_to_another_gateway() {
    let now = Instant::now();
    let ago = |ms| now - Duration::from_millis(ms);
    let wanting = vec![WantingGateway { ip: Ipv4Addr::new(10, 0, 0, 3), at: ago(70) }];
    let mut news = LimitNews {
        endpoint: "i-1".parse().unwrap(),
        limit: Some(Rate(1.25)),
        seen_at: ago(20),
        named_at: ago(4000),
        wanting,
    };
    assert_eq!(from_message(&to_message(&news, now), now), Some(news.clone()));
    news.limit = None;
    assert_eq!(from_message(&to_message(&news, now), now), Some(news));
}

#[test]
fn news_of_an_endpoint_without_a_valid_id_are_rejected() {
    let named = NamedLimit {
        endpoint: String::new(),
        limit: Some(1000),
        seen_age_ms: 0,
        named_age_ms: 0,
        wanting: Vec::new(),
    };
    assert_eq!(from_message(&named, Instant::now()), None);
}
