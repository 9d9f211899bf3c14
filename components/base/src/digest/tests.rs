use super::*;

#[test]
fn digests_round_trip() {
    let digest = Digest::of(b"weights");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert!("12".parse::<Digest>().is_err());
}

#[test]
fn the_short_form_is_the_beginning_of_the_digest() {
    let mut digest = Digest([9; 32]);
    digest.0[..8].copy_from_slice(&7u64.to_le_bytes());
    assert_eq!(digest.short(), 7);
}
