use super::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token{id}\n\n")
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

fn push(events: &mut EventSplitter, text: &str) -> String {
    let out = events.push(Bytes::copy_from_slice(text.as_bytes()));
    String::from_utf8(out.to_vec()).unwrap()
}

#[test]
fn complete_events_are_forwarded_unchanged() {
    let mut all = EventSplitter::default();
    let text = events(1..=3);
    assert_eq!(push(&mut all, &text), text);
    assert_eq!(all.last_id(), Some(3));
}

#[test]
fn complete_events_come_out_in_order_wherever_the_data_is_split() {
    let text = events(1..=4);
    for cut in 0..text.len() {
        let mut all = EventSplitter::default();
        let mut out = push(&mut all, &text[..cut]);
        assert!(out.is_empty() || out.ends_with("\n\n"), "cut at {cut}");
        out += &push(&mut all, &text[cut..]);
        assert_eq!(out, text, "cut at {cut}");
        assert!(!all.is_inside_event() && all.partial_len() == 0);
    }
}

#[test]
fn a_resumed_stream_neither_duplicates_nor_merges_events() {
    let text = events(1..=6);
    for cut in 0..text.len() {
        let mut all = EventSplitter::default();
        let mut out = push(&mut all, &text[..cut]);
        all.resume();
        // The next endpoint may continue after the last event or start from the beginning.
        for from in [all.last_id().unwrap_or(0) + 1, 1] {
            let mut again = EventSplitter { last_id: all.last_id, ..EventSplitter::default() };
            again.resume();
            let more = push(&mut again, &events(from..=6));
            assert_eq!(out.clone() + &more, text, "cut at {cut}, from {from}");
        }
        out.clear();
    }
}

#[test]
fn crlf_line_endings_and_unknown_lines_are_accepted() {
    let mut all = EventSplitter::default();
    let text = "x-weight-versions: 3\r\nid:7\r\ndata: x\r\n\r\n";
    assert_eq!(push(&mut all, text), text);
    assert_eq!(all.last_id(), Some(7));
}

/// The end of a response inside an event was taken for its regular end, and the incomplete event was
/// forwarded.
#[test]
fn a_stream_that_ends_inside_an_event_is_told_from_a_whole_one() {
    let text = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n\n";
    let ends = ["\r\n\r\n", "\n\n", "\n\n\n"];
    let starts = ["id: 1", "id: 2"];
    for cut in 0..=text.len() {
        let mut all = EventSplitter::default();
        let out = push(&mut all, &text[..cut]);
        let is_whole = cut == 0 || ends.iter().any(|end| out.ends_with(end));
        assert_eq!(all.is_inside_event(), out.len() < cut, "cut at {cut}");
        assert!(text.starts_with(&out) && is_whole || out.is_empty(), "cut at {cut}");
        let count = starts.iter().filter(|start| out.contains(**start)).count();
        assert_eq!(all.event_count(), count as u64, "cut at {cut}");
    }
    let mut all = EventSplitter::default();
    assert_eq!(push(&mut all, text), text);
    assert!(!all.is_inside_event());
}

/// An incomplete event at the end of a response is not forwarded.
#[test]
fn trailing_data_without_an_empty_line_is_held_back() {
    let mut all = EventSplitter::default();
    assert_eq!(push(&mut all, "id: 1\ndata: a"), "");
    assert!(all.is_inside_event() && all.event_count() == 0);
    assert_eq!(all.partial_len(), "id: 1\ndata: a".len());
}

/// Bytes without the end of an event were forwarded in parts without end.
#[test]
fn bytes_without_the_end_of_an_event_are_noticed() {
    for filler in ["x", ": no event\n\n", "\n", "data: a\n"] {
        let mut all = EventSplitter::default();
        push(&mut all, "id: 1\ndata: a\n\n");
        let count = MAX_EVENT_BYTES / filler.len();
        push(&mut all, &filler.repeat(count));
        assert!(!all.is_endless(), "{filler:?}");
        push(&mut all, &filler.repeat(2));
        assert!(all.is_endless(), "{filler:?}");
    }
}

/// Events of any number are no reason to leave an endpoint, and a long one neither.
#[test]
fn long_and_many_events_are_forwarded() {
    let mut all = EventSplitter::default();
    let long = format!("data: {}\n\n", "x".repeat(MAX_EVENT_BYTES - 8));
    for _ in 0..4 {
        assert_eq!(push(&mut all, &long), long);
        assert!(!all.is_endless());
    }
    assert_eq!(push(&mut all, &long[..1000]), "");
    assert_eq!(push(&mut all, &long[1000..]), long);
}
