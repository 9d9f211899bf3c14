use super::*;

#[test]
fn text_and_back() {
    let vm: VmId = "a+b".parse().unwrap();
    let reservation = Reservation { vm, incarnation: Incarnation(7), stamp: 9, nonce: 11 };
    assert_eq!(reservation.to_string().parse(), Ok(reservation));
    for text in ["", "reserved", "reserved+x", "reserved+vm+1+2", "order-17"] {
        assert_eq!(text.parse::<Reservation>(), Err(ReservationError));
    }
}
