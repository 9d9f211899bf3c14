//! The platform's balancer: it chooses the gateway of each new connection by their readiness.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

use crate::{process::is_ready, record::Record};

/// Interval at which each gateway is asked.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// Misses after which a gateway gets no new connections.
const MAX_MISSES: u32 = 2;

struct Member {
    callers: SocketAddr,
    misses: u32,
}

/// The gateways of one zone.
#[derive(Clone)]
pub struct Balancer {
    members: Arc<Mutex<Vec<Member>>>,
    stopped: Arc<AtomicBool>,
}

impl Balancer {
    /// Asks each gateway once a second, all at different moments of it.
    pub fn start(gateways: &[(SocketAddr, SocketAddr)], record: &Record) -> Balancer {
        let members = gateways.iter().map(|(callers, _)| Member { callers: *callers, misses: 0 });
        let members = Arc::new(Mutex::new(members.collect::<Vec<_>>()));
        let balancer = Balancer { members, stopped: Arc::default() };
        for (number, (_, ready)) in gateways.iter().copied().enumerate() {
            let (balancer, record) = (balancer.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(ASK_INTERVAL.mul_f64(number as f64 / 3.0));
                while !balancer.stopped.load(SeqCst) {
                    balancer.note(number, is_ready(ready), &record);
                    thread::sleep(ASK_INTERVAL);
                }
            });
        }
        balancer
    }

    fn note(&self, number: usize, is_ready: bool, record: &Record) {
        let mut members = self.members.lock().unwrap();
        let member = &mut members[number];
        let was_in = member.misses < MAX_MISSES;
        member.misses = if is_ready { 0 } else { member.misses + 1 };
        let is_in = member.misses < MAX_MISSES;
        if was_in != is_in {
            let word = if is_in { "in" } else { "out of" };
            record.line(format!("balancer frontend-{number} is {word} rotation"));
        }
    }

    /// The gateway for a new connection of a client: of those in rotation, or of all if fewer than half
    /// are in it.
    pub fn choose(&self, client: u64) -> (usize, SocketAddr) {
        let members = self.members.lock().unwrap();
        let numbered = || members.iter().enumerate().map(|(n, member)| (n, member.callers));
        let in_rotation: Vec<_> =
            numbered().filter(|(n, _)| members[*n].misses < MAX_MISSES).collect();
        let chosen = match in_rotation.len() * 2 < members.len() {
            true => numbered().collect(),
            false => in_rotation,
        };
        let hash = client.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        chosen[hash as usize % chosen.len()]
    }

    pub fn stop(&self) {
        self.stopped.store(true, SeqCst);
    }
}
