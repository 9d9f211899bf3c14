use super::*;

#[test]
fn a_caller_that_was_refused_is_known_at_the_other_entries_of_the_zone() {
    let start = Instant::now();
    let (mut here, mut there) = (Refusals::default(), Refusals::default());
    let request = Digest([7; 32]);
    assert_eq!(here.asked(&request, start), None);
    here.refused(&request, start);
    let now = start + Duration::from_millis(300);
    for news in here.take_news(10, now) {
        there.heard(&news, now);
    }
    assert_eq!(there.asked(&request, now), Some(start));
    assert!(here.take_news(10, now).is_empty());
    assert_eq!(there.asked(&Digest([8; 32]), now), None);
}

#[test]
fn refusals_are_forgotten() {
    let start = Instant::now();
    let mut refusals = Refusals::default();
    refusals.refused(&Digest([7; 32]), start);
    let late = start + LIFE;
    assert_eq!(refusals.asked(&Digest([7; 32]), late), None);
    refusals.tick(late);
    assert!(refusals.asked.is_empty());
}
