//! Reloads of a changed settings file, periodic and on SIGHUP.

use super::*;

const SETTINGS: &str = "node_name=vm-1\nip_address=127.0.0.1\nzone=a\nregion=r\nzones.a=r\n\
    internal_port_range=7700,7715\nplatform.address=127.0.0.1:9\n";

/// Creates a settings file for this test, and its watcher.
fn file(name: &str, text: &str) -> (PathBuf, SettingsFile) {
    let path = std::env::temp_dir().join(format!("lifecycle-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let process = platform::decode_settings(SETTINGS).unwrap();
    (path.clone(), SettingsFile::new(path, process))
}

#[test]
fn only_changed_settings_are_reported() {
    let (path, mut file) = file("change", SETTINGS);
    let log = telemetry::discard_logger();
    assert!(file.reload(false, &log).is_none());
    std::fs::write(&path, format!("{SETTINGS}unknown=1\n")).unwrap();
    assert!(file.reload(true, &log).is_none(), "an unknown field changes nothing");
    std::fs::write(&path, SETTINGS.replace("zone=a", "zone=b")).unwrap();
    let process = file.reload(false, &log).unwrap();
    assert_eq!(process.zone.as_str(), "b");
    assert!(file.reload(true, &log).is_none(), "it was reported before");
    std::fs::remove_file(path).unwrap();
}

#[test]
fn invalid_or_unreadable_settings_keep_the_previous_ones_in_force() {
    let (path, mut file) = file("unreadable", "node_name=vm-1\n");
    let log = telemetry::discard_logger();
    assert!(file.reload(false, &log).is_none());
    std::fs::remove_file(&path).unwrap();
    assert!(file.reload(true, &log).is_none());
    std::fs::write(&path, SETTINGS.replace("vm-1", "vm-2")).unwrap();
    assert_eq!(file.reload(false, &log).unwrap().vm.as_str(), "vm-2");
    std::fs::remove_file(path).unwrap();
}
