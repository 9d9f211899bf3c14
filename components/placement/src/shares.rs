//! Weighted max-min fair allocation of indivisible units.

/// A claim on the units: its weight and the most that it can use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Weight relative to the other claims.
    pub weight: u32,
    /// Maximum number of units that it can use.
    pub demand: usize,
}

/// Divides `units` among the claims: each gets its demand, or its weighted share of what the claims
/// with satisfied demand leave over. Rounding favours earlier claims.
pub fn max_min_allocation(units: usize, claims: &[Claim]) -> Vec<usize> {
    let mut allocated = vec![0; claims.len()];
    let mut left = units;
    loop {
        let unsatisfied: Vec<usize> =
            (0..claims.len()).filter(|&i| allocated[i] < claims[i].demand).collect();
        if unsatisfied.is_empty() || left == 0 {
            return allocated;
        }
        let weights: u64 = unsatisfied.iter().map(|&i| weight(&claims[i])).sum();
        let round = left;
        for &i in &unsatisfied {
            let share = (round as u64 * weight(&claims[i]) / weights) as usize;
            let granted = share.min(claims[i].demand - allocated[i]);
            allocated[i] += granted;
            left -= granted;
        }
        if left == round {
            allocate_remainder(&mut allocated, &mut left, claims, &unsatisfied);
        }
    }
}

/// Gives one unit each to the claims with the lowest ratio of units to weight.
fn allocate_remainder(
    allocated: &mut [usize],
    left: &mut usize,
    claims: &[Claim],
    unsatisfied: &[usize],
) {
    let mut order = unsatisfied.to_vec();
    order.sort_by(|&a, &b| {
        let left = (allocated[a] as u64 + 1) * weight(&claims[b]);
        let right = (allocated[b] as u64 + 1) * weight(&claims[a]);
        left.cmp(&right).then(a.cmp(&b))
    });
    for i in order {
        if *left == 0 {
            return;
        }
        allocated[i] += 1;
        *left -= 1;
    }
}

fn weight(claim: &Claim) -> u64 {
    u64::from(claim.weight.max(1))
}

#[cfg(test)]
mod tests;
