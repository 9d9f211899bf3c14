use super::*;

#[test]
fn changes_survive_encoding_and_decoding() {
    let changes = RelayedChanges::new(Duration::from_millis(70), b"{\"events\":[]}");
    let bytes = changes.encode().unwrap();
    assert_eq!(RelayedChanges::decode(&bytes).unwrap(), changes);
    assert!(RelayedChanges::decode(&bytes[..bytes.len() - 1]).is_err());
}
