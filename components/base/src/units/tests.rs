use super::*;

#[test]
fn units_round_trip() {
    for s in ["64MiB", "200MB", "1GB", "17B"] {
        assert_eq!(s.parse::<ByteSize>().unwrap().to_string(), s);
    }
    assert_eq!("12.5%".parse(), Ok(Permille(125)));
    assert_eq!("200MB/s".parse(), Ok(ByteRate(200_000_000)));
    assert_eq!("2/s".parse(), Ok(Rate(2.0)));
    assert_eq!("30s".parse(), Ok(Timeout(Duration::from_secs(30))));
}

#[test]
fn missing_units_and_invalid_values_are_rejected() {
    assert!("64".parse::<ByteSize>().is_err());
    assert!("200MB".parse::<ByteRate>().is_err());
    assert!("120%".parse::<Permille>().is_err());
    assert!("NaN/s".parse::<Rate>().is_err());
    assert!("30".parse::<Timeout>().is_err());
}
