//! Parts of the decision when requests leave their zone.

use catalog::{Endpoint, EndpointState};
use fastrand::Rng;

use super::*;
use crate::DispatchSettings;

fn zone(name: &str) -> Zone {
    name.parse().unwrap()
}

fn service() -> ServiceId {
    "llm".parse().unwrap()
}

fn endpoint(zone_name: &str) -> Endpoint {
    Endpoint {
        id: "i-1".parse().unwrap(),
        service: service(),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: zone(zone_name),
        slots: 4,
        state: EndpointState::Ready,
        started_at_ms: None,
        cold_time: Duration::ZERO,
        held: Vec::new(),
        serves_model: true,
    }
}

/// Penalty of another zone before the ways to it were measured.
fn fixed_cost_ms(settings: &DispatchSettings, same_zone: bool, same_region: bool) -> f64 {
    let region = if same_region { Duration::ZERO } else { settings.cross_region_cost };
    if same_zone { 0.0 } else { (settings.cross_zone_cost + region).as_secs_f64() * 1e3 }
}

/// Guards against a change of decisions in deployments that do not ask for measured ways.
#[test]
fn zones_that_are_near_cost_what_the_settings_say() {
    let (now, mut rng) = (Instant::now(), Rng::with_seed(1));
    for _ in 0..200 {
        let cross_zone_cost = Duration::from_micros(rng.u64(..200_000));
        let cross_region_cost = Duration::from_micros(rng.u64(..200_000));
        let settings =
            DispatchSettings { cross_zone_cost, cross_region_cost, ..DispatchSettings::default() };
        let zones = [("a", "r"), ("b", "r"), ("c", "s")];
        let zones = zones.map(|(z, r)| (zone(z), r.parse().unwrap()));
        let mut dispatcher = Dispatcher::new(settings, zone("a"), zones);
        let delay = Duration::from_micros(rng.u64(..2_500));
        let delays = ["b", "c"].map(|z| ZoneDelay { zones: [zone(z), zone("a")], delay });
        dispatcher.set_zone_delays(&service(), &delays);
        assert_eq!(dispatcher.record_way_error(&service(), &zone("b"), 7.5, None, now), 7.5);
        for (name, same_zone, same_region) in
            [("a", true, true), ("b", false, true), ("c", false, false)]
        {
            let distance = dispatcher.distance(&endpoint(name), now);
            assert_eq!(distance.cost_ms, fixed_cost_ms(&settings, same_zone, same_region));
            assert_eq!(distance.extra_ms, 0.0);
        }
        assert!(dispatcher.ways(now).is_empty());
    }
}

/// Guards against a way that one outlier or an old measurement closes.
#[test]
fn the_latency_of_a_way_ignores_outliers_and_ages() {
    let start = Instant::now();
    let mut way = Way::new(Duration::from_millis(6));
    let objective = Duration::from_millis(400);
    way.record(5000.0, objective, 10, start);
    assert!(way.extra_ms(start) <= 16.0, "{}", way.extra_ms(start));
    for _ in 0..50 {
        way.record(300.0, objective, 10, start);
    }
    assert!(way.extra_ms(start) > 250.0);
    assert!(!way.state(10).has_room, "ten requests were too many");
    assert!(way.extra_ms(start + Duration::from_secs(10)) < 20.0);
}

/// Guards against a share that jumps: late requests at home move it by a small step at a time, and
/// late requests elsewhere take it back.
#[test]
fn the_share_moves_in_bounded_steps_while_leaving_pays() {
    let (mut now, mut rng) = (Instant::now(), Rng::with_seed(2));
    let mut share = ExitShare::default();
    let mut run = |home_late: bool, away_late: bool, share: &mut ExitShare| {
        for _ in 0..500 {
            now += Duration::from_millis(10);
            let before = share.get();
            share.record_start(false, home_late);
            share.record_start(true, away_late);
            share.record_request(!home_late, now, &mut rng);
            assert!((share.get() - before).abs() <= 0.06 + 1e-9);
        }
        share.get()
    };
    assert!(run(true, false, &mut share) > 0.9);
    assert!(run(true, true, &mut share) < 0.1, "leaving does not help");
    assert!(run(true, false, &mut share) > 0.9);
    let falling = run(false, false, &mut share);
    assert!(falling < 0.75, "{falling}");
}
