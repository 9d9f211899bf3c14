//! What agents and entries both know of how the endpoints of a zone load new weights.

use std::net::Ipv4Addr;

/// Part of a zone's endpoints, the first ones by address, that break off what runs when they load.
const BREAK_OFF_PART: f64 = 0.6;

/// Whether the endpoint on `me`, one of the VMs `zone`, breaks off what runs there when it loads, so
/// that it takes well under a second. The last ones of a zone end what runs: streams that broke off go
/// on there, and most can be resumed only once.
pub fn breaks_off(me: Ipv4Addr, zone: impl IntoIterator<Item = Ipv4Addr>) -> bool {
    let (mut all, mut before) = (0u32, 0u32);
    for ip in zone {
        all += 1;
        before += u32::from(ip < me);
    }
    f64::from(before) < f64::from(all) * BREAK_OFF_PART
}

#[cfg(test)]
mod tests;
