use super::*;

#[test]
fn rendezvous_first_is_the_first_of_rendezvous_order() {
    let members = ["a", "b", "c", "d"];
    for key in 0..100u32 {
        let key = key.to_le_bytes();
        let all = rendezvous_order(&key, members, |m| m);
        assert_eq!(rendezvous_first(&key, members, |m| m), Some(all[0]));
    }
}

#[test]
fn removing_a_member_moves_only_its_own_keys() {
    for key in 0..100u32 {
        let key = key.to_le_bytes();
        let before = rendezvous_first(&key, ["a", "b", "c"], |m| m);
        let after = rendezvous_first(&key, ["a", "b"], |m| m);
        assert!(before == Some("c") || before == after);
    }
}
