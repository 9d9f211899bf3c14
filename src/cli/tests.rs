use super::*;

fn parse_words(words: &[&str]) -> Result<Command, String> {
    parse(std::iter::once("carawaypaddle").chain(words.iter().copied()).map(OsString::from))
}

#[test]
fn commands_parse() {
    let entry = Command::Entry { settings: "e.yaml".into() };
    assert_eq!(parse_words(&["entry", "--settings", "e.yaml"]), Ok(entry));
    assert!(matches!(parse_words(&["status", "--help"]), Ok(Command::Print(_))));
}

#[test]
fn usage_errors_give_a_hint() {
    for words in [
        &[][..],
        &["fly"],
        &["entry"],
        &["check"],
        &["status", "--at", "nowhere"],
        &["entry", "--settings", "a", "--colour"],
    ] {
        let err = parse_words(words).unwrap_err();
        assert!(err.contains("Try: carawaypaddle"), "{err}");
    }
}
