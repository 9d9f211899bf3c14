use super::*;

#[test]
fn digests_round_trip() {
    let digest = Digest::of(b"weights");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert!("12".parse::<Digest>().is_err());
}
