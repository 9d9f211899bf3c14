use super::*;

#[test]
fn a_caller_that_was_refused_is_known_at_the_other_entries_of_the_zone() {
    let start = Instant::now();
    let (mut here, mut there) = (RecentRefusals::default(), RecentRefusals::default());
    let request = Digest([7; 32]);
    assert_eq!(here.first_requested(&request, start), None);
    here.record(&request, start);
    let now = start + Duration::from_millis(300);
    for news in here.take_pending(10, now) {
        there.record_remote(&news, now);
    }
    assert_eq!(there.first_requested(&request, now), Some(start));
    assert!(here.take_pending(10, now).is_empty());
    assert_eq!(there.first_requested(&Digest([8; 32]), now), None);
}

#[test]
fn refusals_are_forgotten() {
    let start = Instant::now();
    let mut refusals = RecentRefusals::default();
    refusals.record(&Digest([7; 32]), start);
    let late = start + EXPIRY;
    assert_eq!(refusals.first_requested(&Digest([7; 32]), late), None);
    refusals.expire(late);
    assert!(refusals.first_requested.is_empty());
}
