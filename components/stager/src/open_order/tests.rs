use fastrand::Rng;

use super::*;

const PIECES: usize = 3;

fn weights(version: u64) -> Weights {
    Weights { version: WeightsVersion(version), digests: Rc::default(), pieces: Vec::new() }
}

#[test]
fn staged_pieces_stay_until_an_order_is_answered() {
    let mut orders = OpenOrders::default();
    assert!(orders.may_stage(WeightsVersion(3)));
    orders.open(weights(2), 7);
    assert!(orders.may_stage(WeightsVersion(2)) && !orders.may_stage(WeightsVersion(3)));
    orders.record_end(OrderEnd::Accepted);
    assert!(orders.may_stage(WeightsVersion(3)));
    orders.open(weights(2), 7);
    orders.record_end(OrderEnd::NotAccepted);
    assert!(orders.current().is_none());
}

#[test]
fn an_order_without_an_answer_stays_open_until_the_endpoint_has_accepted_one() {
    let mut orders = OpenOrders::default();
    orders.open(weights(2), 7);
    orders.record_end(OrderEnd::Unanswered);
    assert!(!orders.record_sequence(7));
    // A repeat that is rejected says nothing of the first one.
    orders.open(weights(2), 7);
    orders.record_end(OrderEnd::NotAccepted);
    assert!(orders.current().is_some());
    assert!(orders.record_sequence(8));
    assert!(orders.current().is_none());
}

/// An endpoint, and the orders on their way to it.
#[derive(Default)]
struct Endpoint {
    staged: [u64; PIECES],
    serving: u64,
    sequence: u64,
    /// Version and number of orders that may still arrive.
    late: Vec<(u64, u64)>,
    /// Whether it has loaded pieces of several versions, or others than ordered.
    is_mixed: bool,
}

impl Endpoint {
    fn accept(&mut self, (version, sequence): (u64, u64)) -> OrderEnd {
        if sequence != self.sequence {
            return OrderEnd::NotAccepted;
        }
        if self.serving == version {
            return OrderEnd::Accepted;
        }
        self.is_mixed |= self.staged != [version; PIECES];
        self.serving = version;
        self.sequence += 1;
        OrderEnd::Accepted
    }

    /// Handles an order that may be lost, late, or answered by nothing.
    fn order(&mut self, order: (u64, u64), random: &mut Rng) -> OrderEnd {
        match random.u8(0..5) {
            0 => self.accept(order),
            1 => {
                self.accept(order);
                OrderEnd::Unanswered
            }
            2 => {
                self.late.push(order);
                self.late.push(order);
                OrderEnd::Unanswered
            }
            3 => {
                self.late.push(order);
                OrderEnd::Unanswered
            }
            _ => OrderEnd::Unanswered,
        }
    }

    /// Lets one of the late orders arrive.
    fn arrive(&mut self, random: &mut Rng) {
        if !self.late.is_empty() {
            let order = self.late.swap_remove(random.usize(..self.late.len()));
            self.accept(order);
        }
    }

    /// Restarts: connections and the weights are gone, staged pieces are not.
    fn restart(&mut self) {
        self.late.clear();
        (self.serving, self.sequence) = (0, 0);
    }
}

/// One step of the load task.
fn step(orders: &mut OpenOrders, endpoint: &mut Endpoint, newest: u64, random: &mut Rng) {
    orders.record_sequence(endpoint.sequence);
    let open = orders.current().map(|order| order.weights.version.0);
    let version = open.unwrap_or(newest);
    let missing = (0..PIECES).find(|piece| endpoint.staged[*piece] != version);
    if let Some(piece) = missing {
        assert!(orders.may_stage(WeightsVersion(version)));
        endpoint.staged[piece] = version;
    } else if endpoint.serving < version {
        orders.open(weights(version), endpoint.sequence);
        let end = endpoint.order((version, endpoint.sequence), random);
        orders.record_end(end);
    }
}

/// What a stager that starts finds: all pieces of the newest version or the one before, not loaded.
fn look_back(endpoint: &Endpoint, newest: u64) -> OpenOrders {
    let mut orders = OpenOrders::default();
    for version in [newest - 1, newest] {
        if endpoint.staged == [version; PIECES] && endpoint.serving < version {
            orders.inherit(weights(version), endpoint.sequence);
        }
    }
    orders
}

/// Endpoints loaded pieces of two versions when an order without an answer was accepted late.
#[test]
fn on_random_interleavings_a_load_has_pieces_of_one_version() {
    for seed in 0..3000 {
        let mut random = Rng::with_seed(seed);
        let mut endpoint = Endpoint { staged: [1; PIECES], serving: 1, ..Endpoint::default() };
        let (mut orders, mut newest) = (OpenOrders::default(), 1);
        for _ in 0..120 {
            match random.u8(0..20) {
                0 | 1 if endpoint.staged == [newest; PIECES] => newest += 1,
                2..=6 => endpoint.arrive(&mut random),
                7 => endpoint.restart(),
                8 => orders = look_back(&endpoint, newest),
                _ => step(&mut orders, &mut endpoint, newest, &mut random),
            }
            assert!(!endpoint.is_mixed, "seed {seed}");
        }
        // In the end the newest version is served.
        for _ in 0..400 {
            endpoint.arrive(&mut random);
            step(&mut orders, &mut endpoint, newest, &mut random);
        }
        assert!(!endpoint.is_mixed && endpoint.serving == newest, "seed {seed}");
    }
}
