use super::*;

fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n)
}

fn spread(me: u8, count: u32, zone: &[u8], root: &[u8], now: Instant) -> Spread {
    let mut spread = Spread::new(SpreadSettings::default(), ip(me), count, me.into(), now);
    spread
        .set_members(zone.iter().map(|n| ip(*n)).collect(), root.iter().map(|n| ip(*n)).collect());
    spread
}

fn all(count: u32, at: Instant) -> Neighbour {
    Neighbour { pieces: (0..count).collect(), at }
}

#[test]
fn each_owner_brings_its_pieces_and_no_others() {
    let now = Instant::now();
    let mut brought: Vec<u32> = Vec::new();
    for me in 1..=3 {
        let mut spread = spread(me, 6, &[1, 2, 3], &[], now);
        let fetches = spread.next(now);
        assert!(fetches.iter().all(|f| f.source == Source::Origin));
        brought.extend(fetches.iter().map(|f| f.piece));
    }
    brought.sort_unstable();
    assert_eq!(brought, [0, 1, 2, 3, 4, 5]);
}

#[test]
fn another_zone_asks_the_zone_of_the_origin() {
    let now = Instant::now();
    let mut spread = spread(4, 2, &[4], &[1, 2], now);
    let mut fetches = spread.next(now);
    fetches.sort_by_key(|f| f.piece);
    let from = |piece, n| Fetch { piece, source: Source::Peer(ip(n)) };
    assert_eq!(fetches, [from(0, 1), from(1, 2)]);
    assert_eq!(spread.next(now), []);
    // If the owners there fail, the next ones are asked, and in the end the origin.
    for fetch in fetches {
        spread.failed(fetch, Failure::Failed, now);
    }
    assert_eq!(spread.next(now), []);
    let late = now + SpreadSettings::default().origin_patience;
    for peer in [1, 2] {
        spread.failed(from(0, peer), Failure::Failed, late);
    }
    assert!(spread.next(late).iter().all(|f| f.source == Source::Origin));
}

#[test]
fn pieces_are_fetched_within_the_zone_from_many_at_a_time() {
    let now = Instant::now();
    let mut spread = spread(1, 96, &[1, 2, 3, 4, 5], &[9], now);
    for n in 2..=5 {
        spread.heard(ip(n), all(96, now));
    }
    let sources: std::collections::HashSet<Source> =
        spread.next(now).iter().map(|f| f.source).collect();
    assert_eq!(sources.len(), 4);
    assert!(!sources.contains(&Source::Origin));
}

#[test]
fn the_rarest_piece_comes_first() {
    let now = Instant::now();
    let mut spread = spread(1, 3, &[1, 2, 3], &[9], now);
    // Another owner brings piece 1 and 2, whoever holds them.
    spread.heard(ip(2), all(3, now));
    spread.heard(ip(3), Neighbour { pieces: [0, 1].into_iter().collect(), at: now });
    assert_eq!(spread.next(now)[0].piece, 2);
}

#[test]
fn an_owner_that_falls_silent_is_stood_in_for() {
    let now = Instant::now();
    let mut spread = spread(2, 1, &[1, 2], &[], now);
    spread.lives(ip(1), now);
    assert_eq!(spread.next(now), []);
    let late = now + SpreadSettings::default().alive;
    assert_eq!(spread.next(late), [Fetch { piece: 0, source: Source::Origin }]);
}

#[test]
fn an_owner_that_was_never_heard_is_stood_in_for() {
    let now = Instant::now();
    let mut spread = spread(2, 1, &[1, 2], &[], now);
    assert_eq!(spread.next(now), []);
    let late = now + SpreadSettings::default().news_life;
    assert_eq!(spread.next(late), [Fetch { piece: 0, source: Source::Origin }]);
}

#[test]
fn an_owner_that_lives_and_does_not_bring_a_piece_is_stood_in_for_later() {
    let now = Instant::now();
    let mut spread = spread(2, 1, &[1, 2], &[], now);
    let patience = SpreadSettings::default().owner_patience;
    spread.lives(ip(1), now + patience);
    assert_eq!(spread.next(now + patience - Duration::from_millis(1)), []);
    assert_eq!(spread.next(now + patience), [Fetch { piece: 0, source: Source::Origin }]);
}

#[test]
fn a_zone_that_waited_for_long_fetches_one_copy_once_there_is_progress() {
    let now = Instant::now();
    let mut spread = spread(2, 4, &[1, 2], &[9], now);
    // The origin was away for a long time; now another member got a piece.
    let late = now + Duration::from_secs(6);
    spread.heard(ip(1), Neighbour { pieces: [0].into_iter().collect(), at: late });
    let fetches = spread.next(late);
    assert!(fetches.iter().all(|fetch| fetch.source != Source::Origin), "{fetches:?}");
    let outside = fetches.iter().filter(|f| f.source == Source::Peer(ip(9)));
    assert!(outside.map(|fetch| fetch.piece).all(|piece| piece % 2 == 1));
}

#[test]
fn the_pieces_of_an_owner_that_lags_are_shared_by_the_others() {
    let now = Instant::now();
    let zone = [1, 2, 3, 4];
    // All have come but those of the first.
    let come: PieceSet = (0..32).filter(|piece| piece % 4 != 0).collect();
    let mut brought: Vec<u32> = Vec::new();
    for me in 2..=4 {
        let mut spread = spread(me, 32, &zone, &[], now);
        spread.lives(ip(1), now);
        spread.heard(ip(1), Neighbour { pieces: PieceSet::default(), at: now });
        (0..32).filter(|p| p % 4 != 0).for_each(|piece| spread.hold(piece, now));
        for other in (2..=4).filter(|other| *other != me) {
            spread.heard(ip(other), Neighbour { pieces: come.clone(), at: now });
        }
        let fetches = spread.next(now);
        assert!(fetches.iter().all(|fetch| fetch.source == Source::Origin));
        brought.extend(fetches.iter().map(|fetch| fetch.piece));
    }
    let total = brought.len();
    brought.sort_unstable();
    brought.dedup();
    assert_eq!(brought.len(), total, "no piece is brought twice");
    assert!(total >= 5, "{brought:?}");
    assert!(brought.iter().all(|piece| piece % 4 == 0));
}

#[test]
fn a_slow_source_is_asked_less() {
    let now = Instant::now();
    let mut spread = spread(1, 20, &[1, 2, 3], &[9], now);
    for n in [2, 3] {
        spread.heard(ip(n), all(20, now));
    }
    let slow = spread.next(now).into_iter().find(|f| f.source == Source::Peer(ip(2))).unwrap();
    let later = now + Duration::from_millis(900);
    let others: Vec<u32> = spread.flights.keys().copied().filter(|p| *p != slow.piece).collect();
    for piece in others {
        spread.hold(piece, now + Duration::from_millis(40));
    }
    spread.hold(slow.piece, later);
    let fetches = spread.next(later);
    assert_eq!(fetches[0].source, Source::Peer(ip(3)));
    assert_eq!(fetches[1].source, Source::Peer(ip(3)));
}

/// A narrow link: requests for the endpoint came a second late behind eight pieces.
#[test]
fn a_link_that_turns_narrow_is_not_filled_with_pieces() {
    let mut now = Instant::now();
    let mut spread = spread(1, 96, &[1, 2, 3, 4, 5], &[9], now);
    let peers = 2..=5;
    let tell = |spread: &mut Spread, now| {
        peers.clone().for_each(|n| spread.heard(ip(n), all(96, now)));
    };
    tell(&mut spread, now);
    let mut flights = spread.next(now);
    assert_eq!(flights.len(), 8);
    let mut most = 0;
    for i in 0..60 {
        now += Duration::from_millis(216);
        tell(&mut spread, now);
        let fetch = flights.remove(0);
        spread.hold(fetch.piece, now);
        flights.extend(spread.next(now));
        most = if i < 30 { 0 } else { most.max(flights.len()) };
    }
    // Half a second behind the pieces on their way instead of 1.7 s.
    assert!(most <= 3, "{most}");
}

#[test]
fn owners_ask_another_zone_for_several_of_their_pieces_at_once() {
    let now = Instant::now();
    let mut spread = spread(4, 12, &[4, 5], &[1, 2], now);
    spread.lives(ip(5), now);
    let pieces: Vec<u32> = spread.next(now).iter().map(|fetch| fetch.piece).collect();
    assert_eq!(pieces.len(), SpreadSettings::default().far_flights);
    assert!(pieces.iter().all(|piece| piece % 2 == 0), "{pieces:?}");
}

#[test]
fn what_a_silent_neighbour_said_does_not_count_for_ever() {
    let now = Instant::now();
    let mut spread = spread(2, 1, &[1, 2], &[], now);
    spread.heard(ip(1), all(1, now));
    let fetch = spread.next(now)[0];
    assert_eq!(fetch.source, Source::Peer(ip(1)));
    let late = now + SpreadSettings::default().news_life;
    spread.failed(fetch, Failure::Failed, now);
    assert_eq!(spread.next(late), [Fetch { piece: 0, source: Source::Origin }]);
}

/// Rounds of fetching in which each member moves as many pieces as its link carries.
fn rounds(zones: &[&[u8]], seeds: &[u8]) -> (usize, usize) {
    const COUNT: u32 = 48;
    let start = Instant::now();
    let root = zones[0];
    let mut all_spreads: Vec<(u8, &[u8], Spread)> = Vec::new();
    for zone in zones {
        for &me in *zone {
            let outside: &[u8] = if zone == &root { &[] } else { root };
            let mut one = spread(me, COUNT, zone, outside, start);
            if seeds.contains(&me) {
                (0..COUNT).for_each(|piece| one.hold(piece, start));
            }
            all_spreads.push((me, zone, one));
        }
    }
    let mut from_origin = 0;
    for round in 0..400 {
        let now = start + Duration::from_millis(30 * round as u64);
        let holdings: Vec<(u8, PieceSet)> =
            all_spreads.iter().map(|(me, _, s)| (*me, s.held().clone())).collect();
        for (me, zone, one) in &mut all_spreads {
            for (from, pieces) in holdings.iter().filter(|(n, _)| zone.contains(n) && n != me) {
                one.heard(ip(*from), Neighbour { pieces: pieces.clone(), at: now });
            }
            for fetch in one.next(now) {
                let there = match fetch.source {
                    Source::Origin => true,
                    Source::Peer(peer) => holdings
                        .iter()
                        .any(|(n, pieces)| ip(*n) == peer && pieces.contains(fetch.piece)),
                };
                from_origin += usize::from(fetch.source == Source::Origin);
                if there {
                    one.hold(fetch.piece, now);
                } else {
                    one.failed(fetch, Failure::Missing, now);
                }
            }
        }
        if all_spreads.iter().all(|(_, _, s)| s.is_complete()) {
            return (round, from_origin);
        }
    }
    panic!("the pieces did not spread");
}

#[test]
fn a_new_version_costs_the_origin_one_copy() {
    let (rounds, from_origin) = rounds(&[&[1, 2, 3, 4, 5], &[11, 12, 13, 14], &[21, 22]], &[]);
    assert_eq!(from_origin, 48);
    assert!(rounds < 80, "{rounds}");
}

#[test]
fn empty_endpoints_beside_full_ones_cost_the_origin_nothing() {
    let (rounds, from_origin) = rounds(&[&[1, 2, 3], &[11, 12, 13]], &[1, 11]);
    assert_eq!(from_origin, 0);
    assert!(rounds < 40, "{rounds}");
}
