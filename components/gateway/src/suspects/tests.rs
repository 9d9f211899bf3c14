use super::*;

const VM: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

#[test]
fn a_request_that_is_lost_three_times_is_refused_wherever_it_was_lost() {
    let now = Instant::now();
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    let poison = fingerprint("/a/", None, b"body");
    for number in 0..2 {
        let suspicion = here.lost(poison, VM, number, now);
        there.heard(&suspicion, now);
        there.heard(&suspicion, now);
    }
    assert!(!here.refuses(&poison) && !there.refuses(&poison));
    let suspicion = there.lost(poison, VM, 2, now);
    assert!(there.refuses(&poison));
    assert!(here.heard(&suspicion, now));
    assert!(here.refuses(&poison));
    here.tick(now + EXPIRY);
    assert!(!here.refuses(&poison));
}

#[test]
fn an_answer_clears_a_request() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    let request = fingerprint("/a/", None, b"body");
    suspects.lost(request, VM, 0, now);
    suspects.lost(request, VM, 1, now);
    suspects.answered(&request);
    suspects.lost(request, VM, 2, now);
    assert!(!suspects.refuses(&request));
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
