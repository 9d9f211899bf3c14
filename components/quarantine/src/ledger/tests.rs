use super::*;

#[test]
fn a_quarantine_expires() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LedgerSettings::default());
    let poison = Digest::of(b"poison");
    assert!(!ledger.crashed(poison, now));
    assert_eq!(ledger.verdict(&poison), Verdict::Suspect);
    assert!(ledger.crashed(poison, now));
    assert_eq!(ledger.verdict(&poison), Verdict::Quarantined);
    assert_eq!(ledger.tick(now + Duration::from_secs(601)), [poison]);
    assert_eq!(ledger.verdict(&poison), Verdict::Clear);
}
