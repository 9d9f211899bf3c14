//! The choice: which endpoint suits a request best, and whether it had better wait or be refused.

use std::time::{Duration, Instant};

use base::Zone;
use catalog::interrupts_on_load;

use crate::{
    Decision, DispatchSettings, EndpointKey, Flight, Job, Refusal, endpoint::Known,
    state::Dispatcher,
};

/// How well an endpoint suits a request.
struct Candidate {
    key: EndpointKey,
    /// Predicted time until the first event.
    expected: f64,
    /// `expected` and what else speaks against the endpoint, in milliseconds.
    cost: f64,
    /// Whether the objective is met without harm to others.
    in_time: bool,
    /// Whether it has room for a request that will be late.
    has_room: bool,
}

/// Waiting requests for which a caller is told to wait as long again.
const WAITING_SCALE: f64 = 16.0;
/// Cost of an endpoint all of whose answers were failures.
const FAILURE_COST_MS: f64 = 600.0;
/// Largest cost of an endpoint of this zone that others send requests to, in usual ones.
const NEAR_SPREAD: f64 = 2.0;
/// The same for endpoints of other zones.
const FAR_SPREAD: f64 = 4.0;
/// Cost of an endpoint at which a resumed stream may break off again.
const RELOAD_COST_MS: f64 = 400.0;
/// Time of a request at a plain service before any was measured.
const PLAIN_MS: f64 = 60.0;

impl Dispatcher {
    pub(crate) fn decide(&mut self, job: &Job, now: Instant) -> Decision {
        if now >= job.deadline {
            return self.refuse(Refusal::Late);
        }
        let candidates = self.candidates(job, now);
        if candidates.is_empty() {
            // One that pauses for a moment takes requests again before the wait is over.
            return match self.may_return(job) {
                true => self.hold(job, Refusal::NoEndpoint, now),
                false => self.refuse(Refusal::NoEndpoint),
            };
        }
        let best = |fits: fn(&Candidate) -> bool| {
            let fitting = candidates.iter().filter(|c| fits(c));
            fitting.min_by(|a, b| a.cost.total_cmp(&b.cost))
        };
        let chosen = best(|c| c.in_time);
        // One that is late in any case takes what room is left.
        let late = job.again || now.saturating_duration_since(job.asked) > job.objective;
        let chosen = chosen.or_else(|| if late { best(|c| c.has_room) } else { None });
        match chosen {
            Some(candidate) => {
                let (key, expected) = (candidate.key, candidate.expected);
                self.send(key, job, expected, now)
            }
            None => self.hold(job, Refusal::Overload, now),
        }
    }

    fn send(&mut self, key: EndpointKey, job: &Job, expected: f64, now: Instant) -> Decision {
        let prompt = job.size.map_or(0.0, |size| size.prompt);
        let flight = Flight { prompt, sent: now, expected, started: false };
        let flight = self.endpoints[key].flights.insert(flight);
        let expected = Duration::from_secs_f64(expected.max(0.0) / 1e3);
        Decision::Send { endpoint: key, flight, expected }
    }

    /// Lets a request wait while that may help.
    fn hold(&mut self, job: &Job, reason: Refusal, now: Instant) -> Decision {
        let waited = now.saturating_duration_since(job.arrived);
        let full = self.waiting.len() >= self.settings.queue;
        if full || waited >= job.objective.mul_f64(self.settings.wait_part) {
            return self.refuse(reason);
        }
        Decision::Wait
    }

    fn refuse(&self, reason: Refusal) -> Decision {
        let DispatchSettings { least_retry_after, most_retry_after, .. } = self.settings;
        // The more wait, the later there is room.
        let spread = 1.0 + self.waiting.len() as f64 / WAITING_SCALE;
        let wait = match reason {
            Refusal::NoEndpoint => most_retry_after,
            Refusal::Overload | Refusal::Late => least_retry_after.mul_f64(spread),
        };
        Decision::Refuse { reason, retry_after: wait.min(most_retry_after) }
    }

    fn candidates(&self, job: &Job, now: Instant) -> Vec<Candidate> {
        let usable = self.endpoints.iter().filter(|(key, known)| {
            known.listed.service == job.service
                && !job.tried.contains(key)
                && self.is_usable(known, now)
        });
        usable.map(|(key, known)| self.candidate(key, known, job, now)).collect()
    }

    /// Whether an endpoint that was not tried is only pausing.
    fn may_return(&self, job: &Job) -> bool {
        let mut of_service = self
            .endpoints
            .iter()
            .filter(|(key, known)| known.listed.service == job.service && !job.tried.contains(key));
        of_service.any(|(_, known)| known.is_listed_ready() && known.health.is_pausing())
    }

    fn is_usable(&self, known: &Known, now: Instant) -> bool {
        if !known.is_listed_ready() || !known.health.allows(now) {
            return false;
        }
        if !self.models.contains_key(&known.listed.service) {
            return true;
        }
        let life = self.settings.report_life;
        if known.fresh_news(life, now).is_some_and(|news| !news.serving) {
            return false;
        }
        match (known.version(life, now), self.required_now(&known.listed.service, now)) {
            (None, _) => false,
            (Some(version), Some(required)) => version >= required,
            (Some(_), None) => true,
        }
    }

    fn candidate(&self, key: EndpointKey, known: &Known, job: &Job, now: Instant) -> Candidate {
        let near = self.distance_ms(&known.listed.zone);
        let waited = now.saturating_duration_since(job.asked).as_secs_f64() * 1e3;
        let budget = job.objective.as_secs_f64() * 1e3 * self.settings.objective_part
            - self.settings.caller_delay.as_secs_f64() * 1e3
            - waited;
        let bias = self.biases.get(&job.service).copied().unwrap_or_default().millis();
        let life = self.settings.report_life;
        let shared = known.fresh_news(life, now).is_some_and(|news| !news.home);
        let shared = if shared { self.shared_cost(near) } else { 0.0 };
        let against = near + shared + known.health.failures() * FAILURE_COST_MS;
        let Some(model) = self.models.get(&job.service) else {
            return self.plain_candidate(key, known, against);
        };
        let load = known.load(model, life, now);
        let prompt = job.size.map_or(model.usual_prompt(), |size| size.prompt);
        let expected = model.first_event_ms(&load, prompt);
        let pass = model.next_pass_ms(&load, prompt);
        let gap = job.gap.map_or(f64::INFINITY, |gap| gap.as_secs_f64() * 1e3);
        // A prompt that alone takes longer than a pause may last has to be read all the same.
        let harmless = load.unread == 0.0 || pass <= gap * self.settings.gap_part;
        let slots = f64::from(model.slots());
        let total = known.total();
        let part = if job.resumed { 1.0 } else { self.settings.late_part };
        let again = if job.resumed { self.reload_cost(known, now) } else { 0.0 };
        Candidate {
            key,
            expected,
            cost: expected + against + again,
            in_time: harmless && expected + bias <= budget,
            has_room: harmless && total < slots * part,
        }
    }

    /// What speaks against an endpoint that is to load other weights soon and breaks off what runs there.
    /// The last endpoints of a zone by address end it instead.
    fn reload_cost(&self, known: &Known, now: Instant) -> f64 {
        if !self.will_load(known, now) {
            return 0.0;
        }
        let (service, zone) = (&known.listed.service, &known.listed.zone);
        let near = |other: &&Known| other.listed.service == *service && other.listed.zone == *zone;
        let all = self.endpoints.values().filter(near);
        let breaks = known.ip().is_some_and(|ip| interrupts_on_load(ip, all.filter_map(Known::ip)));
        if breaks { RELOAD_COST_MS } else { 0.0 }
    }

    /// Whether an endpoint serves older weights than were named, so that it is to load soon.
    fn will_load(&self, known: &Known, now: Instant) -> bool {
        let required = self.required.get(&known.listed.service);
        let newest = required.and_then(|all| all.iter().map(|r| r.version).max());
        known.version(self.settings.report_life, now) < newest
    }

    fn plain_candidate(&self, key: EndpointKey, known: &Known, against: f64) -> Candidate {
        let slots = f64::from(known.listed.slots.max(1));
        let total = known.total();
        let rounds = (total + 1.0) / slots;
        let expected = PLAIN_MS * rounds.max(1.0);
        let free = total < slots;
        Candidate {
            key,
            expected,
            cost: PLAIN_MS * rounds + against,
            in_time: free,
            has_room: free,
        }
    }

    /// What speaks against an endpoint that other entries send requests to first, drawn anew each time,
    /// as entries that see the same old report would all choose the same endpoint. Reports from other
    /// zones are older.
    fn shared_cost(&self, distance: f64) -> f64 {
        let usual = self.settings.shared_cost.as_secs_f64() * 1e3;
        let most = if distance > 0.0 { FAR_SPREAD * usual } else { NEAR_SPREAD * usual };
        self.rng.borrow_mut().f64() * most
    }

    fn distance_ms(&self, zone: &Zone) -> f64 {
        let DispatchSettings { zone_cost, region_cost, .. } = self.settings;
        if *zone == self.zone {
            return 0.0;
        }
        let same_region = self.regions.get(zone) == self.regions.get(&self.zone);
        let region = if same_region { Duration::ZERO } else { region_cost };
        (zone_cost + region).as_secs_f64() * 1e3
    }
}
