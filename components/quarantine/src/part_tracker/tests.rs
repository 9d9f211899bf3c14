use super::*;

const SHARED: PartKey = PartKey(1);
const DEADLY: PartKey = PartKey(2);

fn tracker() -> PartTracker {
    PartTracker::new(PartTrackerSettings::default())
}

fn lost(request: u64, parts: &[PartKey], at: Instant) -> LostRequest {
    LostRequest { request, parts: parts.to_vec(), at }
}

/// Loses `count` different requests one second apart, and returns what is refused after the last.
fn lose_all(
    tracker: &mut PartTracker,
    count: u64,
    parts: &[PartKey],
    start: Instant,
) -> Option<PartKey> {
    let mut refused = None;
    for request in 0..count {
        let at = start + Duration::from_secs(request);
        refused = tracker.record_loss(&lost(request, parts, at), at);
    }
    refused
}

/// Requests that shared a part crashed endpoint after endpoint, as each request was new.
#[test]
fn a_part_that_different_requests_were_lost_with_is_refused() {
    let (mut tracker, now) = (tracker(), Instant::now());
    assert_eq!(lose_all(&mut tracker, 2, &[DEADLY], now), None);
    let at = now + Duration::from_secs(2);
    assert_eq!(tracker.record_loss(&lost(9, &[DEADLY], at), at), Some(DEADLY));
    assert!(tracker.is_refused(DEADLY));
}

/// Of the parts of requests that crash endpoints, those that sound requests share must stay usable.
#[test]
fn a_part_that_is_answered_meanwhile_is_not_refused() {
    let (mut tracker, now) = (tracker(), Instant::now());
    let both: &[PartKey] = &[DEADLY, SHARED];
    lose_all(&mut tracker, 2, both, now);
    assert!(tracker.record_answer(SHARED, now + Duration::from_millis(1500)));
    let at = now + Duration::from_secs(2);
    assert_eq!(tracker.record_loss(&lost(9, both, at), at), Some(DEADLY));
    assert!(!tracker.is_refused(SHARED));
}

/// Nothing tells two parts apart that always come together; the one that fewer requests share is refused.
#[test]
fn of_two_parts_with_equal_losses_the_last_is_refused() {
    let both: &[PartKey] = &[SHARED, DEADLY];
    let (mut tracker, now) = (tracker(), Instant::now());
    assert_eq!(lose_all(&mut tracker, 3, both, now), Some(DEADLY));
    assert!(!tracker.is_refused(SHARED));
    // Later crashes with the refused part are no reason to refuse the other one.
    assert_eq!(lose_all(&mut tracker, 6, both, now + Duration::from_secs(3)), None);
    assert!(!tracker.is_refused(SHARED));
    // Crashes without it are.
    let start = now + Duration::from_secs(20);
    assert_eq!(lose_all(&mut tracker, 3, &[SHARED], start), Some(SHARED));
}

/// A fault that crashes many endpoints at once must not have what was in progress there refused.
#[test]
fn losses_at_the_same_time_count_once() {
    let (mut tracker, now) = (tracker(), Instant::now());
    for request in 0..50 {
        let at = now + Duration::from_millis(request % 100);
        assert_eq!(tracker.record_loss(&lost(request, &[SHARED], at), at), None);
    }
}

/// A single request that crashes endpoints again and again says nothing about the parts of its prompt.
#[test]
fn losses_of_one_request_count_once() {
    let (mut tracker, now) = (tracker(), Instant::now());
    for second in 0..10 {
        let at = now + Duration::from_secs(second);
        assert_eq!(tracker.record_loss(&lost(7, &[SHARED], at), at), None);
    }
}

/// A crash that a refused part explains must not count against other requests at the same endpoint.
#[test]
fn bystanders_of_a_refused_part_are_not_refused() {
    let (mut tracker, now) = (tracker(), Instant::now());
    lose_all(&mut tracker, 3, &[DEADLY], now);
    for second in 3..20 {
        let at = now + Duration::from_secs(second);
        tracker.record_loss(&lost(second, &[DEADLY], at), at);
        assert_eq!(tracker.record_loss(&lost(100 + second, &[SHARED], at), at), None);
    }
    assert!(!tracker.is_refused(SHARED));
}

#[test]
fn an_answer_lifts_a_refusal_and_outweighs_older_reports() {
    let (mut tracker, now) = (tracker(), Instant::now());
    let at = now + Duration::from_secs(2);
    lose_all(&mut tracker, 3, &[SHARED], now);
    assert!(tracker.is_refused(SHARED));
    let answered = at + Duration::from_millis(1);
    assert!(tracker.record_answer(SHARED, answered));
    assert!(!tracker.is_refused(SHARED));
    assert!(!tracker.record_remote_refusal(SHARED, at, answered));
    assert_eq!(lose_all(&mut tracker, 3, &[SHARED], now), None);
    assert!(tracker.record_remote_refusal(SHARED, answered + Duration::from_secs(1), answered));
}

#[test]
fn an_answer_before_the_losses_clears_nothing() {
    let (mut tracker, now) = (tracker(), Instant::now() + Duration::from_secs(5));
    lose_all(&mut tracker, 2, &[DEADLY], now);
    assert!(!tracker.record_answer(DEADLY, now - Duration::from_secs(1)));
    let at = now + Duration::from_secs(2);
    assert_eq!(tracker.record_loss(&lost(9, &[DEADLY], at), at), Some(DEADLY));
}

#[test]
fn reports_of_other_processes_count_in_any_order() {
    let now = Instant::now() + Duration::from_secs(10);
    let mut losses: Vec<LostRequest> =
        (0..3).map(|n| lost(n, &[DEADLY], now + Duration::from_secs(n))).collect();
    losses.reverse();
    let mut tracker = tracker();
    let refused: Vec<Option<PartKey>> =
        losses.iter().map(|lost| tracker.record_loss(lost, now + Duration::from_secs(3))).collect();
    assert_eq!(refused, [None, None, Some(DEADLY)]);
}

#[test]
fn refusals_expire_after_the_last_crash() {
    let (mut tracker, now) = (tracker(), Instant::now());
    lose_all(&mut tracker, 5, &[DEADLY], now);
    let last = now + Duration::from_secs(4);
    let expiry = PartTrackerSettings::default().expiry;
    tracker.expire(last + expiry - Duration::from_secs(1));
    assert!(tracker.is_refused(DEADLY));
    tracker.expire(last + expiry);
    assert!(tracker.is_empty());
}

/// Processes that remind each other of refusals must not keep them for good.
#[test]
fn refusals_that_processes_tell_each_other_expire() {
    let (now, delay) = (Instant::now(), Duration::from_millis(100));
    let mut trackers = [tracker(), tracker(), tracker()];
    lose_all(&mut trackers[0], 3, &[DEADLY], now);
    let expiry = PartTrackerSettings::default().expiry;
    let mut at = now + Duration::from_secs(2);
    while at < now + expiry * 2 {
        for from in 0..trackers.len() {
            at += delay;
            let told: Vec<_> = trackers[from].refusals_to_tell(at - delay).collect();
            for (part, last) in told {
                for to in (0..trackers.len()).filter(|to| *to != from) {
                    // The age is taken before the message is on its way.
                    trackers[to].record_remote_refusal(part, last + delay, at);
                }
            }
            trackers.iter_mut().for_each(|tracker| tracker.expire(at));
        }
        let is_over = at > now + expiry + Duration::from_secs(4);
        let is_refused = trackers.iter().any(|tracker| tracker.is_refused(DEADLY));
        assert!(!is_over || !is_refused, "{:?}", at - now);
    }
    assert!(trackers.iter().all(PartTracker::is_empty));
}

/// Weights that crash every endpoint must not have everything refused.
#[test]
fn the_number_of_refused_parts_is_limited() {
    let (mut tracker, now) = (tracker(), Instant::now());
    for part in 0..100 {
        let start = now + Duration::from_secs(part * 10);
        lose_all(&mut tracker, 3, &[PartKey(part)], start);
    }
    assert_eq!(tracker.refused.len(), PartTrackerSettings::default().max_refused);
}

#[test]
fn the_memory_for_losses_is_limited() {
    let (mut tracker, now) = (tracker(), Instant::now());
    for n in 0..10_000 {
        let at = now + Duration::from_millis(n);
        tracker.record_loss(&lost(n, &[PartKey(n + 10), DEADLY], at), at);
    }
    assert!(tracker.histories.len() <= PartTrackerSettings::default().max_parts);
    assert!(tracker.crashes.len() <= MAX_CRASHES);
    assert!(tracker.histories.values().all(|history| history.0.len() <= MAX_LOSSES_PER_PART));
}

/// Random days: one part crashes each endpoint, others are merely in progress at crashes and answered at
/// other times. The deadly part is refused soon, and no other one for long.
#[test]
fn on_random_days_the_deadly_part_is_refused_and_no_other_stays_refused() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let (mut tracker, start) = (tracker(), Instant::now());
        let mut now = start;
        let mut crashes_before = 0;
        for request in 0..400 {
            now += Duration::from_millis(random.u64(50..400));
            let shared = PartKey(10 + random.u64(0..6));
            if !tracker.is_refused(DEADLY) && random.u8(0..10) == 0 {
                crashes_before += 1;
                let bystander = PartKey(10 + random.u64(0..6));
                tracker.record_loss(&lost(request, &[shared, DEADLY], now), now);
                tracker.record_loss(&lost(1000 + request, &[bystander], now), now);
            } else if !tracker.is_refused(shared) {
                tracker.record_answer(shared, now);
            }
            tracker.expire(now);
        }
        assert!(tracker.is_refused(DEADLY), "seed {seed}");
        assert!(crashes_before <= 5, "seed {seed}: {crashes_before}");
        let refused: Vec<PartKey> = tracker.refused.keys().copied().collect();
        assert_eq!(refused, [DEADLY], "seed {seed}");
    }
}
