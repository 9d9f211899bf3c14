use super::*;

const VM: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

#[test]
fn a_request_that_is_lost_three_times_is_refused_wherever_it_was_lost() {
    let now = Instant::now();
    let (mut here, mut there) = (SuspectRequests::default(), SuspectRequests::default());
    let poison = fingerprint("/a/", None, b"body");
    for number in 0..2 {
        let suspicion = here.record_loss(poison, VM, number, now);
        there.record_remote(&suspicion, now);
        there.record_remote(&suspicion, now);
    }
    assert!(!here.is_refused(&poison) && !there.is_refused(&poison));
    let suspicion = there.record_loss(poison, VM, 2, now);
    assert!(there.is_refused(&poison));
    assert!(here.record_remote(&suspicion, now));
    assert!(here.is_refused(&poison));
    here.expire(now + EXPIRY);
    assert!(!here.is_refused(&poison));
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
fn path_caller_and_body_tell_requests_apart() {
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
