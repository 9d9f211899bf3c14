use super::*;

const HORIZON: Duration = Duration::from_secs(5);

#[test]
fn keys_count_time_relative_to_now() {
    let now = Instant::now();
    let later = now + Duration::from_millis(1500);
    let second = Duration::from_secs(1);
    let key = |at: Instant, now| Key::of(&(at, "x"), now, HORIZON);
    assert_eq!(key(now + second, now), key(later + second, later));
    assert_ne!(key(now + second, now), key(now + second, later));
    assert_eq!(key(now, now + HORIZON), key(now, now + HORIZON * 2));
}

#[test]
fn keys_cover_all_fields() {
    let now = Instant::now();
    assert_ne!(Key::of(&(1, 2), now, HORIZON), Key::of(&(1, 3), now, HORIZON));
}

#[test]
fn keys_tell_the_order_of_close_times() {
    let now = Instant::now();
    let soon = now + Duration::from_micros(1);
    assert_ne!(Key::of(&(now, soon), soon, HORIZON), Key::of(&(soon, now), soon, HORIZON));
    let sooner = now + Duration::from_micros(2);
    assert_eq!(Key::of(&(now, soon), soon, HORIZON), Key::of(&(now, sooner), sooner, HORIZON));
}
