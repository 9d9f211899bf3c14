use std::collections::BTreeSet;

use fastrand::Rng;

use super::*;

/// Time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after an endpoint first named its limit from which the limit binds.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);
/// Time between two steps.
const STEP: Duration = Duration::from_millis(10);
/// Steps after which a gateway sends news.
const ROUND_STEPS: usize = 12;
/// Steps after which all gateways know of the limit.
const FIRST_STEP: u32 = 100;
/// Time that a datagram takes at most.
const MAX_DELAY_MS: u64 = 50;
/// Time within which all learn that a gateway has joined.
const MAX_JOIN_MS: u64 = 1000;
/// Share of datagrams that are lost.
const LOSS: f64 = 0.1;
/// Gateways that are told at random.
const TOLD: usize = 4;
/// Gateways that are told as they want to send too.
const MAX_TOLD_WANTING: usize = 8;

fn ip(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, index as u8 + 1)
}

fn index_of(ip: Ipv4Addr) -> usize {
    usize::from(ip.octets()[3]) - 1
}

/// Gateways that share the limit of one endpoint, in virtual time.
struct Simulation {
    rng: Rng,
    start: Instant,
    limits: Vec<SharedLimit>,
    /// Arrival time, receiver, news.
    datagrams: Vec<(Instant, usize, LimitNews)>,
    sent: Vec<Instant>,
    /// Steps that were made.
    steps: u32,
    /// Until when each gateway is cut off from the others.
    cut_until: Vec<Instant>,
    /// Until when each gateway does not run.
    frozen_until: Vec<Instant>,
    /// When the others learn that each gateway exists.
    known_from: Vec<Instant>,
    /// Until when the requests of each gateway do not count, as it was started, frozen or cut off.
    excused_until: Vec<Instant>,
}

impl Simulation {
    fn new(seed: u64, limit: f64, gateways: usize) -> Simulation {
        let mut rng = Rng::with_seed(seed);
        let start = Instant::now();
        let limits = (0..gateways)
            .map(|_| {
                let told = start + Duration::from_millis(rng.u64(0..1000));
                SharedLimit::new(Rate(limit), told, told, told)
            })
            .collect();
        Simulation {
            rng,
            start,
            limits,
            datagrams: Vec::new(),
            sent: Vec::new(),
            steps: FIRST_STEP,
            cut_until: vec![start; gateways],
            frozen_until: vec![start; gateways],
            known_from: vec![start; gateways],
            excused_until: vec![start; gateways],
        }
    }

    /// Restarts a gateway, which then learns of the limit from the next answer.
    fn restart(&mut self, index: usize, now: Instant) {
        let limit = self.limits[index].limit;
        self.limits[index] = SharedLimit::new(limit, now, now, now);
        self.excuse(index, now + CONTACT_WINDOW);
    }

    /// Adds a gateway, which learns of the limit from its next answer.
    fn join(&mut self, now: Instant) {
        let limit = self.limits[0].limit;
        self.limits.push(SharedLimit::new(limit, now, now, now));
        self.cut_until.push(now);
        self.frozen_until.push(now);
        self.known_from.push(now + Duration::from_millis(self.rng.u64(0..MAX_JOIN_MS)));
        self.excused_until.push(now + CONTACT_WINDOW);
    }

    /// Freezes a gateway for a time. What it is sent meanwhile arrives at the end.
    fn freeze(&mut self, index: usize, time: Duration, now: Instant) {
        self.frozen_until[index] = self.frozen_until[index].max(now + time);
        self.excuse(index, now + time + CONTACT_WINDOW);
    }

    /// Cuts a gateway off from the others for a time.
    fn cut(&mut self, index: usize, time: Duration, now: Instant) {
        self.cut_until[index] = self.cut_until[index].max(now + time);
        self.excuse(index, now + time + CONTACT_WINDOW);
    }

    /// Does not count the requests of a gateway until a time, or longer if an earlier fault lasts longer.
    fn excuse(&mut self, index: usize, until: Instant) {
        self.excused_until[index] = self.excused_until[index].max(until);
    }

    fn group(&self, index: usize, now: Instant) -> GatewayGroup {
        let is_known = |other: &usize| *other == index || now >= self.known_from[*other];
        let count = (0..self.limits.len()).filter(is_known).count();
        GatewayGroup { own_ip: ip(index), count }
    }

    fn is_frozen(&self, index: usize, now: Instant) -> bool {
        now < self.frozen_until[index]
    }

    /// Runs until a time after the start, while each gateway would send `demand` requests a second.
    fn run_until(&mut self, time: Duration, demand: impl Fn(usize, Instant) -> f64) {
        let last = (time.as_millis() / STEP.as_millis()) as u32;
        for n in self.steps..last {
            self.steps = last;
            let now = self.start + STEP * n;
            self.deliver(now);
            for index in 0..self.limits.len() {
                if self.is_frozen(index, now) {
                    continue;
                }
                if self.rng.f64() < demand(index, now) * STEP.as_secs_f64() {
                    self.request(index, now);
                }
                if (n as usize + index).is_multiple_of(ROUND_STEPS) {
                    self.tell(index, now);
                }
            }
        }
    }

    fn request(&mut self, index: usize, now: Instant) {
        let group = self.group(index, now);
        let limit = &mut self.limits[index];
        limit.record_want(group, now);
        if limit.has_token() {
            limit.take_token(group, now);
            if now >= self.excused_until[index] {
                self.sent.push(now);
            }
        }
    }

    fn tell(&mut self, index: usize, now: Instant) {
        let group = self.group(index, now);
        let Some(wanting) = self.limits[index].take_news(group, now) else { return };
        let limit = &self.limits[index];
        let news = LimitNews {
            endpoint: "i-1".parse().unwrap(),
            limit: Some(limit.limit),
            seen_at: limit.seen_at,
            named_at: limit.named_at,
            wanting,
        };
        let mut told: BTreeSet<usize> =
            limit.others().map(index_of).take(MAX_TOLD_WANTING).collect();
        let others = (0..self.limits.len()).filter(|other| *other != index);
        told.extend(self.rng.choose_multiple(others, TOLD));
        for other in told {
            let is_cut = now < self.cut_until[index] || now < self.cut_until[other];
            if !is_cut && self.rng.f64() >= LOSS {
                let delay = Duration::from_millis(self.rng.u64(1..MAX_DELAY_MS));
                self.datagrams.push((now + delay, other, news.clone()));
            }
        }
    }

    fn deliver(&mut self, now: Instant) {
        let datagrams = std::mem::take(&mut self.datagrams).into_iter();
        let (arrived, rest) =
            datagrams.partition(|(at, receiver, _)| *at <= now && !self.is_frozen(*receiver, now));
        self.datagrams = rest;
        for (_, receiver, news) in arrived {
            let group = self.group(receiver, now);
            self.limits[receiver].record_news(group, &news);
        }
    }

    /// The most requests in any window, from when the limit binds.
    fn most_in_window(&self) -> usize {
        let bound: Vec<Instant> =
            self.sent.iter().copied().filter(|at| *at >= self.start + CONTACT_WINDOW).collect();
        let count_from =
            |from: &Instant| bound.iter().filter(|at| (*from..*from + WINDOW).contains(at)).count();
        bound.iter().map(count_from).max().unwrap_or(0)
    }
}

/// The most requests that a limit allows in a window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

const LIMITS: [f64; 7] = [0.0, 0.2, 0.5, 1.0, 1.3, 3.0, 10.0];
const COUNTS: [usize; 7] = [1, 2, 4, 5, 8, 15, 53];
const TIME: Duration = Duration::from_secs(45);

/// Guards against gateways that together send more than a limit allows.
#[test]
fn gateways_together_stay_within_a_limit_whoever_sends() {
    for (seed, count) in (1..).zip(COUNTS) {
        for limit in LIMITS {
            let demands: [fn(usize, Instant, Instant) -> f64; 4] = [
                |_, _, _| 20.0,
                |_, _, _| 0.3,
                |index, _, _| if index == 0 { 20.0 } else { 0.1 },
                // All at once, after a pause in which tokens could be saved up.
                |_, start, now| {
                    if (now - start).as_secs() % 20 < 4 { 20.0 } else { 0.0 }
                },
            ];
            for (pattern, demand) in demands.into_iter().enumerate() {
                let mut simulation = Simulation::new(seed, limit, count);
                let start = simulation.start;
                simulation.run_until(TIME, |index, now| demand(index, start, now));
                let most = simulation.most_in_window();
                assert!(most <= allowed(limit), "{most}: {count} {limit} {pattern}");
            }
        }
    }
}

/// Guards against a limit that is mostly left unused although requests wait for it.
#[test]
fn gateways_use_most_of_a_limit_whoever_sends() {
    for (seed, count) in (1..).zip(COUNTS) {
        for limit in [1.0, 1.3, 3.0, 10.0] {
            let demands: [fn(usize) -> f64; 2] =
                [|_| 20.0, |index| if index == 0 { 20.0 } else { 0.0 }];
            for (pattern, demand) in demands.into_iter().enumerate() {
                let mut simulation = Simulation::new(seed, limit, count);
                simulation.run_until(TIME, |index, _| demand(index));
                let share = simulation.sent.len() as f64 / (limit * TIME.as_secs_f64());
                assert!(share >= 0.6, "{share}: {count} {limit} {pattern}");
            }
        }
    }
}

#[test]
fn a_gateway_that_wants_nothing_tells_nothing() {
    let now = Instant::now();
    let mut limit = SharedLimit::new(Rate(1.0), now, now, now);
    let group = GatewayGroup { own_ip: ip(0), count: 4 };
    assert_eq!(limit.take_news(group, now), None);
    limit.record_want(group, now);
    assert_eq!(limit.take_news(group, now), Some(vec![WantingGateway { ip: ip(0), at: now }]));
    assert_eq!(limit.take_news(group, now), None, "not again at once");
    assert!(limit.take_news(group, now + NEWS_INTERVAL).is_some());
    assert_eq!(limit.take_news(group, now + INTEREST_TIME), None);
}

/// Guards against a request that waits for a token which does not come in time, as its gateway has not
/// settled yet.
#[test]
fn tokens_are_expected_only_from_when_a_gateway_may_send() {
    let now = Instant::now();
    let group = GatewayGroup { own_ip: ip(0), count: 15 };
    let mut limit = SharedLimit::new(Rate(2.0), now, now, now);
    limit.record_want(group, now);
    assert_eq!(limit.tokens_within(SETTLE_TIME, group, now), 0.0);
    assert_eq!(limit.tokens_within(SETTLE_TIME + Duration::from_secs(1), group, now), 2.0);
    let small = GatewayGroup { count: 4, ..group };
    assert_eq!(limit.tokens_within(Duration::from_secs(1), small, now), 2.0);
}

/// Runs with disturbances, each a few seconds after the one before, and all gateways wanting to send.
/// `disturb` gets the simulation, a random gateway, a time and now. Returns the most requests in a window.
fn most_with_disturbances(
    (seed, count, limit): (u64, usize, f64),
    disturb: impl Fn(&mut Simulation, &mut Rng, usize, Instant),
) -> usize {
    let mut simulation = Simulation::new(seed, limit, count);
    let mut faults = Rng::with_seed(seed);
    let mut next = 4;
    for second in 2..=TIME.as_secs() {
        simulation.run_until(Duration::from_secs(second), |_, _| 20.0);
        if second >= next {
            next = second + faults.u64(1..5);
            let now = simulation.start + Duration::from_secs(second);
            let index = faults.usize(0..simulation.limits.len());
            disturb(&mut simulation, &mut faults, index, now);
        }
    }
    simulation.most_in_window()
}

/// All seeds, sizes and limits with which disturbances are simulated.
fn disturbed_cases() -> impl Iterator<Item = (u64, usize, f64)> {
    (1..=6).flat_map(|seed| {
        COUNTS.into_iter().flat_map(move |count| LIMITS.map(|limit| (seed, count, limit)))
    })
}

/// Guards against gateways that stay within a limit only as long as all of them run and hear each other.
#[test]
fn gateways_stay_within_a_limit_while_others_restart_and_are_cut_off() {
    for case in disturbed_cases() {
        let most =
            most_with_disturbances(case, |simulation, faults, index, now| match faults.bool() {
                true => simulation.restart(index, now),
                false => simulation.cut(index, Duration::from_secs(faults.u64(1..9)), now),
            });
        assert!(most <= allowed(case.2), "{most}: seed, gateways and limit {case:?}");
    }
}

/// Guards against a gateway that goes on after a freeze with the tokens and the turn of before.
#[test]
fn gateways_stay_within_a_limit_while_others_are_frozen() {
    for case in disturbed_cases() {
        let most = most_with_disturbances(case, |simulation, faults, index, now| {
            simulation.freeze(index, Duration::from_millis(faults.u64(100..9000)), now)
        });
        assert!(most <= allowed(case.2), "{most}: seed, gateways and limit {case:?}");
    }
}

/// Guards against gateways that share a limit among those that were there when it was named.
#[test]
fn gateways_stay_within_a_limit_while_others_join() {
    for case in disturbed_cases() {
        let most = most_with_disturbances(case, |simulation, _, _, now| simulation.join(now));
        assert!(most <= allowed(case.2), "{most}: seed, gateways and limit {case:?}");
    }
}
