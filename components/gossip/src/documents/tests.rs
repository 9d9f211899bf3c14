use super::*;

fn text(revision: u64) -> String {
    format!("revision: {revision}\nworkspaces: []\nservices: []\n")
}

/// Returns a manifest with one service named `service` and one named `other`.
fn manifest_text(revision: u64, service: &str) -> String {
    format!(
        "revision: {revision}\nworkspaces: []\n\
         services: [{{ id: {service}, kind: plain }}, {{ id: other, kind: plain }}]\n"
    )
}

fn offer(documents: &mut Documents, text: &str) -> OfferResult {
    documents.offer(DocumentKind::Manifest, text.as_bytes())
}

fn ask(documents: &Documents, have: u64) -> DocumentReply {
    let request = DocumentRequest { kind: DocumentKind::Manifest, have: Revision(have) };
    documents.reply(&request)
}

#[test]
fn revisions_only_grow() {
    let mut documents = Documents::default();
    assert_eq!(offer(&mut documents, &text(3)), OfferResult::Accepted(Revision(3)));
    assert_eq!(offer(&mut documents, &text(2)), OfferResult::NotNewer);
    assert!(matches!(offer(&mut documents, "revision: 9"), OfferResult::Refused { .. }));
    assert_eq!(documents.manifest().revision, Revision(3));
    assert!(documents.refused().is_some());
}

#[test]
fn a_refused_manifest_is_refused_once_until_a_good_one_comes() {
    let mut documents = Documents::default();
    offer(&mut documents, &text(3));
    assert!(matches!(offer(&mut documents, "revision: 9"), OfferResult::Refused { .. }));
    assert_eq!(offer(&mut documents, "revision: 9"), OfferResult::NotNewer);
    assert_eq!(offer(&mut documents, &text(10)), OfferResult::Accepted(Revision(10)));
    assert_eq!(documents.refused(), None);
}

#[test]
fn a_peer_that_is_a_little_behind_gets_the_changes_alone() {
    let (mut ahead, mut behind) = (Documents::default(), Documents::default());
    offer(&mut behind, &manifest_text(3, "desk"));
    for (revision, service) in [(3, "desk"), (4, "counter"), (6, "desk"), (7, "phone")] {
        offer(&mut ahead, &manifest_text(revision, service));
    }
    let reply = ask(&ahead, 3);
    // The full text of this small manifest is smaller than three changes.
    assert!(matches!(reply, DocumentReply::Whole(_)));
    let reply = ask(&ahead, 6);
    let DocumentReply::Manifest(deltas) = &reply else { panic!("{reply:?}") };
    assert_eq!(deltas.len(), 1);
    offer(&mut behind, &manifest_text(6, "desk"));
    let taken = behind.offer_reply(DocumentKind::Manifest, reply);
    assert_eq!(taken, OfferResult::Accepted(Revision(7)));
    assert_eq!(behind.manifest(), ahead.manifest());
    assert_eq!(ask(&ahead, 7), DocumentReply::Current);
}

#[test]
fn changes_from_an_unknown_or_other_base_are_not_taken() {
    let (mut ahead, mut other) = (Documents::default(), Documents::default());
    offer(&mut ahead, &manifest_text(3, "desk"));
    offer(&mut ahead, &manifest_text(4, "counter"));
    // Different content under the same revision.
    offer(&mut other, &manifest_text(3, "stable"));
    let changes = ask(&ahead, 3);
    assert!(matches!(changes, DocumentReply::Manifest(_)));
    let kind = DocumentKind::Manifest;
    assert_eq!(other.offer_reply(kind, changes.clone()), OfferResult::Mismatch);
    assert_eq!(other.manifest().revision, Revision(3));
    assert_eq!(other.offer_reply(kind, ask(&ahead, 0)), OfferResult::Accepted(Revision(4)));
    assert_eq!(other.manifest(), ahead.manifest());
    let mut empty = Documents::default();
    assert_eq!(empty.offer_reply(kind, changes), OfferResult::Mismatch);
}

#[test]
fn changes_that_lead_to_a_bad_manifest_are_refused() {
    let (mut ahead, mut behind) = (Documents::default(), Documents::default());
    for documents in [&mut ahead, &mut behind] {
        offer(documents, &manifest_text(3, "desk"));
    }
    offer(&mut ahead, &manifest_text(4, "counter"));
    let DocumentReply::Manifest(mut deltas) = ask(&ahead, 3) else { panic!() };
    // A faulty peer sends an invalid manifest, with two problems, under a digest that matches it.
    let mut bad = behind.manifest().clone();
    bad.origin.percent = 1;
    bad.revision = Revision(4);
    deltas[0] = behind.manifest().delta(&bad, Digest::of(bad.to_text().as_bytes()));
    let taken = behind.offer_reply(DocumentKind::Manifest, DocumentReply::Manifest(deltas));
    assert!(matches!(taken, OfferResult::Refused { .. }));
    assert_eq!(behind.manifest().revision, Revision(3));
}

#[test]
fn vm_lists_spread_by_changes_too() {
    let list = |revision: u64, names: &[&str]| {
        let vm = |name: &&str| {
            serde_json::json!({
                "id": name, "zone": "z", "region": "r", "role": "model", "state": "live",
                "control": "127.0.0.1:1", "data": "127.0.0.1:2",
            })
        };
        let vms: Vec<_> = names.iter().map(vm).collect();
        serde_json::json!({ "revision": revision, "vms": vms }).to_string()
    };
    let (mut ahead, mut behind) = (Documents::default(), Documents::default());
    let kind = DocumentKind::Vms;
    let names = ["c", "a", "b", "d"];
    for documents in [&mut ahead, &mut behind] {
        documents.offer(kind, list(1, &names).as_bytes());
    }
    ahead.offer(kind, list(2, &["b", "c", "d"]).as_bytes());
    let reply = ahead.reply(&DocumentRequest { kind, have: Revision(1) });
    assert!(matches!(reply, DocumentReply::Vms(_)));
    assert_eq!(behind.offer_reply(kind, reply), OfferResult::Accepted(Revision(2)));
    assert_eq!(behind.vms(), ahead.vms());
}
