use super::*;

#[test]
fn ids_refuse_bad_characters() {
    assert!("suva-1".parse::<VmId>().is_ok());
    for bad in ["", "a b", "a/b", &"x".repeat(129)] {
        assert!(bad.parse::<VmId>().is_err(), "{bad:?}");
    }
}

#[test]
fn attempt_ids_round_trip() {
    let id = AttemptId(0xabc);
    assert_eq!(id.to_string().parse(), Ok(id));
    assert!("abc".parse::<AttemptId>().is_err());
}
