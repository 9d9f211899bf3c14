use super::*;

#[test]
fn the_last_endpoints_of_a_zone_end_what_runs() {
    let ip = |n| Ipv4Addr::new(10, 0, 0, n);
    let zone: Vec<Ipv4Addr> = (1..=5).map(ip).collect();
    let breaking: Vec<u8> = (1..=5).filter(|n| interrupts_on_load(ip(*n), zone.clone())).collect();
    assert_eq!(breaking, [1, 2, 3]);
    assert!(interrupts_on_load(ip(1), [ip(1)]));
}
