use super::*;

fn text(revision: u64) -> String {
    format!("revision: {revision}\nworkspaces: []\nservices: []\n")
}

#[test]
fn revisions_only_grow() {
    let mut documents = Documents::default();
    let mut offer = |t: &str| documents.offer(DocumentKind::Manifest, t.as_bytes());
    assert_eq!(offer(&text(3)), Taken::Accepted(Revision(3)));
    assert_eq!(offer(&text(2)), Taken::Old);
    assert!(matches!(offer("revision: 9"), Taken::Refused { .. }));
    assert_eq!(documents.manifest().revision, Revision(3));
    assert!(documents.refused().is_some());
}
