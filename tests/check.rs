//! Tests the output and exit codes of `check`, `plan` and usage errors.

use std::{
    path::PathBuf,
    process::{Command, Output},
};

const SETTINGS: &str = include_str!("../examples/settings/agent.yaml");
const MANIFEST: &str = include_str!("../examples/manifest/small.yaml");

fn run_command(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_carawaypaddle")).args(args).output().unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Writes `text` to a file in the temporary directory of the test run.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Replaces `from` by `to` in `text` and expects `check` to fail with a message that contains each
/// of `parts`.
fn expect_rejected(option: &str, name: &str, text: &str, from: &str, to: &str, parts: &[&str]) {
    assert!(text.contains(from), "{name}: {from:?} is not in the example");
    let path = write_file(name, &text.replacen(from, to, 1));
    let output = run_command(&["check", option, path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1), "{name}");
    let message = stderr(&output);
    assert!(message.contains(name), "{name}: {message}");
    for part in parts {
        assert!(message.contains(part), "{name}: {part:?} is not in {message:?}");
    }
}

#[test]
fn valid_files_print_one_line() {
    for (option, text, name) in
        [("--settings", SETTINGS, "good-settings.yaml"), ("--manifest", MANIFEST, "good.yaml")]
    {
        let path = write_file(name, text);
        let output = run_command(&["check", option, path.to_str().unwrap()]);
        assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
        assert_eq!(String::from_utf8_lossy(&output.stdout).lines().count(), 1);
    }
}

#[test]
fn invalid_settings_are_rejected_with_key_and_remedy() {
    let cases: [(&str, &str, &str, &[&str]); 8] = [
        ("s-unit.yaml", "200MB/s", "200", &["agent.link", "as in 200MB/s"]),
        ("s-size.yaml", "128MiB", "128", &["agent.memory", "as in 64MiB"]),
        ("s-host.yaml", "10.0.1.9:7000", "localhost:7000", &["control", "IP address"]),
        ("s-unknown.yaml", "drain: 30s", "drian: 30s", &["drian", "spelling"]),
        ("s-key.yaml", "replace-this-with-a-long-random-text", "short", &["peer_key", "16 bytes"]),
        ("s-missing.yaml", "zone: suva-a\n", "", &["zone", "add the key"]),
        ("s-kind.yaml", "kind: model", "kind: engine", &["agent.kind", "use one of"]),
        ("s-id.yaml", "vm: model-suva-1", "vm: 'model suva'", &["vm", "letters"]),
    ];
    for (name, from, to, parts) in cases {
        expect_rejected("--settings", name, SETTINGS, from, to, parts);
    }
}

#[test]
fn invalid_manifests_are_rejected_with_key_and_remedy() {
    let cases: [(&str, &str, &str, &[&str]); 12] = [
        ("m-shares.yaml", "share: 60%", "share: 70%", &["workspaces", "lower them to 100%"]),
        ("m-unit.yaml", "share: 60%", "share: 60", &["workspaces[0].share", "percentage"]),
        ("m-rate.yaml", "200/s", "200", &["workspaces[0].requests", "as in 200/s"]),
        ("m-size.yaml", "64MiB", "64", &["models[0].versions[0].size", "as in 64MiB"]),
        ("m-twice.yaml", "id: dealers\n", "id: counter\n", &["workspaces[1].id", "own id"]),
        ("m-version.yaml", "version: v1 }", "version: v9 }", &["rollouts[0].model.version", "v9"]),
        ("m-service.yaml", "service: assistant", "service: orders", &["rollouts[0].service"]),
        ("m-plain.yaml", "service: assistant", "service: order-desk", &["kind model"]),
        ("m-workspace.yaml", "workspace: counter", "workspace: x", &["rollouts[0].workspace"]),
        ("m-floor.yaml", "floor: 1", "floor: 9", &["rollouts[0].floor", "at most 2"]),
        ("m-unknown.yaml", "canary: 1", "canaries: 1", &["rollouts[0].canaries", "spelling"]),
        ("m-origin.yaml", "percent: 150", "percent: 50", &["origin.percent", "at least 100"]),
    ];
    for (name, from, to, parts) in cases {
        expect_rejected("--manifest", name, MANIFEST, from, to, parts);
    }
}

#[test]
fn every_problem_of_a_manifest_is_reported() {
    let text = MANIFEST.replace("share: 60%", "share: 70%").replace("floor: 1", "floor: 9");
    let path = write_file("m-two.yaml", &text);
    let output = run_command(&["check", "--manifest", path.to_str().unwrap()]);
    assert_eq!(stderr(&output).lines().count(), 2);
}

#[test]
fn usage_errors_exit_2_with_a_hint() {
    for args in [&[][..], &["fly"], &["check"], &["status"], &["entry", "--colour"]] {
        let output = run_command(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert!(stderr(&output).contains("Try: carawaypaddle"), "{args:?}");
    }
    for command in ["entry", "agent", "check", "plan", "status", "audit"] {
        assert!(run_command(&[command, "--help"]).status.success(), "{command}");
    }
    assert!(run_command(&["--version"]).status.success());
}

#[test]
fn plan_prints_each_rollout_and_share() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let manifest = root.join("examples/manifest/tuilagi.yaml");
    let vms = root.join("examples/vms/tuilagi.yaml");
    let args = ["plan", "--manifest", manifest.to_str().unwrap(), "--vms", vms.to_str().unwrap()];
    let output = run_command(&args);
    assert!(output.status.success(), "{}", stderr(&output));
    let table = String::from_utf8_lossy(&output.stdout).into_owned();
    for part in ["counter-main", "labasa-main", "transport-authority"] {
        assert!(table.contains(part), "{part}: {table}");
    }
    let output = run_command(&[&args[..], &["--json"]].concat());
    let plan: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(plan["vms"], 16);
}
