use super::*;

#[test]
fn a_piece_set_contains_the_inserted_pieces() {
    let pieces: PieceSet = [0, 9, 95].into_iter().collect();
    let held: Vec<u32> = (0..200).filter(|&p| pieces.contains(p)).collect();
    assert_eq!(held, [0, 9, 95]);
    assert_eq!(pieces.len(), 3);
    assert!(PieceSet::default().is_empty());
}

#[test]
fn a_datagram_survives_encoding_and_decoding() {
    let inventory = Inventory {
        version: 3,
        pieces: [1, 2].into_iter().collect(),
        digests: true,
        serving: Some(2),
        staged: false,
        loading: true,
        named: Some(NamedVersion { version: 3, age_ms: 40 }),
    };
    let relisted = Relisted { version: 3, revision: 1 };
    for message in [Message::Holding(inventory), Message::Relisted(relisted)] {
        assert_eq!(Message::decode(&message.encode().unwrap()).unwrap(), message);
    }
}

#[test]
fn arbitrary_bytes_are_rejected() {
    for len in 0..64 {
        let bytes: Vec<u8> = (0..len).map(|i| 0xff - i).collect();
        assert!(Message::decode(&bytes).is_err());
    }
}
