use super::*;
use base::{Incarnation, VmId};

fn key(text: &str, body: &str, authoritative: bool) -> KeyUse {
    let workspace = "counter".parse().unwrap();
    KeyUse {
        workspace,
        key: text.to_owned(),
        fingerprint: Digest::of(body.as_bytes()),
        authoritative,
    }
}

#[test]
fn a_key_runs_once_for_one_request() {
    let (now, clock) = (Instant::now(), Duration::from_secs(1));
    let mut keys = Keys::new(KeySettings::default());
    let key_use = key("k", "two plates", true);
    assert_eq!(keys.check(&key_use, clock, |_| false), Ok(()));
    keys.bind(&key_use, AttemptId(1));
    let used = Err(RefusalReason::KeyUsed { attempt: AttemptId(1) });
    assert_eq!(keys.check(&key_use, clock, |_| false), used);
    keys.finish(AttemptId(1), now);
    assert_eq!(keys.check(&key_use, clock, |_| false), used, "an ended attempt ran too");
    let other_use = key("k", "three plates", true);
    assert_eq!(keys.check(&other_use, clock, |_| false), Err(RefusalReason::KeyMismatch));
    assert_eq!(keys.check(&key_use, clock, |a| a == AttemptId(1)), Ok(()), "it never ran");
    keys.tick(now + Duration::from_secs(601));
    assert!(keys.is_empty());
}

#[test]
fn a_reservation_expires() {
    let vm: VmId = "a".parse().unwrap();
    let reservation = Reservation { vm, incarnation: Incarnation(1), stamp: 5_000, nonce: 1 };
    let key_use = key(&reservation.to_string(), "two plates", true);
    let keys = Keys::new(KeySettings::default());
    let check = |seconds| keys.check(&key_use, Duration::from_secs(seconds), |_| false);
    assert_eq!(check(5), Ok(()));
    assert_eq!(check(604), Ok(()));
    assert_eq!(check(605), Err(RefusalReason::KeyUnknown));
    assert_eq!(check(4), Err(RefusalReason::KeyUnknown), "from the future");
    let not_authoritative = KeyUse { authoritative: false, ..key_use.clone() };
    let refused = keys.check(&not_authoritative, Duration::from_secs(5), |_| false);
    assert_eq!(refused, Err(RefusalReason::KeyUnknown));
}

#[test]
fn a_full_table_refuses_new_keys_and_keeps_old_ones() {
    let mut keys = Keys::new(KeySettings { max_keys: 1, ..KeySettings::default() });
    keys.bind(&key("a", "", true), AttemptId(1));
    let refused = keys.check(&key("b", "", true), Duration::ZERO, |_| false);
    assert_eq!(refused, Err(RefusalReason::Busy));
    assert_eq!(keys.len(), 1);
}
