//! Weighted max-min fair division of a whole number of units.

/// A claimant: its weight and the most that it can use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Weight relative to the other claims.
    pub weight: u32,
    /// Units that it can use.
    pub demand: usize,
}

/// Divides `units` among the claims: each gets its demand or its weighted share of what the
/// satisfied ones leave. Rounding favours the earlier claims.
pub fn max_min_allocation(units: usize, claims: &[Claim]) -> Vec<usize> {
    let mut given = vec![0; claims.len()];
    let mut left = units;
    loop {
        let open: Vec<usize> = (0..claims.len()).filter(|&i| given[i] < claims[i].demand).collect();
        if open.is_empty() || left == 0 {
            return given;
        }
        let weights: u64 = open.iter().map(|&i| weight(&claims[i])).sum();
        let round = left;
        for &i in &open {
            let part = (round as u64 * weight(&claims[i]) / weights) as usize;
            let take = part.min(claims[i].demand - given[i]);
            given[i] += take;
            left -= take;
        }
        if left == round {
            allocate_remainder(&mut given, &mut left, claims, &open);
        }
    }
}

/// Gives single units to the claims with the lowest ratio of units to weight.
fn allocate_remainder(given: &mut [usize], left: &mut usize, claims: &[Claim], open: &[usize]) {
    let mut order = open.to_vec();
    order.sort_by(|&a, &b| {
        let left = (given[a] as u64 + 1) * weight(&claims[b]);
        let right = (given[b] as u64 + 1) * weight(&claims[a]);
        left.cmp(&right).then(a.cmp(&b))
    });
    for i in order {
        if *left == 0 {
            return;
        }
        given[i] += 1;
        *left -= 1;
    }
}

fn weight(claim: &Claim) -> u64 {
    u64::from(claim.weight.max(1))
}

#[cfg(test)]
mod tests;
