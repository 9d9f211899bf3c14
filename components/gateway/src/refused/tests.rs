use super::*;

#[test]
fn a_refused_request_is_recognized_by_the_other_gateways_of_the_zone() {
    let start = Instant::now();
    let (mut local, mut remote) = (RecentRefusals::default(), RecentRefusals::default());
    let request = Digest([7; 32]);
    assert_eq!(local.first_requested(&request, start), None);
    local.record(&request, start);
    let now = start + Duration::from_millis(300);
    for refusal in local.take_pending(10, now) {
        remote.record_remote(&refusal, now);
    }
    assert_eq!(remote.first_requested(&request, now), Some(start));
    assert!(local.take_pending(10, now).is_empty());
    assert_eq!(remote.first_requested(&Digest([8; 32]), now), None);
}

#[test]
fn refusals_expire() {
    let start = Instant::now();
    let mut refusals = RecentRefusals::default();
    refusals.record(&Digest([7; 32]), start);
    let late = start + EXPIRY;
    assert_eq!(refusals.first_requested(&Digest([7; 32]), late), None);
    refusals.expire(late);
    assert!(refusals.first_requested.is_empty());
}
