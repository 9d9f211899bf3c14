use super::*;

fn destination(service: &str, weight: u32) -> Destination {
    Destination { service: service.parse().unwrap(), weight }
}

#[test]
fn destinations_are_chosen_in_proportion_to_their_weights() {
    fastrand::seed(7);
    let all = [destination("a", 90), destination("b", 10), destination("c", 0)];
    let mut counts = std::collections::HashMap::new();
    for _ in 0..10_000 {
        *counts.entry(choose_service(&all).unwrap().to_string()).or_insert(0) += 1;
    }
    assert!((8_800..9_200).contains(&counts["a"]), "{counts:?}");
    assert_eq!(counts.get("c"), None);
    assert_eq!(choose_service(&[destination("only", 0)]), Some("only".parse().unwrap()));
    assert_eq!(choose_service(&[]), None);
}
