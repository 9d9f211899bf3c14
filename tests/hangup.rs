//! Guards against processes that end as the platform tells them, while they start, that their settings have changed.

use std::{
    io::Write,
    os::unix::process::ExitStatusExt,
    process::{Child, Command, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};

/// Size of the settings in bytes, more than a pipe holds: once they are written, the process reads them.
const SETTINGS_BYTES: usize = 1 << 20;

/// Starts a process that reads its settings from standard input.
fn start(command: &str) -> Child {
    Command::new(env!("CARGO_BIN_EXE_carawaypaddle"))
        .args([command, "--node", "/dev/stdin"])
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

#[test]
fn a_process_that_reads_its_settings_outlives_a_hangup() {
    for command in ["gateway", "stager"] {
        let mut child = start(command);
        let mut settings = child.stdin.take().unwrap();
        settings.write_all(&vec![b'\n'; SETTINGS_BYTES]).unwrap();
        kill_process(Pid::from_child(&child), Signal::HUP).unwrap();
        // It ends by itself, as these settings are not valid.
        drop(settings);
        let status = child.wait().unwrap();
        assert_eq!((status.signal(), status.code()), (None, Some(1)), "{command}");
    }
}
