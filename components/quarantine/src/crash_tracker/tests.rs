use super::*;

fn record(request: &[u8], number: u64) -> CrashRecord {
    let vm = "model-0".parse().unwrap();
    let crash = CrashId { vm, incarnation: base::Incarnation(1), number };
    CrashRecord { fingerprint: Digest::of(request), crash, alone: false, age_ms: 0 }
}

#[test]
fn a_quarantine_expires() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashTrackerSettings::default());
    let poison = Digest::of(b"poison");
    assert_eq!(tracker.record(&record(b"poison", 1), now), RecordEffect::New);
    assert_eq!(tracker.status(&poison), QuarantineStatus::Suspect);
    assert_eq!(tracker.record(&record(b"poison", 2), now), RecordEffect::New);
    assert_eq!(tracker.status(&poison), QuarantineStatus::Suspect);
    assert_eq!(tracker.record(&record(b"poison", 3), now), RecordEffect::Quarantined);
    assert_eq!(tracker.status(&poison), QuarantineStatus::Quarantined);
    assert_eq!(tracker.remove_expired(now + Duration::from_secs(599)), []);
    assert_eq!(tracker.remove_expired(now + Duration::from_secs(600)), [poison]);
    assert_eq!(tracker.status(&poison), QuarantineStatus::Clear);
}

#[test]
fn a_crash_counts_once_however_often_it_is_reported() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashTrackerSettings::default());
    assert_eq!(tracker.record(&record(b"poison", 1), now), RecordEffect::New);
    for _ in 0..10 {
        assert_eq!(tracker.record(&record(b"poison", 1), now), RecordEffect::AlreadyKnown);
    }
    assert_eq!(tracker.status(&Digest::of(b"poison")), QuarantineStatus::Suspect);
    let reported = tracker.records(64, now + Duration::from_secs(1));
    assert_eq!(reported, [CrashRecord { age_ms: 1000, ..record(b"poison", 1) }]);
}

#[test]
fn a_forwarded_record_keeps_its_age() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashTrackerSettings::default());
    let old = CrashRecord { age_ms: 599_000, ..record(b"poison", 1) };
    assert_eq!(tracker.record(&old, now), RecordEffect::New);
    tracker.remove_expired(now + Duration::from_secs(1));
    assert_eq!(tracker.status(&old.fingerprint), QuarantineStatus::Clear);
    let expired = CrashRecord { age_ms: 600_000, ..old };
    assert_eq!(
        tracker.record(&expired, now),
        RecordEffect::AlreadyKnown,
        "records sent around in circles would never expire"
    );
}

#[test]
fn an_answer_clears_a_suspect_but_not_a_quarantined_request() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashTrackerSettings::default());
    let common = Digest::of(b"hello");
    for number in 1..10 {
        tracker.record(&record(b"hello", number), now);
        assert_eq!(tracker.status(&common), QuarantineStatus::Suspect);
        tracker.record_answer(&common);
        assert_eq!(tracker.status(&common), QuarantineStatus::Clear);
    }
    for number in 10..13 {
        tracker.record(&record(b"hello", number), now);
    }
    tracker.record_answer(&common);
    assert_eq!(tracker.status(&common), QuarantineStatus::Quarantined);
}

#[test]
fn a_request_that_was_alone_at_a_crash_is_quarantined_sooner() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashTrackerSettings::default());
    let alone = |number| CrashRecord { alone: true, ..record(b"poison", number) };
    assert_eq!(
        tracker.record(&alone(1), now),
        RecordEffect::New,
        "a single crash may be the endpoint's fault"
    );
    assert_eq!(tracker.record(&record(b"poison", 2), now), RecordEffect::Quarantined);
}
