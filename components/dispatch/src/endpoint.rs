//! What an entry knows of one endpoint.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use catalog::{Endpoint, EndpointState, WeightsVersion};
use slotmap::{SlotMap, new_key_type};

use crate::{
    Health,
    engine::{EngineModel, Load},
};

new_key_type! {
    /// Names an endpoint within this process.
    pub struct EndpointKey;
    /// Names a request at an endpoint within this process.
    pub struct FlightKey;
}

/// A request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Flight {
    /// Its prompt in tokens.
    pub prompt: f64,
    /// When it was sent.
    pub sent: Instant,
    /// Predicted time until its first event, in milliseconds.
    pub expected: f64,
    /// Whether its first event has come.
    pub started: bool,
}

/// What an agent reported of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineNews {
    /// Whether it takes requests.
    pub serving: bool,
    /// The weights that it holds.
    pub version: Option<WeightsVersion>,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that run there.
    pub running: u32,
    /// Cache tokens in use.
    pub cache_used: u64,
    /// Factor by which it is slower than published.
    pub pace: f64,
    /// Whether this entry sends requests there first.
    pub home: bool,
    /// When the agent's run that reported it started; tells late news.
    pub run: u64,
    /// Counts the reports of that run.
    pub number: u32,
}

/// One endpoint.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) listed: Endpoint,
    /// When it was listed as leaving, or as gone while the store was away.
    pub(crate) leaving: Option<Instant>,
    pub(crate) health: Health,
    pub(crate) flights: SlotMap<FlightKey, Flight>,
    pub(crate) news: Option<(EngineNews, Instant)>,
    /// Requests of other entries there, by the last report.
    pub(crate) others: f64,
    /// Those of them that had no slot.
    pub(crate) others_waiting: f64,
    /// Weights that an answer showed, which may be newer than what is listed.
    pub(crate) seen: Option<WeightsVersion>,
}

/// Time on the way of a report, in which requests that were sent do not show in it yet.
const REPORT_DELAY: Duration = Duration::from_millis(8);

impl Known {
    pub(crate) fn new(listed: Endpoint) -> Known {
        Known {
            listed,
            leaving: None,
            health: Health::default(),
            flights: SlotMap::with_key(),
            news: None,
            others: 0.0,
            others_waiting: 0.0,
            seen: None,
        }
    }

    pub(crate) fn ip(&self) -> Option<Ipv4Addr> {
        match self.listed.addr.ip() {
            std::net::IpAddr::V4(ip) => Some(ip),
            std::net::IpAddr::V6(_) => None,
        }
    }

    /// Takes in a report, unless it is older than the last one.
    pub(crate) fn report(&mut self, news: EngineNews, now: Instant) {
        if let Some((last, _)) = &self.news
            && last.run == news.run
            && news.number <= last.number
        {
            return;
        }
        let seen_there =
            |flight: &Flight| now.saturating_duration_since(flight.sent) > REPORT_DELAY;
        let own = self.flights.values().filter(|f| seen_there(f)).count() as f64;
        let own_unread =
            self.flights.values().filter(|f| seen_there(f) && !f.started).count() as f64;
        let total = f64::from(news.waiting + news.running);
        self.others = (total - own).max(0.0);
        self.others_waiting = (f64::from(news.waiting) - own_unread).max(0.0).min(self.others);
        self.news = Some((news, now));
    }

    /// The last report, unless it is too old.
    pub(crate) fn fresh_news(&self, life: Duration, now: Instant) -> Option<&EngineNews> {
        let fresh = |at: Instant| now.saturating_duration_since(at) < life;
        self.news.as_ref().filter(|(_, at)| fresh(*at)).map(|(news, _)| news)
    }

    /// The weights that it serves, by the newest source.
    pub(crate) fn version(&self, life: Duration, now: Instant) -> Option<WeightsVersion> {
        if let Some(news) = self.fresh_news(life, now) {
            return news.version;
        }
        let listed = self.listed.held.iter().map(|held| held.version).max();
        listed.max(self.seen)
    }

    /// Requests there, of all entries.
    pub(crate) fn total(&self) -> f64 {
        self.flights.len() as f64 + self.others
    }

    pub(crate) fn load(&self, model: &EngineModel, life: Duration, now: Instant) -> Load {
        let own_unread = self.flights.values().filter(|f| !f.started);
        let (count, tokens) =
            own_unread.fold((0.0, 0.0), |(count, sum), f| (count + 1.0, sum + f.prompt));
        let unread = count + self.others_waiting;
        Load {
            writing: (self.total() - unread).max(0.0),
            unread,
            unread_tokens: tokens + self.others_waiting * model.usual_prompt(),
            pace: self.fresh_news(life, now).map_or(1.0, |news| news.pace.max(0.1)),
        }
    }

    /// Whether it may get new work by what is listed.
    pub(crate) fn is_listed_ready(&self) -> bool {
        self.leaving.is_none() && self.listed.state == EndpointState::Ready
    }
}
