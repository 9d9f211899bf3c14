use super::*;

#[test]
fn highest_is_the_first_of_ranked() {
    let members = ["a", "b", "c", "d"];
    for key in 0..100u32 {
        let key = key.to_le_bytes();
        let all = ranked(&key, members, |m| m);
        assert_eq!(highest(&key, members, |m| m), Some(all[0]));
    }
}

#[test]
fn a_leaver_moves_only_its_own_keys() {
    for key in 0..100u32 {
        let key = key.to_le_bytes();
        let before = highest(&key, ["a", "b", "c"], |m| m);
        let after = highest(&key, ["a", "b"], |m| m);
        assert!(before == Some("c") || before == after);
    }
}
