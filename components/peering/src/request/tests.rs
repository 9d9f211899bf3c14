use super::*;

#[test]
fn a_path_parses_to_its_request() {
    let service: ServiceId = "plain".parse().unwrap();
    for request in [
        PeerRequest::Fleet(service.clone(), None),
        PeerRequest::Fleet(service, "zone-1".parse().ok()),
        PeerRequest::Changes { era: 2, revision: 41, compressed: false },
        PeerRequest::Changes { era: 2, revision: 41, compressed: true },
        PeerRequest::Digests(7),
        PeerRequest::Piece(7, 95),
        PeerRequest::Explain,
    ] {
        assert_eq!(PeerRequest::parse(&request.path()), Some(request));
    }
}

#[test]
fn other_paths_are_rejected() {
    for path in [
        "",
        "/",
        "/fleet",
        "/fleet/a b",
        "/digests/x",
        "/pieces/1",
        "/changes/41",
        "/pieces/1/2/3",
        "/explain/x",
    ] {
        assert_eq!(PeerRequest::parse(path), None, "{path}");
    }
}
