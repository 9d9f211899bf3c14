use super::*;

#[test]
fn a_path_leads_back_to_its_call() {
    let service: ServiceId = "plain".parse().unwrap();
    for call in [PeerRequest::Fleet(service), PeerRequest::Digests(7), PeerRequest::Piece(7, 95)] {
        assert_eq!(PeerRequest::parse(&call.path()), Some(call));
    }
}

#[test]
fn other_paths_are_no_calls() {
    for path in ["", "/", "/fleet", "/fleet/a b", "/digests/x", "/pieces/1", "/pieces/1/2/3"] {
        assert_eq!(PeerRequest::parse(path), None, "{path}");
    }
}
