use super::*;

fn record(request: &[u8], number: u64) -> CrashRecord {
    let vm = "model-0".parse().unwrap();
    let crash = CrashId { vm, incarnation: base::Incarnation(1), number };
    CrashRecord { fingerprint: Digest::of(request), crash, alone: false, age_ms: 0 }
}

#[test]
fn a_quarantine_expires() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LedgerSettings::default());
    let poison = Digest::of(b"poison");
    assert_eq!(ledger.note(&record(b"poison", 1), now), Noted::New);
    assert_eq!(ledger.verdict(&poison), Verdict::Suspect);
    assert_eq!(ledger.note(&record(b"poison", 2), now), Noted::New);
    assert_eq!(ledger.verdict(&poison), Verdict::Suspect);
    assert_eq!(ledger.note(&record(b"poison", 3), now), Noted::Quarantined);
    assert_eq!(ledger.verdict(&poison), Verdict::Quarantined);
    assert_eq!(ledger.tick(now + Duration::from_secs(599)), []);
    assert_eq!(ledger.tick(now + Duration::from_secs(600)), [poison]);
    assert_eq!(ledger.verdict(&poison), Verdict::Clear);
}

#[test]
fn one_crash_counts_once_however_often_it_is_told() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LedgerSettings::default());
    assert_eq!(ledger.note(&record(b"poison", 1), now), Noted::New);
    for _ in 0..10 {
        assert_eq!(ledger.note(&record(b"poison", 1), now), Noted::Known);
    }
    assert_eq!(ledger.verdict(&Digest::of(b"poison")), Verdict::Suspect);
    let told = ledger.records(64, now + Duration::from_secs(1));
    assert_eq!(told, [CrashRecord { age_ms: 1000, ..record(b"poison", 1) }]);
}

#[test]
fn a_record_keeps_its_age_on_its_way() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LedgerSettings::default());
    let old = CrashRecord { age_ms: 599_000, ..record(b"poison", 1) };
    assert_eq!(ledger.note(&old, now), Noted::New);
    ledger.tick(now + Duration::from_secs(1));
    assert_eq!(ledger.verdict(&old.fingerprint), Verdict::Clear);
    let expired = CrashRecord { age_ms: 600_000, ..old };
    assert_eq!(ledger.note(&expired, now), Noted::Known, "told in circles, it would never expire");
}

#[test]
fn an_answered_request_is_cleared_but_not_out_of_quarantine() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LedgerSettings::default());
    let common = Digest::of(b"hello");
    for number in 1..10 {
        ledger.note(&record(b"hello", number), now);
        assert_eq!(ledger.verdict(&common), Verdict::Suspect);
        ledger.answered(&common);
        assert_eq!(ledger.verdict(&common), Verdict::Clear);
    }
    for number in 10..13 {
        ledger.note(&record(b"hello", number), now);
    }
    ledger.answered(&common);
    assert_eq!(ledger.verdict(&common), Verdict::Quarantined);
}

#[test]
fn a_request_that_was_alone_at_a_crash_is_quarantined_sooner() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LedgerSettings::default());
    let alone = |number| CrashRecord { alone: true, ..record(b"poison", number) };
    assert_eq!(ledger.note(&alone(1), now), Noted::New, "once may be the endpoint's fault");
    assert_eq!(ledger.note(&record(b"poison", 2), now), Noted::Quarantined);
}
