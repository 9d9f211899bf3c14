use super::*;

fn parse_args(args: &[&str]) -> Result<Command, String> {
    parse(std::iter::once("carawaypaddle").chain(args.iter().copied()).map(OsString::from))
}

#[test]
fn commands_parse() {
    let entry = Command::Entry { settings: "e.yaml".into() };
    assert_eq!(parse_args(&["entry", "--settings", "e.yaml"]), Ok(entry));
    let query =
        ["explain", "--at", "10.0.0.1:7000", "--host", "h", "--path", "/v1", "--tokens", "8,2"];
    let Ok(Command::Explain(question)) = parse_args(&query) else { panic!("explain") };
    assert_eq!((question.query.path.as_str(), question.query.tokens), ("/v1", Some((8, 2))));
    assert!(matches!(parse_args(&["status", "--help"]), Ok(Command::Print(_))));
}

#[test]
fn usage_errors_give_a_hint() {
    for args in [
        &[][..],
        &["fly"],
        &["entry"],
        &["check"],
        &["status", "--at", "nowhere"],
        &["explain", "--at", "10.0.0.1:7000", "--host", "h"],
        &["explain", "--at", "10.0.0.1:7000", "--host", "h", "--path", "v1"],
        &["explain", "--at", "10.0.0.1:7000", "--host", "h", "--path", "/", "--tokens", "8"],
        &["entry", "--settings", "a", "--colour"],
    ] {
        let err = parse_args(args).unwrap_err();
        assert!(err.contains("Try: carawaypaddle"), "{err}");
    }
}
