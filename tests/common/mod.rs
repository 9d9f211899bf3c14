//! Starts the binary in real processes that are killed when the test ends.

#[allow(dead_code, reason = "not every test file uses it")]
pub mod fleet;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
};

/// Peer key that the processes of a test share.
pub const PEER_KEY: &str = "peer-key-of-the-process-tests";

/// A running process of the binary.
pub struct Process {
    /// The child process; it is killed on drop.
    pub child: Child,
    /// Name and value of the addresses that it printed at start.
    addrs: Vec<(String, SocketAddr)>,
}

impl Process {
    /// Starts `command` with `settings` and waits for the line that lists its addresses.
    pub fn start(command: &str, name: &str, settings: &str) -> Process {
        let path = settings_file(name, settings);
        let mut child = Command::new(env!("CARGO_BIN_EXE_carawaypaddle"))
            .args([command, "--settings", path.to_str().unwrap()])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let pairs = line.split_whitespace().filter_map(|word| word.split_once('='));
        let addrs = pairs.map(|(name, addr)| (name.to_owned(), addr.parse().unwrap())).collect();
        Process { child, addrs }
    }

    /// Returns the address called `name`, such as `control`.
    pub fn addr(&self, name: &str) -> SocketAddr {
        self.addrs.iter().find(|(n, _)| n == name).unwrap().1
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail if the process has already exited and been reaped.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes a settings file to the temporary directory of the test run.
pub fn settings_file(name: &str, settings: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.yaml"));
    std::fs::write(&path, settings).unwrap();
    path
}

/// Addresses of the services that simulate the platform.
pub struct Platform {
    /// Configuration service, which also serves the VM list.
    pub config: SocketAddr,
    /// Weight store.
    pub store: SocketAddr,
    /// Origin of weights.
    pub origin: SocketAddr,
}

/// Settings of the VM `name`; `section` is the text of its `entry` or `agent` section.
pub fn settings(name: &str, platform: &Platform, section: &str) -> String {
    let Platform { config, store, origin } = platform;
    format!(
        "vm: {name}\nzone: zone-0\nregion: region-0\ncontrol: 127.0.0.1:0\ndata: 127.0.0.2:0\n\
         peer_key: {PEER_KEY}\ndrain: 10s\nplatform:\n  config: ['{config}']\n  \
         vms: ['{config}']\n  store: {store}\n  origin: {origin}\n{section}"
    )
}

/// Runs a command of the binary with `key` as the peer key in its environment.
#[allow(dead_code, reason = "not every test file calls it")]
pub fn run_operator_command(args: &[&str], key: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_carawaypaddle"))
        .args(args)
        .env("CARAWAYPADDLE_PEER_KEY", key)
        .output()
        .unwrap()
}
