use super::*;

fn gateways(count: u8) -> Vec<Ipv4Addr> {
    (1..=count).map(|n| Ipv4Addr::new(10, 0, 1, n)).collect()
}

fn known(count: u8) -> KnownGateways {
    let names = gateways(count).iter().map(Ipv4Addr::to_string).collect();
    KnownGateways { names, count: count.into() }
}

/// Guards against a cold endpoint that gets one request of each of many gateways at the same moment, as
/// each of them has a share of less than one.
#[test]
fn the_shares_of_all_gateways_add_up_to_the_allowance() {
    for count in 1..40 {
        for allowance in [0.4, 1.0, 6.4, 25.0] {
            let known = known(count);
            let share = |own: &Ipv4Addr| ColdShare::divide(allowance, "i-1", &known, *own);
            let shares: Vec<ColdShare> = gateways(count).iter().map(share).collect();
            let sum: usize = shares.iter().map(|share| share.max_requests).sum();
            assert_eq!(sum, (allowance as usize).max(1), "{count} gateways, {allowance}");
            let longest = shares.iter().map(|share| share.window).max().unwrap();
            assert!(longest >= WINDOW.max(Duration::from_secs_f64(1.0 / allowance.min(1.0))));
        }
    }
}

/// Guards against a gateway that knows only some of the others and takes a share that is not its own.
#[test]
fn a_gateway_that_does_not_know_all_others_takes_no_more_than_an_equal_share() {
    let known = KnownGateways { count: 16, ..known(3) };
    let own = Ipv4Addr::new(10, 0, 1, 1);
    let few = ColdShare::divide(6.4, "i-1", &known, own);
    assert_eq!((few.max_requests, few.window), (1, Duration::from_millis(2500)));
    assert_eq!(ColdShare::divide(40.0, "i-1", &known, own).max_requests, 2);
}
