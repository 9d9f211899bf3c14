//! Processes of the program, and the record of a run.

use std::{
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Writes what happens, with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("create the record");
        Record { start: Instant::now(), file: Mutex::new(file) }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>6} ms  {text}\n", self.now_ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// A gateway or stager, started like the deploy file says. Killed on drop.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `target/release/carawaypaddle ROLE` in the repository's root.
    pub fn start(role: &str, settings: &str, dir: &Path, name: &str) -> Process {
        let file = dir.join(format!("{name}.conf"));
        fs::write(&file, settings).expect("write the settings");
        let log = File::create(dir.join(format!("{name}.log"))).expect("create the log");
        let mut command = Command::new("target/release/carawaypaddle");
        command
            .arg(role)
            .env("CARAWAYPADDLE_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stderr(Stdio::from(log.try_clone().expect("clone the log")))
            .stdout(Stdio::from(log));
        // It ends with this program, also if that is killed. The main thread starts all processes.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command.spawn().expect("start the program");
        Process { child }
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Sends SIGTERM and waits for the exit; kills it after the grace period. Returns whether it ended by itself.
    pub fn stop(&mut self, grace: Duration) -> bool {
        // The child has not been waited for, so its id is still its own.
        unsafe { kill(self.child.id() as i32, SIGTERM) };
        let end = Instant::now() + grace;
        while Instant::now() < end {
            if self.has_ended() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A temporary directory, removed on drop unless `KEEP_LOGS` is set.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn create() -> TempDir {
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("create a temporary directory");
        TempDir(dir)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Returns a loopback address for the machine with a number, other than those of concurrent runs.
pub fn machine_ip(number: u8) -> Ipv4Addr {
    let run = std::process::id();
    Ipv4Addr::new(127, 64 + (run >> 8 & 63) as u8, (run & 255) as u8, number)
}

/// Returns a port that is free on an address, below the ephemeral range.
pub fn free_port(ip: Ipv4Addr) -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let offset = NEXT.fetch_add(1, Ordering::SeqCst).wrapping_add(std::process::id() as u16 * 13);
        let port = 11_000 + offset % 18_000;
        if TcpListener::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

/// Returns a port for connections between processes, with the control port below it and the range above it free on an
/// address. No other port comes from there.
pub fn free_peer_port(ip: Ipv4Addr) -> u16 {
    let first = std::process::id() as u16 % 100;
    let ports = (0..100).map(|n| 29_200 + (first + n) % 100 * 20);
    let is_free = |port: &u16| TcpListener::bind((ip, *port)).is_ok();
    ports.into_iter().find(is_free).expect("a free port") + 1
}

/// Addresses of a gateway.
pub struct GatewayAddrs {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

/// Returns the settings of a gateway as the deploy page shows them, and its addresses. `peer_port` is the same on
/// all machines.
pub fn gateway_settings(
    name: &str,
    ip: Ipv4Addr,
    zone: &str,
    peer_port: u16,
    seeds: &str,
    store: SocketAddr,
) -> (String, GatewayAddrs) {
    let addr = |port| SocketAddr::from((ip, port));
    let (callers, ready, control) =
        (addr(free_port(ip)), addr(free_port(ip)), addr(peer_port - 1));
    let text = format!(
        "node_name={name}\nrole=gateway\nmachine_class=frontend\nserves=frontend,control_plane\n\
         ip_address={ip}\nzone={zone}\nregion=r-{zone}\nzones.a=r-a\nzones.b=r-b\nzones.c=r-c\n\
         listen_addresses.frontend_address={callers}\nlisten_addresses.ready={ready}\n\
         listen_addresses.control={control}\ninternal_port_range={peer_port},{}\n\
         seed_nodes={seeds}\n{}",
        peer_port + 15,
        common_settings(store),
    );
    (text, GatewayAddrs { callers, ready })
}

/// Returns the settings of a stager beside the engine at `app`.
pub fn stager_settings(
    name: &str,
    ip: Ipv4Addr,
    zone: &str,
    peer_port: u16,
    seeds: &str,
    store: SocketAddr,
    (app, service): (SocketAddr, &str),
) -> String {
    format!(
        "node_name={name}\nrole=stager\nmachine_class=side\nserves=side\nip_address={ip}\n\
         zone={zone}\nregion=r-{zone}\nzones.a=r-a\nzones.b=r-b\nzones.c=r-c\n\
         internal_port_range={peer_port},{}\nseed_nodes={seeds}\napp={app}\nservice={service}\n{}",
        peer_port + 15,
        common_settings(store),
    )
}

/// The part of the settings that is the same for all machines, with the figures of the deploy page.
fn common_settings(store: SocketAddr) -> String {
    format!(
        "bootstrap=true\ncounts_toward_tolerance=false\nlimits.cpu_share=0.19\nlimits.cpu_cores=1\n\
         limits.memory_mb=260\nlimits.file_descriptors=4200\nlimits.link_mbps=1000.0\n\
         limits.disk_mb=0\ndiscovery=platform\nentry_point=virtual_ip\n\
         heartbeat_interval_ms=1200\n\
         contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,chunks\n\
         bounds.seed_lag_s=3\nbounds.address_reuse_s=2\nbounds.contact_window_ms=3000\n\
         bounds.drain_ms=2000\nbounds.grace_period_s=8\nbounds.loss_slack_ms=200\n\
         bounds.config_propagation_ms=2000\nbounds.rollback_slack_ms=250\n\
         bounds.outer_bound_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
         bounds.retry_budget_extra=102\nbounds.recovery_s=12\nbounds.pass_ms=120\n\
         bounds.version_ms=8000\nplatform.address={store}\nplatform.form=read\n\
         platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n"
    )
}
