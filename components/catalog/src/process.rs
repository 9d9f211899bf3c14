//! The settings of one process on the users' platform.

use std::{net::SocketAddr, time::Duration};

use base::{Region, ServiceId, VmId, Zone};

/// What a process is reached for from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Serves {
    /// Callers reach it.
    Callers,
    /// It runs beside an endpoint.
    Endpoint,
}

/// The settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Process {
    /// The VM that it runs on.
    pub vm: VmId,
    /// The VM's IP address.
    pub ip: std::net::Ipv4Addr,
    /// The VM's availability zone.
    pub zone: Zone,
    /// The zone's region.
    pub region: Region,
    /// The region of each zone.
    pub zones: Vec<(Zone, Region)>,
    /// What it serves.
    pub serves: Vec<Serves>,
    /// Where callers connect.
    pub callers: Option<SocketAddr>,
    /// Where the platform asks whether it takes new connections.
    pub ready: Option<SocketAddr>,
    /// Where other processes find it by the list of seeds.
    pub control: Option<SocketAddr>,
    /// Ports between processes, first and last; the same on all VMs.
    pub ports: (u16, u16),
    /// Control addresses of a few other processes, which may be gone.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The endpoint beside the process.
    pub endpoint: Option<OwnEndpoint>,
    /// Bounds that operators promise their callers.
    pub bounds: Bounds,
    /// What the VM gives the process.
    pub limits: ProcessLimits,
}

/// The endpoint beside a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnEndpoint {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its service.
    pub service: ServiceId,
}

/// Bounds that operators promise their callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time after which an endpoint that leaves gets nothing new.
    pub drain: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time within which a configuration is in force.
    pub config: Duration,
    /// Time after which a process counts as undisturbed again.
    pub contact: Duration,
    /// Repeats for each request.
    pub retry_ratio: f64,
    /// Window in which repeats are counted.
    pub retry_window: Duration,
    /// Repeats of a window over all processes, besides the ratio.
    pub retry_extra: f64,
    /// Time within which requests start on newly named weights only.
    pub version: Duration,
    /// Time until a lapsed entry of a live endpoint is back after the store returned.
    pub relist: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(8),
            config: Duration::from_secs(2),
            contact: Duration::from_secs(3),
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_extra: 10.0,
            version: Duration::from_secs(8),
            relist: Duration::from_secs(2),
        }
    }
}

/// What the VM gives the process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessLimits {
    /// Bytes of memory.
    pub memory: u64,
    /// File descriptors.
    pub descriptors: u64,
    /// Bits a second of the VM's link.
    pub link_bits: f64,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits { memory: 128 << 20, descriptors: 1024, link_bits: 1e9 }
    }
}

impl Process {
    /// The region of a zone, if the settings name it.
    pub fn region_of(&self, zone: &Zone) -> Option<&Region> {
        self.zones.iter().find(|(z, _)| z == zone).map(|(_, region)| region)
    }

    /// Where the process of another VM listens for its peers.
    pub fn peer_addr(&self, ip: std::net::IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.ports.0)
    }
}
