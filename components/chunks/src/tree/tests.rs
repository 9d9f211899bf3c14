use super::*;

fn members(n: usize) -> Vec<VmId> {
    (0..n).map(|i| format!("vm-{i}").parse().unwrap()).collect()
}

#[test]
fn parents_and_children_agree() {
    let members = members(13);
    let list = Digest::of(b"list");
    for chunk in 0..40 {
        for vm in &members {
            let tree = Tree::new(&list, &members, vm);
            for child in tree.children(chunk) {
                let below = Tree::new(&list, &members, child);
                assert_eq!(below.ancestors(chunk)[0], vm);
            }
        }
    }
}

#[test]
fn every_vm_is_the_root_of_some_chunks() {
    let members = members(8);
    let list = Digest::of(b"list");
    for vm in &members {
        let tree = Tree::new(&list, &members, vm);
        let roots = (0..16).filter(|&c| tree.depth_order(c) == Some(0)).count();
        assert_eq!(roots, 2);
    }
}
