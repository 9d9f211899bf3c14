//! Rendezvous hashing: every process orders the same members the same way for a key, and a member
//! that joins or leaves moves only the keys that it wins or held.

use twox_hash::XxHash64;

/// The weight of `member` for `key`; the member with the highest weight comes first.
pub fn rendezvous_weight(key: &[u8], member: &str) -> u64 {
    let seed = XxHash64::oneshot(0, key);
    XxHash64::oneshot(seed, member.as_bytes())
}

/// The members ordered by their weight for `key`, highest first; ties go by name.
pub fn rendezvous_order<'a, T: ?Sized>(
    key: &[u8],
    members: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Vec<&'a T> {
    let seed = XxHash64::oneshot(0, key);
    let weigh = |m: &T| XxHash64::oneshot(seed, name(m).as_bytes());
    let mut all: Vec<(u64, &T)> = members.into_iter().map(|m| (weigh(m), m)).collect();
    all.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(a.1).cmp(name(b.1))));
    all.into_iter().map(|(_, m)| m).collect()
}

/// The member with the highest weight for `key`.
pub fn rendezvous_first<'a, T: ?Sized>(
    key: &[u8],
    members: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    let seed = XxHash64::oneshot(0, key);
    members.into_iter().min_by(|a, b| {
        let weigh = |m: &T| XxHash64::oneshot(seed, name(m).as_bytes());
        weigh(b).cmp(&weigh(a)).then_with(|| name(a).cmp(name(b)))
    })
}

#[cfg(test)]
mod tests;
