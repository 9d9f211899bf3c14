//! Decides how an endpoint treats running requests when it loads new weights. Stagers and gateways
//! apply the same rule, so that gateways can predict what an endpoint will do.

use std::net::Ipv4Addr;

/// Fraction of a zone's endpoints, lowest IP addresses first, that abort running requests to load.
const INTERRUPTING_FRACTION: f64 = 0.6;

/// Returns whether the endpoint on `own_ip`, one of the VMs `zone_ips`, aborts its running requests
/// when it loads new weights, which keeps the switch well under a second.
///
/// The endpoints with the highest addresses let running requests finish instead: aborted streams are
/// resumed there, and most streams can be resumed only once.
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
