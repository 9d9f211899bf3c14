use super::*;

#[test]
fn changes_survive_encoding_and_decoding() {
    let pages: Vec<&[u8]> = vec![b"{\"items\":[]}", b"{}"];
    let contents = [
        RelayedContent::None,
        RelayedContent::Changes(b"{\"events\":[]}"),
        RelayedContent::All { revision: 7, pages },
        RelayedContent::ChangesBody(RelayedBody::Compressed(b"x")),
        RelayedContent::AllBodies {
            revision: 7,
            pages: vec![RelayedBody::Plain(b"{}"), RelayedBody::Compressed(b"y")],
        },
    ];
    for content in contents {
        let changes = RelayedChanges::new(Duration::from_millis(70), content);
        let bytes = changes.encode().unwrap();
        assert_eq!(RelayedChanges::decode(&bytes).unwrap(), changes);
        assert!(RelayedChanges::decode(&bytes[..bytes.len() - 1]).is_err());
    }
}

#[test]
fn the_time_for_which_changes_may_be_unknown_is_never_shortened() {
    let age = Duration::from_micros(70_900);
    let changes = RelayedChanges::new(age, RelayedContent::None);
    assert_eq!(changes.known_age(), None);
    let bytes = changes.with_known_age(age).encode().unwrap();
    let known = RelayedChanges::decode(&bytes).unwrap().known_age().unwrap();
    assert!(known >= age, "{known:?}");
}
