use super::*;

fn position_after(text: &str) -> EventPosition {
    let mut position = EventPosition::default();
    position.advance_all(text.as_bytes());
    position
}

#[test]
fn events_end_with_an_empty_line() {
    for (text, is_inside, events) in [
        ("", false, 0),
        ("data: a", true, 0),
        ("data: a\n", true, 0),
        ("data: a\n\n", false, 1),
        ("data: a\r\n\r", true, 0),
        ("data: a\r\n\r\n", false, 1),
        ("data: a\n\n\n\n", false, 1),
        ("data: a\n\nid: 1\ndata: b\n\n", false, 2),
        ("data: a:\n\n\ndata", true, 1),
    ] {
        let position = position_after(text);
        assert_eq!(position.is_inside_event(), is_inside, "{text:?}");
        assert_eq!(position.event_count(), events, "{text:?}");
    }
}

#[test]
fn comments_are_no_events() {
    assert_eq!(position_after(": wait\n\n: wait\n\n").event_count(), 0);
    assert_eq!(position_after(": wait\ndata: a\n\n").event_count(), 1);
    assert!(position_after(": wait").is_inside_event());
}

#[test]
fn the_end_of_the_last_event_in_the_data_is_found() {
    let mut position = EventPosition::default();
    assert_eq!(position.advance_all(b"data: a\n\ndata"), 9);
    assert_eq!(position.advance_all(b": b\n"), 0);
    assert_eq!(position.advance_all(b"\n"), 1);
}
