//! Settings of a gateway or stager process on the users' platform.

use std::{net::SocketAddr, time::Duration};

use base::{Region, ServiceId, VmId, Zone};

/// Role of a process on the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessRole {
    /// Serves callers, as a gateway does.
    Callers,
    /// Runs next to an endpoint, as a stager does.
    Endpoint,
}

/// Settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct ProcessSettings {
    /// VM on which the process runs.
    pub vm: VmId,
    /// IP address of the VM.
    pub ip: std::net::Ipv4Addr,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Region of the availability zone.
    pub region: Region,
    /// All availability zones with their regions.
    pub zone_regions: Vec<(Zone, Region)>,
    /// Roles of the process.
    pub roles: Vec<ProcessRole>,
    /// Listen address for callers.
    pub caller_addr: Option<SocketAddr>,
    /// Listen address of the platform's readiness check.
    pub readiness_addr: Option<SocketAddr>,
    /// Listen address under which other processes reach it as a seed node.
    pub control_addr: Option<SocketAddr>,
    /// Port range for traffic between processes, first and last port. The same on all VMs.
    pub peer_ports: (u16, u16),
    /// Control addresses of a few other processes, some of which may no longer exist.
    pub seed_nodes: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store_addr: SocketAddr,
    /// Endpoint that the process runs next to, if any.
    pub endpoint: Option<LocalEndpoint>,
    /// Service bounds that the operator promises callers.
    pub bounds: Bounds,
    /// Resources that the VM grants the process.
    pub limits: ProcessLimits,
}

/// Endpoint on the same VM as the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalEndpoint {
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Service whose requests it runs.
    pub service: ServiceId,
}

/// Service bounds that the operator promises callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time after which a draining endpoint receives no new requests.
    pub drain_time: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace_period: Duration,
    /// Time within which a new configuration must be in force.
    pub config_propagation: Duration,
    /// Time after a disturbance, such as its own start, after which the bounds apply to a process again.
    pub contact_window: Duration,
    /// Retries allowed per request.
    pub retry_ratio: f64,
    /// Time window over which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed per window in addition to the ratio, over all processes together.
    pub retry_extra: f64,
    /// Time after the operator named new weights within which requests start only on those.
    pub version_switch: Duration,
    /// Time after which the endpoints of an evacuated zone receive no new requests, if the operator
    /// promises one.
    pub evacuation: Option<Duration>,
    /// Factor by which the requests at a cold endpoint may exceed its rate within a second.
    pub cold_overage: f64,
    /// Requests at a cold endpoint that are allowed within a second beyond that.
    pub cold_slack: f64,
    /// Time after the store is reachable again within which the expired entry of a live endpoint is
    /// back.
    pub relist_time: Duration,
}

/// Shortest bound from which times are derived, as answers take their time.
const MIN_CHANGE_BOUND: Duration = Duration::from_millis(500);

impl Bounds {
    /// Time within which every change of the store must be known: that of an endpoint that leaves, that
    /// of the configuration, and the evacuation of a zone.
    pub fn change_bound(&self) -> Duration {
        let bound = self.drain_time.min(self.config_propagation);
        let bound = self.evacuation.map_or(bound, |evacuation| bound.min(evacuation));
        bound.max(MIN_CHANGE_BOUND)
    }
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
            evacuation: None,
            cold_overage: 1.0,
            cold_slack: 0.0,
            relist_time: Duration::from_secs(2),
        }
    }
}

/// Resources that the VM grants the process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessLimits {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Maximum number of open file descriptors.
    pub file_descriptors: u64,
    /// Bandwidth of the VM's network link in bits per second.
    pub link_bits_per_second: f64,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits { memory_bytes: 128 << 20, file_descriptors: 1024, link_bits_per_second: 1e9 }
    }
}

impl ProcessSettings {
    /// Returns the region of a zone, or `None` if the settings do not list the zone.
    pub fn region_of(&self, zone: &Zone) -> Option<&Region> {
        self.zone_regions.iter().find(|(z, _)| z == zone).map(|(_, region)| region)
    }

    /// Returns the address on which the process at `ip` listens for its peers.
    pub fn peer_addr(&self, ip: std::net::IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.peer_ports.0)
    }
}

#[cfg(test)]
mod tests;
