//! The project's programs as separate processes, each with a loopback address and settings of its own.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Outcome, send};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Addresses and files that all processes of a run share.
#[derive(Clone)]
pub struct Network {
    /// First three octets of all addresses.
    octets: [u8; 3],
    /// Port of the connections between the system's processes.
    peer_port: u16,
    control_port: u16,
    /// Folder of settings and logs.
    pub dir: PathBuf,
}

impl Network {
    pub fn new(dir: &Path) -> io::Result<Network> {
        let pid = std::process::id();
        let octets = [127, 60 + (pid % 150) as u8, (pid / 150 % 250) as u8];
        let port = || {
            Ok::<u16, io::Error>(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?.port())
        };
        let (peer_port, control_port) = (port()?, port()?);
        Ok(Network { octets, peer_port, control_port, dir: dir.to_owned() })
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        let [a, b, c] = self.octets;
        Ipv4Addr::new(a, b, c, last)
    }

    /// Settings that both roles have, as on a small deployment of the pages.
    fn settings(&self, name: &str, ip: Ipv4Addr, store: SocketAddr, seed: Ipv4Addr) -> String {
        let Network { peer_port, control_port, .. } = self;
        format!(
            "node_name={name}\nip_address={ip}\nzone=north\nregion=main\nzones.north=main\n\
             internal_port_range={peer_port},{peer_port}\nseed_nodes={seed}:{control_port}\n\
             bootstrap=true\ncounts_toward_tolerance=false\nlimits.cpu_cores=1\n\
             limits.disk_mb=0\ndiscovery=platform\nentry_point=virtual_ip\n\
             heartbeat_interval_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,chunks\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.address_reuse_s=2\nbounds.contact_window_ms=3000\n\
             bounds.confirm_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\n\
             bounds.grace_period_s=8\nbounds.loss_slack_ms=200\n\
             bounds.config_propagation_ms=2000\nbounds.rollback_slack_ms=250\n\
             bounds.outer_bound_ms=5000\nbounds.retry_budget_ratio=0.2\n\
             bounds.budget_window_s=10\nbounds.retry_budget_extra=102\nbounds.recovery_s=12\n\
             bounds.pass_ms=120\nbounds.retry_after_s=0\nbounds.version_ms=8000\n\
             bounds.version_all_ms=0\nplatform.address={store}\nplatform.form=read\n\
             platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n"
        )
    }

    /// Settings of a gateway, with the addresses for callers and of its readiness.
    pub fn gateway(
        &self,
        number: u8,
        store: SocketAddr,
    ) -> io::Result<(Process, SocketAddr, SocketAddr)> {
        let ip = self.ip(10 + number);
        let port = || Ok::<u16, io::Error>(TcpListener::bind((ip, 0))?.local_addr()?.port());
        let callers = SocketAddr::from((ip, port()?));
        let ready = SocketAddr::from((ip, port()?));
        let name = format!("frontend-{number}");
        let common = self.settings(&name, ip, store, self.ip(10));
        let settings = format!(
            "{common}role=gateway\nmachine_class=frontend\nserves=frontend,control_plane\n\
             listen_addresses.frontend_address={callers}\nlisten_addresses.ready={ready}\n\
             listen_addresses.control={ip}:{}\nlimits.cpu_share=0.19\nlimits.memory_mb=260\n\
             limits.file_descriptors=4200\nlimits.link_mbps=1000.0\n",
            self.control_port
        );
        Ok((Process::new(&self.dir, name, "gateway", settings)?, callers, ready))
    }

    /// Settings of a stager beside the runner at `app`.
    pub fn stager(&self, number: u8, store: SocketAddr, app: SocketAddr) -> io::Result<Process> {
        let SocketAddr::V4(at) = app else { return Err(io::ErrorKind::InvalidInput.into()) };
        let name = format!("side-{number}");
        let common = self.settings(&name, *at.ip(), store, self.ip(10));
        let settings = format!(
            "{common}role=stager\nmachine_class=side\nserves=side\napp={app}\nservice=talk\n\
             limits.cpu_share=0.3\nlimits.memory_mb=128\nlimits.file_descriptors=2048\n\
             limits.link_mbps=7.3\n"
        );
        Process::new(&self.dir, name, "stager", settings)
    }
}

/// One process of the project, which is ended when this value is dropped.
pub struct Process {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn new(dir: &Path, name: String, role: &'static str, text: String) -> io::Result<Process> {
        let settings = dir.join(format!("{name}.conf"));
        let log = dir.join(format!("{name}.log"));
        fs::write(&settings, text)?;
        Ok(Process { name, role, settings, log, child: None })
    }

    /// Starts the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/carawaypaddle")
            .arg(self.role)
            .env("CARAWAYPADDLE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        let Some(child) = &self.child else { return };
        // The process was started here and has not been waited for, so the id is its own.
        unsafe { kill(child.id() as i32, signal) };
    }

    /// Waits until the process has ended; false if it has not within `time`.
    pub fn wait(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        let Some(child) = &mut self.child else { return true };
        while Instant::now() < until {
            if let Ok(Some(_)) = child.try_wait() {
                self.child = None;
                return true;
            }
            thread::sleep(Duration::from_millis(2));
        }
        false
    }
}

impl Process {
    /// Kills the process and waits for its end.
    pub fn end(&mut self) {
        self.signal(SIGKILL);
        self.wait(Duration::from_secs(5));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// Whether a gateway says that it is ready.
pub fn is_ready(addr: SocketAddr) -> bool {
    let request = format!("GET /v1/ready HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n\r\n");
    let patience = Duration::from_millis(800);
    matches!(send(addr, request.as_bytes(), patience), Outcome::Answer(a) if a.status() == 200)
}

/// Waits until a condition holds; false if it does not within `time`.
pub fn wait_until(time: Duration, mut check: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + time;
    while Instant::now() < until {
        if check() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
