use super::*;

#[test]
fn the_trail_is_bounded_and_counts_evicted_entries() {
    let mut trail = AuditTrail::new(Logger::root(slog::Discard, slog::o!()));
    for _ in 0..MAX_ENTRIES + 10 {
        trail.record(Change::Draining, "test");
    }
    let page = trail.page(0);
    assert_eq!(page.lost, 10);
    assert_eq!(page.entries.len(), MAX_ENTRIES);
    assert_eq!(trail.page(page.next).entries.len(), 0);
}
