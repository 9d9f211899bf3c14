//! Rendezvous hashing: every process orders the same members the same way for a key. When a member
//! joins or leaves, only the keys that it gains or loses move.

use twox_hash::XxHash64;

/// Returns the weight of `member` for `key`. The member with the highest weight comes first.
pub fn rendezvous_weight(key: &[u8], member: &str) -> u64 {
    let seed = XxHash64::oneshot(0, key);
    XxHash64::oneshot(seed, member.as_bytes())
}

/// Returns the members ordered by their weight for `key`, highest first. Ties are ordered by name.
pub fn rendezvous_order<'a, T: ?Sized>(
    key: &[u8],
    members: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Vec<&'a T> {
    let seed = XxHash64::oneshot(0, key);
    let weight = |m: &T| XxHash64::oneshot(seed, name(m).as_bytes());
    let mut all: Vec<(u64, &T)> = members.into_iter().map(|m| (weight(m), m)).collect();
    all.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(a.1).cmp(name(b.1))));
    all.into_iter().map(|(_, m)| m).collect()
}

/// Returns the member with the highest weight for `key`, the first one in `rendezvous_order`.
pub fn rendezvous_first<'a, T: ?Sized>(
    key: &[u8],
    members: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    let seed = XxHash64::oneshot(0, key);
    members.into_iter().min_by(|a, b| {
        let weight = |m: &T| XxHash64::oneshot(seed, name(m).as_bytes());
        weight(b).cmp(&weight(a)).then_with(|| name(a).cmp(name(b)))
    })
}

#[cfg(test)]
mod tests;
