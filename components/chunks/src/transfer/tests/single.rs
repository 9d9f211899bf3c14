//! Unit tests of a single transfer.

use super::{super::*, fixture::*};
use crate::Action;

const MEMBERS: [usize; 4] = [0, 1, 2, 3];

fn transfer(me: usize, now: Instant) -> Transfer {
    Transfer::new(list(), plan(me, &MEMBERS), TransferSettings::default(), now)
}

fn fetches(actions: &[Action]) -> Vec<(u32, Source)> {
    let fetch = |action: &Action| match action {
        Action::Fetch { chunk, source, .. } => Some((*chunk, source.clone())),
        Action::Announce { .. } => None,
    };
    actions.iter().filter_map(fetch).collect()
}

/// A chunk that `me` does not own, and a peer in the same zone.
fn foreign(me: usize) -> (u32, VmId) {
    let plan = plan(me, &MEMBERS);
    let chunk = (0..CHUNKS).find(|&c| plan.rank(c) != Some(0)).unwrap();
    (chunk, vm((me + 2) % 4))
}

#[test]
fn the_store_is_asked_before_the_origin_and_its_retry_delay_is_respected() {
    let now = Instant::now();
    let mut transfer = transfer(0, now);
    let asked = fetches(&transfer.poll(now));
    assert!(asked.iter().all(|(_, source)| *source == Source::Store));
    let (chunk, _) = asked[0].clone();
    let wait = Duration::from_secs(7);
    transfer.handle_failure(chunk, &Source::Store, FetchError::Limited(wait), now);
    let again = fetches(&transfer.poll(now));
    assert!(again.contains(&(chunk, Source::Origin)), "{again:?}");
    transfer.mark_held(chunk, now);
    let early = fetches(&transfer.poll(now + wait - Duration::from_millis(1)));
    assert!(early.iter().all(|(_, source)| *source != Source::Store));
    let (next, _) = early[0];
    transfer.mark_held(next, now + wait);
    let late = fetches(&transfer.poll(now + wait));
    assert!(late.iter().any(|(_, source)| *source == Source::Store));
}

#[test]
fn a_corrupted_chunk_is_fetched_elsewhere_and_its_source_remembered() {
    let now = Instant::now();
    let mut transfer = transfer(0, now);
    let (chunk, near) = foreign(0);
    transfer.handle_announcement(&near, &[chunk], now);
    assert!(fetches(&transfer.poll(now)).contains(&(chunk, Source::Peer(near.clone()))));
    transfer.handle_failure(chunk, &Source::Peer(near.clone()), FetchError::Corrupted, now);
    transfer.handle_announcement(&vm(1), &[chunk], now);
    let later = now + transfer.settings.fallback_delay * 2;
    assert!(fetches(&transfer.poll(later)).contains(&(chunk, Source::Peer(vm(1)))));
}

#[test]
fn duplicate_late_and_foreign_announcements_are_ignored() {
    let now = Instant::now();
    let mut transfer = transfer(0, now);
    let (chunk, near) = foreign(0);
    transfer.handle_announcement(&near, &[chunk, chunk, 9999], now);
    transfer.handle_announcement(&near, &[chunk], now);
    transfer.handle_announcement(&vm(99), &[chunk], now);
    let asked = fetches(&transfer.poll(now));
    assert_eq!(asked.iter().filter(|(c, _)| *c == chunk).count(), 1);
    transfer.mark_held(chunk, now);
    transfer.mark_held(chunk, now);
    transfer.handle_announcement(&near, &[chunk], now);
    transfer.handle_failure(chunk, &Source::Peer(near), FetchError::Failed, now);
    assert_eq!(transfer.progress().0, 1);
}

#[test]
fn a_chunk_waits_for_a_near_source_before_a_far_one() {
    let now = Instant::now();
    let plan = plan(0, &MEMBERS);
    let chunk = (0..CHUNKS).find(|&c| plan.fetch_scope(c) == Locality::Zone).unwrap();
    let mut transfer = transfer(0, now);
    transfer.handle_announcement(&vm(1), &[chunk], now);
    assert!(!fetches(&transfer.poll(now)).iter().any(|(c, _)| *c == chunk));
    transfer.handle_announcement(&vm(2), &[chunk], now);
    assert!(fetches(&transfer.poll(now)).contains(&(chunk, Source::Peer(vm(2)))));
}

#[test]
fn a_vm_that_asks_receives_the_held_chunks() {
    let now = Instant::now();
    let mut transfer = transfer(0, now);
    transfer.poll(now);
    transfer.mark_held(3, now);
    transfer.mark_held(5, now);
    transfer.handle_announcement(&vm(2), &[], now);
    let announced = Action::Announce { to: vm(2), chunks: vec![3, 5] };
    assert!(transfer.poll(now).contains(&announced));
}

#[test]
fn a_poll_without_announcements_does_not_scale_with_the_list() {
    let now = Instant::now();
    let list = ChunkList::from_weights(&vec![7; 10_000], base::ByteSize(1));
    let mut transfer = Transfer::new(list, plan(0, &MEMBERS), TransferSettings::default(), now);
    let all: Vec<u32> = (0..10_000).collect();
    transfer.handle_announcement(&vm(2), &all, now);
    let first = fetches(&transfer.poll(now)).len();
    assert!(first <= transfer.settings.max_peer_fetches + transfer.settings.max_upstream_fetches);
    assert!(transfer.queue.first_chunks(usize::MAX).len() > 9_000);
    assert!(fetches(&transfer.poll(now)).is_empty());
}

#[test]
fn a_peer_whose_chunk_arrives_late_is_used_again_at_once() {
    let now = Instant::now();
    let plan = plan(0, &MEMBERS);
    let fallback_delay = Duration::from_secs(60);
    let settings = TransferSettings { fallback_delay, ..TransferSettings::default() };
    let mut transfer = Transfer::new(list(), plan.clone(), settings, now);
    let mut foreign = (0..CHUNKS).filter(|&c| plan.rank(c) != Some(0));
    let mut next = || foreign.next().unwrap();
    let (first, second, third) = (next(), next(), next());
    let near = Source::Peer(vm(2));
    transfer.handle_announcement(&vm(2), &[first], now);
    assert!(fetches(&transfer.poll(now)).contains(&(first, near.clone())));
    let later = now + transfer.settings.stall_timeout * 4;
    transfer.poll(later);
    transfer.handle_announcement(&vm(2), &[second], later);
    assert!(!fetches(&transfer.poll(later)).contains(&(second, near.clone())));
    transfer.handle_fetched(first, &near, later);
    transfer.handle_announcement(&vm(2), &[third], later);
    assert!(fetches(&transfer.poll(later)).contains(&(third, near)));
}
