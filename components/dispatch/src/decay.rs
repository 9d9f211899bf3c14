//! Weights of what was learned earlier.

use std::time::Duration;

/// The fraction of its weight that something learned `age` ago still has, if it loses half of it in each
/// `half_life`.
pub(crate) fn remaining_fraction(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
