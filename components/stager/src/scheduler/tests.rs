use super::*;

fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n)
}

fn scheduler(own: u8, count: u32, zone: &[u8], origin_zone: &[u8], now: Instant) -> FetchScheduler {
    let mut scheduler =
        FetchScheduler::new(FetchSettings::default(), ip(own), count, own.into(), now);
    scheduler.set_members(
        zone.iter().map(|n| ip(*n)).collect(),
        origin_zone.iter().map(|n| ip(*n)).collect(),
    );
    scheduler
}

fn holds_all(count: u32, reported_at: Instant) -> Neighbour {
    Neighbour { pieces: (0..count).collect(), reported_at }
}

#[test]
fn each_owner_fetches_only_its_own_pieces_from_the_origin() {
    let now = Instant::now();
    let mut brought: Vec<u32> = Vec::new();
    for me in 1..=3 {
        let mut scheduler = scheduler(me, 6, &[1, 2, 3], &[], now);
        let fetches = scheduler.next_fetches(now);
        assert!(fetches.iter().all(|f| f.source == Source::Origin));
        brought.extend(fetches.iter().map(|f| f.piece));
    }
    brought.sort_unstable();
    assert_eq!(brought, [0, 1, 2, 3, 4, 5]);
}

#[test]
fn owners_in_another_zone_fetch_from_the_origin_zone() {
    let now = Instant::now();
    let mut scheduler = scheduler(4, 2, &[4], &[1, 2], now);
    let mut fetches = scheduler.next_fetches(now);
    fetches.sort_by_key(|f| f.piece);
    let from = |piece, n| Fetch { piece, source: Source::Peer(ip(n)) };
    assert_eq!(fetches, [from(0, 1), from(1, 2)]);
    assert_eq!(scheduler.next_fetches(now), []);
    // If the owners there fail, the next candidates are asked, and finally the origin.
    for fetch in fetches {
        scheduler.handle_failure(fetch, FetchFailure::Failed, now);
    }
    assert_eq!(scheduler.next_fetches(now), []);
    let late = now + FetchSettings::default().origin_fallback_delay;
    for peer in [1, 2] {
        scheduler.handle_failure(from(0, peer), FetchFailure::Failed, late);
    }
    assert!(scheduler.next_fetches(late).iter().all(|f| f.source == Source::Origin));
}

#[test]
fn pieces_are_fetched_from_several_neighbours_in_parallel() {
    let now = Instant::now();
    let mut scheduler = scheduler(1, 96, &[1, 2, 3, 4, 5], &[9], now);
    for n in 2..=5 {
        scheduler.handle_inventory(ip(n), holds_all(96, now));
    }
    let sources: std::collections::HashSet<Source> =
        scheduler.next_fetches(now).iter().map(|f| f.source).collect();
    assert_eq!(sources.len(), 4);
    assert!(!sources.contains(&Source::Origin));
}

#[test]
fn the_rarest_piece_is_fetched_first() {
    let now = Instant::now();
    let mut scheduler = scheduler(1, 3, &[1, 2, 3], &[9], now);
    // Pieces 1 and 2 are owned by other members, no matter which neighbour holds them.
    scheduler.handle_inventory(ip(2), holds_all(3, now));
    scheduler.handle_inventory(
        ip(3),
        Neighbour { pieces: [0, 1].into_iter().collect(), reported_at: now },
    );
    assert_eq!(scheduler.next_fetches(now)[0].piece, 2);
}

#[test]
fn the_next_candidate_takes_over_from_an_owner_that_falls_silent() {
    let now = Instant::now();
    let mut scheduler = scheduler(2, 1, &[1, 2], &[], now);
    scheduler.mark_alive(ip(1), now);
    assert_eq!(scheduler.next_fetches(now), []);
    let late = now + FetchSettings::default().member_timeout;
    assert_eq!(scheduler.next_fetches(late), [Fetch { piece: 0, source: Source::Origin }]);
}

#[test]
fn the_next_candidate_takes_over_from_an_owner_that_was_never_heard() {
    let now = Instant::now();
    let mut scheduler = scheduler(2, 1, &[1, 2], &[], now);
    assert_eq!(scheduler.next_fetches(now), []);
    let late = now + FetchSettings::default().inventory_timeout;
    assert_eq!(scheduler.next_fetches(late), [Fetch { piece: 0, source: Source::Origin }]);
}

#[test]
fn the_next_candidate_takes_over_later_from_a_live_owner_without_progress() {
    let now = Instant::now();
    let mut scheduler = scheduler(2, 1, &[1, 2], &[], now);
    let delay = FetchSettings::default().owner_fallback_delay;
    scheduler.mark_alive(ip(1), now + delay);
    assert_eq!(scheduler.next_fetches(now + delay - Duration::from_millis(1)), []);
    assert_eq!(scheduler.next_fetches(now + delay), [Fetch { piece: 0, source: Source::Origin }]);
}

#[test]
fn a_zone_fetches_a_single_copy_when_progress_resumes_after_an_outage() {
    let now = Instant::now();
    let mut scheduler = scheduler(2, 4, &[1, 2], &[9], now);
    // The origin was unreachable for a long time; now another member got a piece.
    let late = now + Duration::from_secs(6);
    scheduler.handle_inventory(
        ip(1),
        Neighbour { pieces: [0].into_iter().collect(), reported_at: late },
    );
    let fetches = scheduler.next_fetches(late);
    assert!(fetches.iter().all(|fetch| fetch.source != Source::Origin), "{fetches:?}");
    let outside = fetches.iter().filter(|f| f.source == Source::Peer(ip(9)));
    assert!(outside.map(|fetch| fetch.piece).all(|piece| piece % 2 == 1));
}

#[test]
fn the_pieces_of_a_lagging_owner_are_divided_among_the_others() {
    let now = Instant::now();
    let zone = [1, 2, 3, 4];
    // All pieces have arrived except those of the first owner.
    let arrived: PieceSet = (0..32).filter(|piece| piece % 4 != 0).collect();
    let mut brought: Vec<u32> = Vec::new();
    for me in 2..=4 {
        let mut scheduler = scheduler(me, 32, &zone, &[], now);
        scheduler.mark_alive(ip(1), now);
        scheduler
            .handle_inventory(ip(1), Neighbour { pieces: PieceSet::default(), reported_at: now });
        (0..32).filter(|p| p % 4 != 0).for_each(|piece| scheduler.mark_held(piece, now));
        for other in (2..=4).filter(|other| *other != me) {
            scheduler.handle_inventory(
                ip(other),
                Neighbour { pieces: arrived.clone(), reported_at: now },
            );
        }
        let fetches = scheduler.next_fetches(now);
        assert!(fetches.iter().all(|fetch| fetch.source == Source::Origin));
        brought.extend(fetches.iter().map(|fetch| fetch.piece));
    }
    let total = brought.len();
    brought.sort_unstable();
    brought.dedup();
    assert_eq!(brought.len(), total, "no piece is fetched twice");
    assert!(total >= 5, "{brought:?}");
    assert!(brought.iter().all(|piece| piece % 4 == 0));
}

#[test]
fn a_slow_source_gets_fewer_fetches() {
    let now = Instant::now();
    let mut scheduler = scheduler(1, 20, &[1, 2, 3], &[9], now);
    for n in [2, 3] {
        scheduler.handle_inventory(ip(n), holds_all(20, now));
    }
    let slow_fetch =
        scheduler.next_fetches(now).into_iter().find(|f| f.source == Source::Peer(ip(2))).unwrap();
    let later = now + Duration::from_millis(900);
    let others: Vec<u32> =
        scheduler.in_flight.keys().copied().filter(|p| *p != slow_fetch.piece).collect();
    for piece in others {
        scheduler.mark_held(piece, now + Duration::from_millis(40));
    }
    scheduler.mark_held(slow_fetch.piece, later);
    let fetches = scheduler.next_fetches(later);
    assert_eq!(fetches[0].source, Source::Peer(ip(3)));
    assert_eq!(fetches[1].source, Source::Peer(ip(3)));
}

/// Guards against a congested link delaying requests for the endpoint: they came a second late
/// behind eight pieces in flight.
#[test]
fn fewer_pieces_are_in_flight_on_a_congested_link() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(1, 96, &[1, 2, 3, 4, 5], &[9], now);
    let peers = 2..=5;
    let send_inventories = |scheduler: &mut FetchScheduler, now| {
        peers.clone().for_each(|n| scheduler.handle_inventory(ip(n), holds_all(96, now)));
    };
    send_inventories(&mut scheduler, now);
    let mut in_flight = scheduler.next_fetches(now);
    assert_eq!(in_flight.len(), 8);
    let mut max_in_flight = 0;
    for i in 0..60 {
        now += Duration::from_millis(216);
        send_inventories(&mut scheduler, now);
        let fetch = in_flight.remove(0);
        scheduler.mark_held(fetch.piece, now);
        in_flight.extend(scheduler.next_fetches(now));
        max_in_flight = if i < 30 { 0 } else { max_in_flight.max(in_flight.len()) };
    }
    // Requests queue for half a second behind the pieces in flight instead of 1.7 s.
    assert!(max_in_flight <= 3, "{max_in_flight}");
}

#[test]
fn owners_fetch_several_pieces_from_another_zone_in_parallel() {
    let now = Instant::now();
    let mut scheduler = scheduler(4, 12, &[4, 5], &[1, 2], now);
    scheduler.mark_alive(ip(5), now);
    let pieces: Vec<u32> = scheduler.next_fetches(now).iter().map(|fetch| fetch.piece).collect();
    assert_eq!(pieces.len(), FetchSettings::default().max_other_zone_fetches);
    assert!(pieces.iter().all(|piece| piece % 2 == 0), "{pieces:?}");
}

#[test]
fn the_inventory_of_a_silent_neighbour_expires() {
    let now = Instant::now();
    let mut scheduler = scheduler(2, 1, &[1, 2], &[], now);
    scheduler.handle_inventory(ip(1), holds_all(1, now));
    let fetch = scheduler.next_fetches(now)[0];
    assert_eq!(fetch.source, Source::Peer(ip(1)));
    let late = now + FetchSettings::default().inventory_timeout;
    scheduler.handle_failure(fetch, FetchFailure::Failed, now);
    assert_eq!(scheduler.next_fetches(late), [Fetch { piece: 0, source: Source::Origin }]);
}

/// Simulates rounds in which each member fetches as many pieces as its link carries. Returns the
/// rounds until all members hold all pieces, and the fetches from the origin.
fn simulate(zones: &[&[u8]], seeds: &[u8]) -> (usize, usize) {
    const COUNT: u32 = 48;
    let start = Instant::now();
    let origin_zone = zones[0];
    let mut schedulers: Vec<(u8, &[u8], FetchScheduler)> = Vec::new();
    for zone in zones {
        for &me in *zone {
            let other_zone: &[u8] = if zone == &origin_zone { &[] } else { origin_zone };
            let mut scheduler = scheduler(me, COUNT, zone, other_zone, start);
            if seeds.contains(&me) {
                (0..COUNT).for_each(|piece| scheduler.mark_held(piece, start));
            }
            schedulers.push((me, zone, scheduler));
        }
    }
    let mut from_origin = 0;
    for round in 0..400 {
        let now = start + Duration::from_millis(30 * round as u64);
        let holdings: Vec<(u8, PieceSet)> =
            schedulers.iter().map(|(me, _, s)| (*me, s.held().clone())).collect();
        for (me, zone, scheduler) in &mut schedulers {
            for (from, pieces) in holdings.iter().filter(|(n, _)| zone.contains(n) && n != me) {
                scheduler.handle_inventory(
                    ip(*from),
                    Neighbour { pieces: pieces.clone(), reported_at: now },
                );
            }
            for fetch in scheduler.next_fetches(now) {
                let available = match fetch.source {
                    Source::Origin => true,
                    Source::Peer(peer) => holdings
                        .iter()
                        .any(|(n, pieces)| ip(*n) == peer && pieces.contains(fetch.piece)),
                };
                from_origin += usize::from(fetch.source == Source::Origin);
                if available {
                    scheduler.mark_held(fetch.piece, now);
                } else {
                    scheduler.handle_failure(fetch, FetchFailure::Missing, now);
                }
            }
        }
        if schedulers.iter().all(|(_, _, s)| s.is_complete()) {
            return (round, from_origin);
        }
    }
    panic!("not all members got all pieces");
}

#[test]
fn a_new_version_is_read_from_the_origin_once() {
    let (rounds, from_origin) = simulate(&[&[1, 2, 3, 4, 5], &[11, 12, 13, 14], &[21, 22]], &[]);
    assert_eq!(from_origin, 48);
    assert!(rounds < 80, "{rounds}");
}

#[test]
fn empty_endpoints_copy_from_neighbours_without_the_origin() {
    let (rounds, from_origin) = simulate(&[&[1, 2, 3], &[11, 12, 13]], &[1, 11]);
    assert_eq!(from_origin, 0);
    assert!(rounds < 40, "{rounds}");
}

#[test]
fn one_stager_of_a_zone_reads_the_digests_and_others_take_over_in_turn() {
    let settings = FetchSettings::default();
    let at_once = (0..1000).filter(|rank| settings.digest_delay(*rank).is_zero()).count();
    assert_eq!(at_once, 1);
    assert!(settings.digest_delay(1) < settings.digest_delay(2));
    assert_eq!(settings.digest_delay(usize::MAX), settings.owner_fallback_delay);
}

#[test]
fn a_large_zone_reads_the_origin_through_few_members_that_cover_all_pieces() {
    let now = Instant::now();
    let members: Vec<u8> = (1..=53).collect();
    let mut fetching = 0;
    let mut owned = PieceSet::default();
    for me in &members {
        let mut scheduler = scheduler(*me, 96, &members, &[], now);
        let fetches = scheduler.next_fetches(now);
        assert!(fetches.iter().all(|fetch| fetch.source == Source::Origin));
        fetching += usize::from(!fetches.is_empty());
        let mut next = fetches;
        while let Some(fetch) = next.pop() {
            owned.insert(fetch.piece);
            scheduler.mark_held(fetch.piece, now);
            next.extend(scheduler.next_fetches(now));
        }
    }
    assert_eq!(fetching, FetchSettings::default().max_owners);
    assert_eq!(owned.len(), 96);
}

#[test]
fn any_member_of_a_large_zone_takes_over_when_the_owners_are_silent() {
    let now = Instant::now();
    let members: Vec<u8> = (1..=53).collect();
    let settings = FetchSettings::default();
    let late = now + settings.member_timeout.max(settings.inventory_timeout);
    let mut scheduler = scheduler(40, 96, &members, &[], now);
    assert_eq!(scheduler.next_fetches(now), []);
    assert!(!scheduler.next_fetches(late).is_empty());
}

/// Guards against several copies on the link of an origin that returns: while it was down, members took
/// over from owners that were not at fault, and those of other zones went to the origin too.
#[test]
fn only_owners_and_probers_ask_an_origin_that_returns() {
    let start = Instant::now();
    let settings = FetchSettings::default();
    let members: Vec<u8> = (1..=25).collect();
    let outage = Duration::from_secs(6);
    for me in &members {
        let mut attempts = 0;
        let mut scheduler = scheduler(*me, 64, &members, &[], start);
        for time in (0..60).map(|n| start + outage * n / 60) {
            members.iter().for_each(|n| scheduler.mark_alive(ip(*n), time));
            for fetch in scheduler.next_fetches(time) {
                attempts += 1;
                scheduler.handle_failure(fetch, FetchFailure::Failed, time);
            }
        }
        let is_prober = *me as usize <= settings.max_origin_probers;
        let is_owner = *me as usize <= settings.max_owners;
        let max_attempts = match (is_prober, is_owner) {
            (true, _) => 61,
            (false, true) => 4,
            // It takes over once, as nobody has told it that the origin is down.
            (false, false) => 1,
        };
        assert!(attempts <= max_attempts, "{me}: {attempts}");
        let returned = start + outage;
        let at_once = scheduler.next_fetches(returned);
        assert!(at_once.len() <= 1, "{me}: {at_once:?}");
        // The first member to get a piece tells the others, and owners fetch their own pieces.
        let holds_one = Neighbour { pieces: [63].into_iter().collect(), reported_at: returned };
        scheduler.handle_inventory(ip(if *me == 1 { 2 } else { 1 }), holds_one);
        let told = returned + settings.origin_probe_delay;
        let fetches = scheduler.next_fetches(told);
        let from_origin = fetches.iter().filter(|fetch| fetch.source == Source::Origin);
        assert!(is_owner || from_origin.count() == 0, "{me}: {fetches:?}");
    }
}

/// Guards against an origin that all members of all zones ask for the list of digests five times a second
/// while it is down, and whose connections they use up when it returns.
#[test]
fn few_members_ask_an_origin_that_is_down_for_the_digests() {
    let start = Instant::now();
    let settings = FetchSettings::default();
    let members: Vec<u8> = (1..=25).collect();
    for me in &members {
        let rank = usize::from(*me) - 1;
        let mut scheduler = scheduler(*me, 64, &members, &[], start);
        let mut requests = 0;
        for time in (0..60).map(|n| start + n * settings.origin_probe_delay) {
            members.iter().for_each(|n| scheduler.mark_alive(ip(*n), time));
            if scheduler.may_fetch_digests(rank, time) {
                requests += 1;
                scheduler.record_list_answer(false, time);
            }
        }
        let is_prober = rank < settings.max_origin_probers;
        assert!(if is_prober { requests >= 50 } else { requests <= 3 }, "{me}: {requests}");
    }
    // Once the list is here, owners fetch their pieces as if nothing had been.
    let mut owner = scheduler(12, 64, &members, &[], start);
    owner.record_list_answer(false, start);
    assert_eq!(owner.next_fetches(start), []);
    owner.record_list_answer(true, start);
    assert_eq!(owner.next_fetches(start).len(), 1);
}

/// Guards against a zone that fetches from the origin since that is down and the origin's zone, though
/// alive, has nothing.
#[test]
fn another_zone_leaves_the_origin_to_a_zone_that_responds() {
    let start = Instant::now();
    let mut scheduler = scheduler(4, 2, &[4], &[1, 2], start);
    let settings = FetchSettings::default();
    let step = Duration::from_millis(250);
    let mut now = start;
    while now + step < start + settings.max_outage {
        for fetch in scheduler.next_fetches(now) {
            assert_ne!(fetch.source, Source::Origin);
            scheduler.handle_failure(fetch, FetchFailure::Missing, now);
        }
        // All members of the origin's zone have just been asked.
        let more = scheduler.next_fetches(now);
        assert!(more.iter().all(|fetch| fetch.source != Source::Origin), "{more:?}");
        more.into_iter().for_each(|f| scheduler.handle_failure(f, FetchFailure::Missing, now));
        now += step;
    }
    // After a long time it asks the origin in any case, as the zone may lack a way to it.
    let late = start + settings.max_outage;
    for fetch in scheduler.next_fetches(late) {
        scheduler.handle_failure(fetch, FetchFailure::Failed, late);
    }
    let fetches = scheduler.next_fetches(late);
    assert!(fetches.iter().any(|fetch| fetch.source == Source::Origin), "{fetches:?}");
}

/// Guards against all pieces of a large zone arriving late and together: many at a time shared the
/// origin's link, and the first could be passed on only after a second.
#[test]
fn a_large_zone_has_few_fetches_from_the_origin_at_a_time() {
    let now = Instant::now();
    let members: Vec<u8> = (1..=25).collect();
    let fetches = members.iter().map(|me| scheduler(*me, 64, &members, &[], now).next_fetches(now));
    let count: usize = fetches.map(|fetches| fetches.len()).sum();
    assert_eq!(count, FetchSettings::default().max_zone_origin_fetches);
}

/// Guards against all members of a large zone asking the only holder of a new piece at once, whose link
/// then carries 24 copies while theirs are idle.
#[test]
fn a_new_piece_spreads_from_few_members_to_all() {
    let now = Instant::now();
    let settings = FetchSettings::default();
    let members: Vec<u8> = (1..=25).collect();
    let fetching = |holders: &[u8], at: Instant| {
        let others = members.iter().filter(|me| !holders.contains(me));
        let asks = |me: &&u8| {
            let mut scheduler = scheduler(**me, 1, &members, &[9], now);
            for holder in holders {
                scheduler.handle_inventory(ip(*holder), holds_all(1, now));
            }
            !scheduler.next_fetches(at).is_empty()
        };
        others.filter(asks).count()
    };
    // The first member owns the piece.
    assert_eq!(fetching(&[1], now), 3);
    assert_eq!(fetching(&[1, 2, 3, 4], now), 9);
    // If those do not get it, all others fetch it.
    assert_eq!(fetching(&[1], now + settings.spread_delay), 24);
}
