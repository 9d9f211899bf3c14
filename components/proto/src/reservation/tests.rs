use super::*;

#[test]
fn a_reservation_survives_formatting_and_parsing() {
    let vm: VmId = "a+b".parse().unwrap();
    let reservation = Reservation { vm, incarnation: Incarnation(7), stamp: 9, nonce: 11 };
    assert_eq!(reservation.to_string().parse(), Ok(reservation));
    for text in ["", "reserved", "reserved+x", "reserved+vm+1+2", "order-17"] {
        assert_eq!(text.parse::<Reservation>(), Err(ReservationError));
    }
}
