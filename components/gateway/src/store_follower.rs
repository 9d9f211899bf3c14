//! Follows the platform's store: endpoints, the configuration and the weights that the operator names.

use std::{
    collections::HashSet,
    net::Ipv4Addr,
    rc::Rc,
    time::{Duration, Instant},
};

use directory::{
    AnswerLimits, ReadError, Recovery, Restoration, Snapshot, StoreReader, WatchAnswer,
    WatchedChanges, known_by_watch,
};
use dispatch::ListingOrigin;
use metrics::gauge;
use platform::store::{StoreEra, StorePosition};
use slog::{info, warn};
use telemetry::names;
use tokio::time::sleep;
use transport::TransportError;

use crate::{
    change_origin::ChangeOrigin,
    change_source::{ChangeSource, SourceSelection},
    relay::{LearnedChanges, LearnedContent, RelayError},
    reregistration::ReregistrationGrace,
    state::{Gateway, now},
    store_patience::StorePatience,
    weights::NamingTime,
};

/// What an answer of the store, or of another gateway, tells of how far the store is known.
#[derive(Debug, Clone, Copy)]
struct Knowledge {
    source: ChangeSource,
    /// When the answer was all there was.
    confirmed_at: Instant,
    /// Time before which the store acknowledged no change that is still unknown; `None` if more
    /// changes follow.
    known_until: Option<Instant>,
}

impl Knowledge {
    /// What an answer of the store tells that was all there was at `confirmed_at` and lacks nothing
    /// from before `known_until`.
    fn from_store(confirmed_at: Instant, known_until: Instant) -> Knowledge {
        let source = ChangeSource::Store;
        Knowledge { source, confirmed_at, known_until: Some(known_until) }
    }
}

/// Applies the contents of the store to the gateway.
pub(crate) struct StoreFollower {
    pub(crate) gateway: Rc<Gateway>,
    reader: StoreReader,
    sources: SourceSelection,
    /// The source of the last changes, for the log.
    source: ChangeSource,
    /// Whether a request for changes failed since changes were last learned.
    interrupted: bool,
    /// When the store became unreachable.
    lost_at: Option<Instant>,
    /// Number of failed calls to the store since then, for the log.
    failures: u32,
    /// How long answers of the store are waited for.
    patience: StorePatience,
    /// How long endpoints that are missing from the store get to register again.
    pub(crate) reregistration: ReregistrationGrace,
    /// Entries that could not be read, and why, as they were last logged.
    pub(crate) unreadable: HashSet<(String, String)>,
}

impl StoreFollower {
    pub(crate) fn new(gateway: Rc<Gateway>, reader: StoreReader) -> StoreFollower {
        let sources = {
            let process = gateway.process.borrow();
            SourceSelection::new(process.ip, process.zone.clone(), gateway.source_times())
        };
        let patience = StorePatience::new(&gateway.source_times());
        let reregistration = ReregistrationGrace::new(gateway.settings.dispatch.relist_grace);
        StoreFollower {
            gateway,
            reader,
            sources,
            source: ChangeSource::Store,
            interrupted: false,
            lost_at: None,
            failures: 0,
            patience,
            reregistration,
            unreadable: HashSet::new(),
        }
    }

    /// Follows the store until the task is dropped.
    pub(crate) async fn run(mut self) {
        let gateway = self.gateway.clone();
        loop {
            let pause = tokio::select! {
                result = self.step() => self.pause_after(&result),
                ip = gateway.wait_until_behind() => {
                    self.catch_up(ip).await;
                    Duration::ZERO
                }
            };
            sleep(pause).await;
        }
    }

    /// Handles the result of a step. Returns the pause before the next one.
    fn pause_after(&mut self, result: &Result<bool, ReadError>) -> Duration {
        match result {
            Ok(true) => self.gateway.source_times().store_pause,
            Ok(false) => Duration::ZERO,
            Err(err) => self.handle_failure(err),
        }
    }

    /// Handles a failed read or watch. Returns the pause before the next attempt.
    fn handle_failure(&mut self, err: &ReadError) -> Duration {
        let recovery = self.gateway.store_progress.borrow_mut().record_failure(err);
        match recovery {
            Recovery::ReadAll => {
                self.gateway.store_changed.notify_waiters();
                Duration::ZERO
            }
            Recovery::Retry => {
                self.interrupted = true;
                // The first failure may be one of the connection, so the store is asked again.
                if self.lost_at.is_some() {
                    self.sources.record_store_failure(now());
                }
                self.handle_store_lost(err);
                self.gateway.source_times().retry_delay
            }
        }
    }

    /// Reads the whole store, or waits for changes. Returns whether the store sent anything new.
    async fn step(&mut self) -> Result<bool, ReadError> {
        let position = self.gateway.store_progress.borrow().position();
        let Some(at) = position else {
            self.read_all().await?;
            return Ok(true);
        };
        let gateways: Vec<_> = self.gateway.zone_gateways.borrow().keys().copied().collect();
        match self.sources.choose(gateways, now()) {
            ChangeSource::Store => self.watch_store(at).await,
            ChangeSource::Gateway(ip) => {
                self.follow_gateway(ip, at).await;
                Ok(false)
            }
        }
    }

    /// Reads the whole store. The first time a stale read is enough, as the watch after it returns
    /// what the read lacks before anything is served.
    async fn read_all(&mut self) -> Result<(), ReadError> {
        let is_first = !self.gateway.endpoints_listed.get();
        if is_first {
            match self.read_stale().await {
                Ok(()) => return Ok(()),
                Err(err @ ReadError::Restored(_)) => return Err(err),
                Err(err) => info!(self.gateway.log, "stale read of the store failed";
                    "error" => %err),
            }
        }
        let sent_at = now();
        let snapshot = self.read_pages(false).await?;
        let sent_at = self.gateway.corrected_time(sent_at);
        let named = self.naming_time();
        self.accept_snapshot(snapshot, named, Knowledge::from_store(sent_at, sent_at))
    }

    async fn read_stale(&mut self) -> Result<(), ReadError> {
        let mut snapshot = self.read_pages(true).await?;
        let wait = self.gateway.settings.catch_up_wait;
        let sent_at = now();
        let limits = self.watch_limits();
        let watched = self.reader.watch(snapshot.position, wait, limits).await?.changes;
        let sent_at = self.gateway.corrected_time(sent_at);
        let named = self.naming_time();
        snapshot.position = watched.position;
        // The pages are older than the position by the changes that were watched.
        snapshot.pages.clear();
        let origin = ChangeOrigin::learned(ChangeSource::Store, snapshot.position);
        self.accept_snapshot(snapshot, named, Knowledge::from_store(sent_at, sent_at))?;
        self.apply_changes(watched.entries, named, origin);
        Ok(())
    }

    /// When weights that a read of the whole store finds can have been named.
    fn naming_time(&self) -> NamingTime {
        match self.gateway.store_progress.borrow().known_until() {
            Some(at) => NamingTime::NotBefore(at),
            None => NamingTime::BeforeFirstRead,
        }
    }

    /// When weights among the next changes can have been named. They are learned within the margin of
    /// the version bound, unless the process was paused or requests for changes failed.
    fn naming_time_of_changes(&self) -> NamingTime {
        self.gateway.observe_pauses();
        match self.naming_time() {
            NamingTime::NotBefore(known_until) if !self.interrupted => {
                let pauses = self.gateway.pauses.borrow();
                NamingTime::NotBefore(pauses.learned_since(known_until, now()))
            }
            named => named,
        }
    }

    fn known_era(&self) -> StoreEra {
        self.gateway.store_progress.borrow().era()
    }

    /// Applies a read of the whole store. `named` is when weights in it can have been named.
    fn accept_snapshot(
        &mut self,
        snapshot: Snapshot,
        named: NamingTime,
        knowledge: Knowledge,
    ) -> Result<(), ReadError> {
        let position = snapshot.position;
        let (before, restored) = {
            let mut progress = self.gateway.store_progress.borrow_mut();
            let before = progress.known();
            let restored = progress.accept_snapshot(position, knowledge.confirmed_at)?;
            if !snapshot.pages.is_empty() {
                progress.keep_pages(snapshot.pages);
            }
            if let Some(until) = knowledge.known_until {
                progress.record_known(until);
                self.interrupted = false;
            }
            (before, restored)
        };
        self.record_position(position);
        let listing = match restored {
            Some(_) => ListingOrigin::OlderCopy,
            None => ListingOrigin::Current,
        };
        self.handle_store_regained();
        info!(self.gateway.log, "store read"; "from" => %knowledge.source,
            "era" => position.era.0, "revision" => position.revision.0,
            "before" => before.map_or(0, |before| before.revision.0));
        if let Some(Restoration { before, after }) = restored {
            warn!(self.gateway.log, "store came back from an older copy";
                "before" => %before, "after" => %after);
            self.reregistration.record_restoration(now());
        }
        gauge!(names::STORE_ERA).set(position.era.0 as f64);
        self.gateway.store_changed.notify_waiters();
        let origin = ChangeOrigin::learned(knowledge.source, position);
        self.apply_snapshot(snapshot.entries, listing, named, origin);
        Ok(())
    }

    async fn watch_store(&mut self, at: StorePosition) -> Result<bool, ReadError> {
        let (sent_at, wait) = (now(), self.store_wait());
        let result = self.reader.watch(at, wait, self.watch_limits()).await;
        self.record_answer_time(&result, sent_at, wait);
        let answer = result?;
        let watched = answer.changes;
        let sent_at = self.gateway.corrected_time(sent_at);
        let changed = !watched.entries.is_empty();
        let known_until = known_by_watch(sent_at, wait, changed, now());
        let confirmed_at = self.gateway.corrected_time(answer.begun_at.into_std());
        self.accept_changes(watched, Knowledge::from_store(confirmed_at, known_until))?;
        self.log_source(ChangeSource::Store, Duration::ZERO);
        Ok(changed)
    }

    /// Records how long the answer to a watch that was sent at `sent_at` took to begin. One that came
    /// earlier than the store was to wait tells nothing.
    fn record_answer_time(
        &mut self,
        result: &Result<WatchAnswer, ReadError>,
        sent_at: Instant,
        wait: Duration,
    ) {
        let times = self.gateway.source_times();
        if is_timeout(result) {
            self.patience.record_timeout(&times);
        }
        let Ok(answer) = result else { return };
        let elapsed = answer.begun_at.into_std().saturating_duration_since(sent_at);
        if let Some(time) = elapsed.checked_sub(wait) {
            self.patience.record_answer(time, &times);
        }
    }

    /// Time limits of a watch, beyond the time for which the store waits.
    fn watch_limits(&self) -> AnswerLimits {
        let stall = self.gateway.source_times().stall;
        AnswerLimits { begin: self.patience.grace(), stall }
    }

    /// Reads the whole store.
    async fn read_pages(&mut self, stale: bool) -> Result<Snapshot, ReadError> {
        let times = self.gateway.source_times();
        let limits = AnswerLimits { begin: self.patience.read_grace(&times), stall: times.stall };
        let result = self.reader.read(self.known_era(), stale, limits).await;
        if is_timeout(&result) {
            self.patience.record_timeout(&times);
        }
        result
    }

    /// Maximum time that a watch waits. The first watch after a failure, or after changes were learned
    /// from another gateway, is answered at once, as its response shows whether the store came back
    /// from an older copy meanwhile.
    fn store_wait(&self) -> Duration {
        if self.lost_at.is_some() || self.source != ChangeSource::Store {
            return self.gateway.settings.catch_up_wait;
        }
        self.patience.wait(&self.gateway.source_times()).max(self.gateway.settings.catch_up_wait)
    }

    /// Learns changes from another gateway; if that fails, it is not asked again for a while.
    async fn follow_gateway(&mut self, ip: Ipv4Addr, at: StorePosition) {
        let learned = self.gateway.request_changes(ip, at).await;
        match learned.and_then(|learned| self.accept_learned(ip, learned)) {
            Ok(age) => self.log_source(ChangeSource::Gateway(ip), age),
            Err(err) => {
                info!(self.gateway.log, "changes not learned from a gateway";
                    "entry" => %ip, "error" => %err);
                self.interrupted = true;
                self.sources.record_failure(ip, now());
            }
        }
    }

    /// Learns from another gateway what the own source of changes has not told in time.
    async fn catch_up(&mut self, ip: Ipv4Addr) {
        let position = self.gateway.store_progress.borrow().position_for_peers();
        let Some(at) = position else { return };
        let learned = self.gateway.request_changes(ip, at).await;
        // What the own source did not tell can be older than its usual delay.
        self.interrupted = true;
        let result = learned.and_then(|learned| self.accept_learned(ip, learned));
        let known = self.gateway.store_progress.borrow().position_for_peers();
        if result.is_err() || known <= Some(at) {
            self.gateway.position_news.borrow_mut().record_failure(ip, now());
        }
        match result {
            Ok(age) => {
                self.source = ChangeSource::Gateway(ip);
                info!(self.gateway.log, "changes learned from a gateway that knows more";
                    "entry" => %ip, "age_ms" => age.as_millis() as u64);
            }
            Err(err) => {
                info!(self.gateway.log, "changes not learned from a gateway that knows more";
                    "entry" => %ip, "error" => %err);
            }
        }
    }

    /// Applies changes that were learned from another gateway. Returns the age of its knowledge.
    fn accept_learned(
        &mut self,
        gateway: Ipv4Addr,
        learned: LearnedChanges,
    ) -> Result<Duration, RelayError> {
        let knowledge = Knowledge {
            source: ChangeSource::Gateway(gateway),
            confirmed_at: learned.confirmed_at,
            known_until: learned.known_until,
        };
        match learned.content {
            LearnedContent::Changes(watched) => self.accept_changes(watched, knowledge)?,
            LearnedContent::All(snapshot) => {
                let named = self.naming_time();
                self.accept_snapshot(snapshot, named, knowledge)?
            }
        }
        Ok(learned.age)
    }

    fn accept_changes(
        &mut self,
        watched: WatchedChanges,
        knowledge: Knowledge,
    ) -> Result<(), ReadError> {
        let named = self.naming_time_of_changes();
        {
            let mut progress = self.gateway.store_progress.borrow_mut();
            progress.accept_changes(&watched, knowledge.confirmed_at)?;
            if let Some(until) = knowledge.known_until {
                progress.record_known(until);
                self.interrupted = false;
            }
        }
        self.record_position(watched.position);
        self.handle_store_regained();
        self.gateway.store_changed.notify_waiters();
        let origin = ChangeOrigin::learned(knowledge.source, watched.position);
        self.apply_changes(watched.entries, named, origin);
        Ok(())
    }

    /// Records up to which position the store is known.
    fn record_position(&self, position: StorePosition) {
        self.gateway.position_news.borrow_mut().record_own(position, now());
        gauge!(names::STORE_REVISION).set(position.revision.0 as f64);
    }

    fn log_source(&mut self, source: ChangeSource, age: Duration) {
        if self.source == source {
            return;
        }
        self.source = source;
        info!(self.gateway.log, "source of changes"; "from" => %source,
            "age_ms" => age.as_millis() as u64);
    }

    fn handle_store_lost(&mut self, err: &ReadError) {
        self.failures += 1;
        if self.lost_at.is_some() {
            return;
        }
        self.lost_at = Some(now());
        self.gateway.store_lost.set(true);
        self.gateway.store_changed.notify_waiters();
        let age = self.gateway.store_progress.borrow().age(now());
        warn!(self.gateway.log, "store lost"; "error" => %err,
            "age_ms" => age.map(|age| age.as_millis() as u64));
    }

    fn handle_store_regained(&mut self) {
        let Some(lost_at) = self.lost_at.take() else { return };
        self.gateway.store_lost.set(false);
        let now = now();
        let away = now.saturating_duration_since(lost_at);
        if away >= self.gateway.settings.store_outage_threshold {
            self.reregistration.record_outage(now);
        }
        let failures = std::mem::take(&mut self.failures);
        info!(self.gateway.log, "store regained"; "failures" => failures,
            "away_ms" => away.as_millis() as u64);
    }
}

/// Whether the store has not begun to answer in time.
fn is_timeout<T>(result: &Result<T, ReadError>) -> bool {
    matches!(result, Err(ReadError::Transport(TransportError::Timeout)))
}
