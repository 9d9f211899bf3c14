use super::*;

#[test]
fn ids_with_invalid_characters_are_rejected() {
    assert!("suva-1".parse::<VmId>().is_ok());
    for invalid in ["", "a b", "a/b", &"x".repeat(129)] {
        assert!(invalid.parse::<VmId>().is_err(), "{invalid:?}");
    }
}

#[test]
fn attempt_ids_round_trip() {
    let id = AttemptId(0xabc);
    assert_eq!(id.to_string().parse(), Ok(id));
    assert!("abc".parse::<AttemptId>().is_err());
}
