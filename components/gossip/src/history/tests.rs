use super::*;

#[test]
fn the_history_is_bounded_in_number_and_bytes() {
    let mut history = History::default();
    for i in 1..=200 {
        history.push(Revision(i), Revision(i + 1), "x".repeat(100));
    }
    assert_eq!(history.changes.len(), MAX_CHANGES);
    assert!(history.since(Revision(1), usize::MAX).is_none());
    assert_eq!(history.since(Revision(198), usize::MAX).unwrap().len(), 3);
    assert!(history.since(Revision(198), 100).is_none(), "the whole is shorter");
    for i in 201..=210 {
        history.push(Revision(i), Revision(i + 1), "x".repeat(50 << 10));
    }
    assert!(history.bytes <= MAX_BYTES);
    history.push(Revision(211), Revision(212), "x".repeat(MAX_BYTES));
    assert!(history.changes.is_empty());
}
