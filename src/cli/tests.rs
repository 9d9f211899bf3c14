use super::*;

fn parse_args(args: &[&str]) -> Result<Command, String> {
    parse(std::iter::once("carawaypaddle").chain(args.iter().copied()).map(OsString::from))
}

#[test]
fn commands_parse() {
    let entry = Command::Entry { settings: "e.yaml".into() };
    assert_eq!(parse_args(&["entry", "--settings", "e.yaml"]), Ok(entry));
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
        &["entry", "--settings", "a", "--colour"],
    ] {
        let err = parse_args(args).unwrap_err();
        assert!(err.contains("Try: carawaypaddle"), "{err}");
    }
}
