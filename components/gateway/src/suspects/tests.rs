use super::*;

const VM: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

#[test]
fn a_request_lost_three_times_is_refused_by_all_gateways() {
    let now = Instant::now();
    let (mut local, mut remote) = (SuspectRequests::default(), SuspectRequests::default());
    let poison = fingerprint("/a/", None, b"body");
    for number in 0..2 {
        local.record_loss(poison, VM, number, now);
        let suspicions = local.take_pending(10, now);
        assert_eq!(suspicions.len(), 1);
        remote.record_remote(&suspicions[0], now);
        remote.record_remote(&suspicions[0], now);
    }
    assert!(!local.is_refused(&poison) && !remote.is_refused(&poison));
    remote.record_loss(poison, VM, 2, now);
    assert!(remote.is_refused(&poison));
    let suspicions = remote.take_pending(10, now);
    assert!(local.record_remote(&suspicions[0], now));
    assert!(local.is_refused(&poison));
    local.expire(now + EXPIRY);
    assert!(!local.is_refused(&poison));
}

#[test]
fn losses_in_quick_succession_are_reported_together_with_their_ages() {
    let start = Instant::now();
    let mut suspects = SuspectRequests::default();
    let request = fingerprint("/a/", None, b"body");
    for number in 0..30 {
        suspects.record_loss(request, VM, number, start);
    }
    let now = start + Duration::from_millis(120);
    let first = suspects.take_pending(24, now);
    assert_eq!(first.len(), 24);
    assert!(first.iter().all(|suspicion| suspicion.age_ms == 120));
    assert_eq!(suspects.take_pending(24, now).len(), 6);
    assert!(suspects.take_pending(24, now).is_empty());
}

#[test]
fn an_answer_clears_a_request() {
    let now = Instant::now();
    let mut suspects = SuspectRequests::default();
    let request = fingerprint("/a/", None, b"body");
    suspects.record_loss(request, VM, 0, now);
    suspects.record_loss(request, VM, 1, now);
    suspects.record_answer(&request);
    suspects.record_loss(request, VM, 2, now);
    assert!(!suspects.is_refused(&request));
}

#[test]
fn fingerprints_depend_on_path_key_and_body() {
    let key = ApiKey("k".into());
    let all = [
        fingerprint("/a/", None, b"x"),
        fingerprint("/a/x", None, b""),
        fingerprint("/a/", Some(&key), b"x"),
        fingerprint("/a/", None, b"y"),
    ];
    for (i, one) in all.iter().enumerate() {
        assert!(all[i + 1..].iter().all(|other| other != one));
    }
}
