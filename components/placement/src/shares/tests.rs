use super::*;

fn claim(weight: u32, demand: usize) -> Claim {
    Claim { weight, demand }
}

#[test]
fn unused_share_is_lent() {
    assert_eq!(max_min_allocation(10, &[claim(500, 2), claim(500, 20)]), [2, 8]);
    assert_eq!(max_min_allocation(10, &[claim(300, 20), claim(100, 20)]), [8, 2]);
    assert_eq!(max_min_allocation(3, &[claim(1, 9), claim(1, 9)]), [2, 1]);
    assert_eq!(max_min_allocation(10, &[claim(1, 1)]), [1]);
}
