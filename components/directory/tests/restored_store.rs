//! Several followers of a store that comes back from older copies, in random order of events and
//! without network.

mod model;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use catalog::EndpointUpdate;
use directory::{
    ChangesSince, PagedRead, ReadError, Snapshot, StoreBody, StoreProgress, WatchedChanges,
    accept_response,
};
use fastrand::Rng;
use model::{Store, Writers};
use platform::store::{StoreEntry, StorePosition};
use transport::BufferedResponse;

const FOLLOWERS: usize = 4;
const SEEDS: u64 = 200;
const STEPS: usize = 600;
/// Maximum number of copies of the store, from which it can come back.
const MAX_COPIES: usize = 3;
/// Time between two steps.
const STEP_TIME: Duration = Duration::from_millis(20);
/// Steps of each follower after which it knows everything, once nothing happens any more: a late
/// answer, a watch in a newer era, a read in pages and a watch.
const QUIET_STEPS: usize = 16;

/// A call that a follower waits for.
enum Call {
    /// A read of the whole store, and the key after which the next page begins.
    Read(PagedRead, Option<String>),
    /// A watch, and its response once the store has sent it.
    Watch(StorePosition, Option<BufferedResponse>),
    /// A request to another follower, and its answer once it has sent it.
    Relay(StorePosition, usize, Option<ChangesSince>),
}

/// A process that follows the store.
#[derive(Default)]
struct Follower {
    progress: StoreProgress,
    call: Option<Call>,
    /// Whether another follower failed, so that the store is asked.
    reads_directly: bool,
    /// Versions only grow.
    versions: BTreeMap<String, u64>,
    endpoints: BTreeMap<String, u64>,
}

impl Follower {
    fn apply_snapshot(&mut self, snapshot: Snapshot, now: Instant) -> Result<(), ReadError> {
        self.progress.accept_snapshot(snapshot.position, now)?;
        self.progress.keep_pages(snapshot.pages);
        self.endpoints.clear();
        snapshot.entries.into_iter().for_each(|entry| self.apply(entry));
        Ok(())
    }

    fn apply_changes(&mut self, watched: WatchedChanges, now: Instant) -> Result<(), ReadError> {
        self.progress.accept_changes(&watched, now)?;
        watched.entries.into_iter().for_each(|entry| self.apply(entry));
        Ok(())
    }

    fn apply(&mut self, entry: StoreEntry) {
        match entry {
            StoreEntry::NamedVersion { model, version } => {
                let known = self.versions.entry(format!("op/version/{model}")).or_default();
                *known = version.0.max(*known);
            }
            StoreEntry::Endpoint(EndpointUpdate::Published(endpoint)) => {
                self.endpoints.insert(format!("servers/{}", endpoint.id), endpoint.slots.into());
            }
            StoreEntry::Endpoint(EndpointUpdate::Removed(id)) => {
                self.endpoints.remove(&format!("servers/{id}"));
            }
            other => panic!("unexpected entry {other:?}"),
        }
    }

    fn value(&self, key: &str) -> Option<u64> {
        self.versions.get(key).or(self.endpoints.get(key)).copied()
    }
}

/// The store, those who write to it and those who follow it.
struct World {
    seed: u64,
    rng: Rng,
    now: Instant,
    store: Store,
    copies: Vec<Store>,
    /// The store before it last came back, which still answers at times.
    outdated: Option<Store>,
    writers: Writers,
    followers: Vec<Follower>,
}

impl World {
    fn new(seed: u64) -> World {
        World {
            seed,
            rng: Rng::with_seed(seed),
            now: Instant::now(),
            store: Store::default(),
            copies: vec![Store::default()],
            outdated: None,
            writers: Writers::default(),
            followers: (0..FOLLOWERS).map(|_| Follower::default()).collect(),
        }
    }

    fn step(&mut self) {
        self.now += STEP_TIME;
        match self.rng.u32(0..100) {
            0..15 => self.write(),
            15..18 => self.copy(),
            18..20 => self.restore(),
            20..24 => self.writers.write_again(&mut self.store, 2),
            24..26 => self.store.compact(),
            26..30 => {
                // The connection is lost.
                let follower = self.rng.usize(0..FOLLOWERS);
                self.followers[follower].call = None;
            }
            _ => {
                let follower = self.rng.usize(0..FOLLOWERS);
                self.advance(follower, true);
            }
        }
    }

    fn write(&mut self) {
        let number = self.rng.u32(0..10);
        match (number, self.rng.u32(0..4)) {
            (0..3, _) => self.writers.publish(&mut self.store, &format!("op/version/m{number}")),
            (_, 0) => self.writers.delete(&mut self.store, &format!("servers/i-{number}")),
            _ => self.writers.publish(&mut self.store, &format!("servers/i-{number}")),
        }
    }

    fn copy(&mut self) {
        if self.copies.len() == MAX_COPIES {
            self.copies.remove(0);
        }
        self.copies.push(self.store.clone());
    }

    fn restore(&mut self) {
        let copy = self.rng.choice(&self.copies).cloned().unwrap_or_default();
        self.outdated = Some(self.store.clone());
        self.store.restore(copy);
    }

    /// The store that answers a call: rarely one that is out of date, or one that refuses.
    fn respond(
        &mut self,
        has_faults: bool,
        respond: impl Fn(&Store) -> BufferedResponse,
    ) -> BufferedResponse {
        let fault = if has_faults { self.rng.u32(0..20) } else { u32::MAX };
        match (fault, &self.outdated) {
            (0, Some(outdated)) => respond(outdated),
            (1, _) => self.store.refusal(),
            _ => respond(&self.store),
        }
    }

    /// Lets a follower begin a call, receive its answer or apply it.
    fn advance(&mut self, index: usize, has_faults: bool) {
        let result = match self.followers[index].call.take() {
            None => {
                let call = self.begin(index, has_faults);
                self.followers[index].call = Some(call);
                return;
            }
            Some(Call::Read(read, after)) => self.continue_read(index, read, after, has_faults),
            Some(Call::Watch(after, None)) => {
                let response = self.respond(has_faults, |store| store.watch(after.revision));
                self.followers[index].call = Some(Call::Watch(after, Some(response)));
                return;
            }
            Some(Call::Watch(after, Some(response))) => {
                let body = accept_response(response, after.era);
                let watched =
                    body.and_then(|body| WatchedChanges::decode(StoreBody::Plain(body), after));
                let follower = &mut self.followers[index];
                watched.and_then(|watched| follower.apply_changes(watched, self.now))
            }
            Some(Call::Relay(after, source, None)) => {
                let progress = &self.followers[source].progress;
                let answer = progress.changes_since(after);
                // Changes, or that there are none, are told only within the newest era seen.
                assert!(
                    answer == ChangesSince::Unknown || progress.era() == after.era,
                    "{after}, seed {}",
                    self.seed
                );
                self.followers[index].call = Some(Call::Relay(after, source, Some(answer)));
                return;
            }
            Some(Call::Relay(after, _, Some(answer))) => self.apply_relayed(index, after, answer),
        };
        if let Err(err) = result {
            self.followers[index].progress.record_failure(&err);
        }
    }

    fn begin(&mut self, index: usize, has_faults: bool) -> Call {
        let follower = &self.followers[index];
        let Some(after) = follower.progress.position() else {
            return Call::Read(PagedRead::new(follower.progress.era()), None);
        };
        // Without faults the first follower reads the store and the others learn from it.
        let (reads_directly, source) = match has_faults {
            true => (self.rng.bool(), self.rng.usize(0..FOLLOWERS)),
            false => (follower.reads_directly, 0),
        };
        match reads_directly || source == index {
            true => Call::Watch(after, None),
            false => Call::Relay(after, source, None),
        }
    }

    fn continue_read(
        &mut self,
        index: usize,
        mut read: PagedRead,
        after: Option<String>,
        has_faults: bool,
    ) -> Result<(), ReadError> {
        let response = self.respond(has_faults, |store| store.range(after.as_deref()));
        let next = read.add_page(response)?;
        let follower = &mut self.followers[index];
        match next {
            Some(next) => {
                follower.call = Some(Call::Read(read, Some(next)));
                Ok(())
            }
            None => {
                follower.reads_directly = false;
                follower.apply_snapshot(read.finish(), self.now)
            }
        }
    }

    fn apply_relayed(
        &mut self,
        index: usize,
        after: StorePosition,
        answer: ChangesSince,
    ) -> Result<(), ReadError> {
        let follower = &mut self.followers[index];
        match answer {
            ChangesSince::Changes(body) => {
                follower.apply_changes(WatchedChanges::decode(body, after)?, self.now)
            }
            ChangesSince::All(read) => {
                follower.apply_snapshot(Snapshot::decode(read.pages, read.position)?, self.now)
            }
            ChangesSince::None => follower.apply_changes(WatchedChanges::none(after), self.now),
            ChangesSince::Unknown => {
                follower.reads_directly = true;
                Ok(())
            }
        }
    }

    /// Lets everything lost be written again and all followers learn of it, without faults.
    fn settle(&mut self) {
        self.writers.write_again(&mut self.store, usize::MAX);
        for index in 0..FOLLOWERS {
            for _ in 0..QUIET_STEPS {
                self.advance(index, false);
            }
        }
    }

    fn check_published(&self) {
        for follower in &self.followers {
            for (key, value) in follower.versions.iter().chain(&follower.endpoints) {
                let is_published = self.writers.has_published(key, *value);
                assert!(is_published, "{key} = {value}, seed {}", self.seed);
            }
        }
    }

    fn check_newest(&self) {
        for (index, follower) in self.followers.iter().enumerate() {
            let what = format!("at follower {index}, seed {}", self.seed);
            assert_eq!(follower.progress.position(), Some(self.store.position()), "{what}");
            for (key, value) in self.writers.newest() {
                assert_eq!(follower.value(key), *value, "{key} {what}");
            }
        }
    }
}

#[test]
fn all_followers_learn_the_newest_values_however_often_the_store_is_restored() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for step in 0..STEPS {
            let before: Vec<_> = world.followers.iter().map(|f| f.progress.known()).collect();
            world.step();
            for (before, follower) in before.iter().zip(&world.followers) {
                let known = follower.progress.known();
                assert!(*before <= known, "back from {before:?} to {known:?}, seed {seed}");
            }
            world.check_published();
            if world.rng.usize(0..STEPS) < 6 || step + 1 == STEPS {
                world.settle();
                world.check_newest();
            }
        }
    }
}
