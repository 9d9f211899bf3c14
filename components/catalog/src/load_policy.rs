//! What agents and entries both know of how the endpoints of a zone load new weights.

use std::net::Ipv4Addr;

/// Part of a zone's endpoints, the first ones by address, that break off what runs when they load.
const INTERRUPTING_FRACTION: f64 = 0.6;

/// Whether the endpoint on `me`, one of the VMs `zone`, breaks off what runs there when it loads, so
/// that it takes well under a second. The last ones of a zone end what runs: streams that broke off go
/// on there, and most can be resumed only once.
pub fn interrupts_on_load(own_ip: Ipv4Addr, zone_ips: impl IntoIterator<Item = Ipv4Addr>) -> bool {
    let (mut total, mut lower) = (0u32, 0u32);
    for ip in zone_ips {
        total += 1;
        lower += u32::from(ip < own_ip);
    }
    f64::from(lower) < f64::from(total) * INTERRUPTING_FRACTION
}

#[cfg(test)]
mod tests;
