use super::*;

const GRACE: Duration = Duration::from_secs(2);

#[test]
fn endpoints_get_time_only_after_an_event_of_the_store() {
    let now = Instant::now();
    let mut grace = ReregistrationGrace::new(GRACE);
    assert_eq!(grace.explain_unlisted(now), Absence::Left);
    grace.record_outage(now);
    let until = now + GRACE;
    assert_eq!(grace.explain_unlisted(now), Absence::Outage { until });
    assert_eq!(grace.explain_removed(now), Absence::Outage { until });
    assert_eq!(grace.explain_unlisted(until), Absence::Left);
}

#[test]
fn a_restoration_explains_what_a_read_lacks_but_not_what_a_change_removes() {
    let now = Instant::now();
    let mut grace = ReregistrationGrace::new(GRACE);
    grace.record_restoration(now);
    let until = now + GRACE;
    assert_eq!(grace.explain_unlisted(now), Absence::Restoration { until });
    assert_eq!(grace.explain_removed(now), Absence::Left);
    assert_eq!(grace.explain_unlisted(until), Absence::Left);
}
