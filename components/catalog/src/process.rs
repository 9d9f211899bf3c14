//! The settings of one process on the users' platform.

use std::{net::SocketAddr, time::Duration};

use base::{Region, ServiceId, VmId, Zone};

/// What a process is reached for from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessRole {
    /// Callers reach it.
    Callers,
    /// It runs beside an endpoint.
    Endpoint,
}

/// The settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct ProcessSettings {
    /// The VM that it runs on.
    pub vm: VmId,
    /// The VM's IP address.
    pub ip: std::net::Ipv4Addr,
    /// The VM's availability zone.
    pub zone: Zone,
    /// The zone's region.
    pub region: Region,
    /// The region of each zone.
    pub zone_regions: Vec<(Zone, Region)>,
    /// What it serves.
    pub roles: Vec<ProcessRole>,
    /// Where callers connect.
    pub caller_addr: Option<SocketAddr>,
    /// Where the platform asks whether it takes new connections.
    pub readiness_addr: Option<SocketAddr>,
    /// Where other processes find it by the list of seeds.
    pub control_addr: Option<SocketAddr>,
    /// Ports between processes, first and last; the same on all VMs.
    pub peer_ports: (u16, u16),
    /// Control addresses of a few other processes, which may be gone.
    pub seed_nodes: Vec<SocketAddr>,
    /// The platform's store.
    pub store_addr: SocketAddr,
    /// The endpoint beside the process.
    pub endpoint: Option<LocalEndpoint>,
    /// Bounds that operators promise their callers.
    pub bounds: Bounds,
    /// What the VM gives the process.
    pub limits: ProcessLimits,
}

/// The endpoint beside a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalEndpoint {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its service.
    pub service: ServiceId,
}

/// Bounds that operators promise their callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time after which an endpoint that leaves gets nothing new.
    pub drain_time: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace_period: Duration,
    /// Time within which a configuration is in force.
    pub config_propagation: Duration,
    /// Time after which a process counts as undisturbed again.
    pub contact_window: Duration,
    /// Repeats for each request.
    pub retry_ratio: f64,
    /// Window in which repeats are counted.
    pub retry_window: Duration,
    /// Repeats of a window over all processes, besides the ratio.
    pub retry_extra: f64,
    /// Time within which requests start on newly named weights only.
    pub version_switch: Duration,
    /// Time until a lapsed entry of a live endpoint is back after the store returned.
    pub relist_time: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            drain_time: Duration::from_secs(2),
            grace_period: Duration::from_secs(8),
            config_propagation: Duration::from_secs(2),
            contact_window: Duration::from_secs(3),
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_extra: 10.0,
            version_switch: Duration::from_secs(8),
            relist_time: Duration::from_secs(2),
        }
    }
}

/// What the VM gives the process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessLimits {
    /// Bytes of memory.
    pub memory_bytes: u64,
    /// File descriptors.
    pub file_descriptors: u64,
    /// Bits a second of the VM's link.
    pub link_bits_per_second: f64,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits { memory_bytes: 128 << 20, file_descriptors: 1024, link_bits_per_second: 1e9 }
    }
}

impl ProcessSettings {
    /// The region of a zone, if the settings name it.
    pub fn region_of(&self, zone: &Zone) -> Option<&Region> {
        self.zone_regions.iter().find(|(z, _)| z == zone).map(|(_, region)| region)
    }

    /// Where the process of another VM listens for its peers.
    pub fn peer_addr(&self, ip: std::net::IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.peer_ports.0)
    }
}
