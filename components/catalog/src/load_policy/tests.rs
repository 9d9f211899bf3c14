use super::*;

#[test]
fn endpoints_with_the_highest_addresses_finish_running_requests() {
    let ip = |n| Ipv4Addr::new(10, 0, 0, n);
    let zone: Vec<Ipv4Addr> = (1..=5).map(ip).collect();
    let interrupting: Vec<u8> =
        (1..=5).filter(|n| interrupts_on_load(ip(*n), zone.clone())).collect();
    assert_eq!(interrupting, [1, 2, 3]);
    assert!(interrupts_on_load(ip(1), [ip(1)]));
}
