use super::*;

fn record(request: &[u8], number: u64) -> CrashRecord {
    let vm = "model-0".parse().unwrap();
    let crash = CrashId { vm, incarnation: base::Incarnation(1), number };
    CrashRecord { fingerprint: Digest::of(request), crash, alone: false, age_ms: 0 }
}

#[test]
fn a_quarantine_expires() {
    let now = Instant::now();
    let mut ledger = CrashTracker::new(CrashTrackerSettings::default());
    let poison = Digest::of(b"poison");
    assert_eq!(ledger.record(&record(b"poison", 1), now), RecordEffect::New);
    assert_eq!(ledger.status(&poison), QuarantineStatus::Suspect);
    assert_eq!(ledger.record(&record(b"poison", 2), now), RecordEffect::New);
    assert_eq!(ledger.status(&poison), QuarantineStatus::Suspect);
    assert_eq!(ledger.record(&record(b"poison", 3), now), RecordEffect::Quarantined);
    assert_eq!(ledger.status(&poison), QuarantineStatus::Quarantined);
    assert_eq!(ledger.remove_expired(now + Duration::from_secs(599)), []);
    assert_eq!(ledger.remove_expired(now + Duration::from_secs(600)), [poison]);
    assert_eq!(ledger.status(&poison), QuarantineStatus::Clear);
}

#[test]
fn one_crash_counts_once_however_often_it_is_told() {
    let now = Instant::now();
    let mut ledger = CrashTracker::new(CrashTrackerSettings::default());
    assert_eq!(ledger.record(&record(b"poison", 1), now), RecordEffect::New);
    for _ in 0..10 {
        assert_eq!(ledger.record(&record(b"poison", 1), now), RecordEffect::AlreadyKnown);
    }
    assert_eq!(ledger.status(&Digest::of(b"poison")), QuarantineStatus::Suspect);
    let told = ledger.records(64, now + Duration::from_secs(1));
    assert_eq!(told, [CrashRecord { age_ms: 1000, ..record(b"poison", 1) }]);
}

#[test]
fn a_record_keeps_its_age_on_its_way() {
    let now = Instant::now();
    let mut ledger = CrashTracker::new(CrashTrackerSettings::default());
    let old = CrashRecord { age_ms: 599_000, ..record(b"poison", 1) };
    assert_eq!(ledger.record(&old, now), RecordEffect::New);
    ledger.remove_expired(now + Duration::from_secs(1));
    assert_eq!(ledger.status(&old.fingerprint), QuarantineStatus::Clear);
    let expired = CrashRecord { age_ms: 600_000, ..old };
    assert_eq!(
        ledger.record(&expired, now),
        RecordEffect::AlreadyKnown,
        "told in circles, it would never expire"
    );
}

#[test]
fn an_answered_request_is_cleared_but_not_out_of_quarantine() {
    let now = Instant::now();
    let mut ledger = CrashTracker::new(CrashTrackerSettings::default());
    let common = Digest::of(b"hello");
    for number in 1..10 {
        ledger.record(&record(b"hello", number), now);
        assert_eq!(ledger.status(&common), QuarantineStatus::Suspect);
        ledger.record_answer(&common);
        assert_eq!(ledger.status(&common), QuarantineStatus::Clear);
    }
    for number in 10..13 {
        ledger.record(&record(b"hello", number), now);
    }
    ledger.record_answer(&common);
    assert_eq!(ledger.status(&common), QuarantineStatus::Quarantined);
}

#[test]
fn a_request_that_was_alone_at_a_crash_is_quarantined_sooner() {
    let now = Instant::now();
    let mut ledger = CrashTracker::new(CrashTrackerSettings::default());
    let alone = |number| CrashRecord { alone: true, ..record(b"poison", number) };
    assert_eq!(
        ledger.record(&alone(1), now),
        RecordEffect::New,
        "once may be the endpoint's fault"
    );
    assert_eq!(ledger.record(&record(b"poison", 2), now), RecordEffect::Quarantined);
}
