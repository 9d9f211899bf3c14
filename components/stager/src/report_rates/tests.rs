use super::*;

/// Reports per second to all gateways of one kind.
fn total(audience: Audience, count: usize) -> f64 {
    count as f64 / ReportRates::default().interval(audience, count).as_secs_f64()
}

#[test]
fn few_gateways_of_a_zone_all_get_frequent_reports() {
    let rates = ReportRates::default();
    for count in 1..=2 {
        assert_eq!(rates.interval(Audience::SameZone, count), rates.preferred_interval);
    }
}

#[test]
fn the_rate_to_many_gateways_is_bounded() {
    for count in 3..=17 {
        assert!(total(Audience::SameZone, count) <= 25.01, "{count}");
    }
    for count in 1..=9 {
        assert!(total(Audience::OtherZone, count) <= 15.01, "{count}");
    }
}

#[test]
fn reports_never_get_so_rare_that_one_lost_datagram_makes_them_old() {
    let rates = ReportRates::default();
    for audience in [Audience::SameZone, Audience::OtherZone] {
        assert_eq!(rates.interval(audience, 10_000), rates.max_interval);
    }
}
