use super::*;

const VALID: &str = "
vm: entry-1
zone: suva-a
region: suva
control: 127.0.0.1:7000
data: 127.0.0.1:7001
peer_key: 0123456789abcdef0123
platform:
  config: ['127.0.0.1:7100']
  vms: ['127.0.0.1:7100']
  store: 127.0.0.1:7200
  origin: 127.0.0.1:7300
entry:
  callers: 127.0.0.1:8080
";

#[test]
fn valid_settings_load() {
    let settings = Settings::parse(VALID).unwrap();
    assert_eq!(settings.vm.as_str(), "entry-1");
    assert!(settings.entry.is_some());
}

#[test]
fn problems_name_the_key() {
    let cases = [
        ("callers: 127.0.0.1:8080", "callers: localhost:8080", "entry.callers"),
        ("zone: suva-a", "zone: 'suva a'", "zone"),
        ("peer_key: 0123456789abcdef0123", "peer_key: short", "peer_key"),
        ("config: ['127.0.0.1:7100']", "config: []", "platform.config"),
        ("data: 127.0.0.1:7001", "data: 127.0.0.1:7000", "data"),
        ("region: suva", "region: suva\ncolour: red", "colour"),
    ];
    for (from, to, key) in cases {
        let problems = Settings::parse(&VALID.replace(from, to)).unwrap_err();
        assert_eq!(problems[0].key, key, "{problems:?}");
    }
}
