//! Real processes of the binary, ended when the test ends.

#[allow(dead_code, reason = "not every test file uses it")]
pub mod fleet;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
};

/// The secret of the test's fleet.
pub const PEER_KEY: &str = "peer-key-of-the-process-tests";

/// A running process of the binary.
pub struct Process {
    /// The process; it is ended by force when this is dropped.
    pub child: Child,
    /// The addresses that it printed at start, by name.
    addrs: Vec<(String, SocketAddr)>,
}

impl Process {
    /// Starts `command` with `settings`, and waits for the line with its addresses.
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

    /// The address `name`, such as `control`.
    pub fn addr(&self, name: &str) -> SocketAddr {
        self.addrs.iter().find(|(n, _)| n == name).unwrap().1
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes a settings file of this test run.
pub fn settings_file(name: &str, settings: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.yaml"));
    std::fs::write(&path, settings).unwrap();
    path
}

/// Where the stand-ins of the platform listen.
pub struct Platform {
    /// Configuration service and VM list.
    pub config: SocketAddr,
    /// Weight store.
    pub store: SocketAddr,
    /// Origin of weights.
    pub origin: SocketAddr,
}

/// Settings of the VM `name`; `section` is its section `entry` or `agent`.
pub fn settings(name: &str, platform: &Platform, section: &str) -> String {
    let Platform { config, store, origin } = platform;
    format!(
        "vm: {name}\nzone: zone-0\nregion: region-0\ncontrol: 127.0.0.1:0\ndata: 127.0.0.2:0\n\
         peer_key: {PEER_KEY}\ndrain: 10s\nplatform:\n  config: ['{config}']\n  \
         vms: ['{config}']\n  store: {store}\n  origin: {origin}\n{section}"
    )
}

/// Runs a command of the binary with the peer key in its environment.
#[allow(dead_code, reason = "not every test file calls it")]
pub fn operate(args: &[&str], key: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_carawaypaddle"))
        .args(args)
        .env("CARAWAYPADDLE_PEER_KEY", key)
        .output()
        .unwrap()
}
