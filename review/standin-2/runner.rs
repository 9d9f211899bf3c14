//! A runner of a plain service, and clients of its route.

use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Client, Message, Server, response},
    process::{Record, free_port},
    store::Store,
};

/// Requests that a runner processes at once.
pub const SLOTS: usize = 6;

/// A request that reached a runner.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub runner: String,
}

/// What clients, runners and the driver have seen.
#[derive(Default)]
pub struct Seen {
    pub arrivals: Mutex<Vec<Arrival>>,
    pub calls: Mutex<Vec<Call>>,
}

/// A request of a client and how it ended.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: String,
    /// Number of the gateway that it was sent to.
    pub gateway: usize,
    pub sent_ms: u64,
    pub ended_ms: u64,
    /// 0 if the connection ended without an answer.
    pub status: u16,
    /// The runner that signed the answer.
    pub runner: Option<String>,
    pub says_leaving: bool,
}

/// A runner.
pub struct Runner {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: &'static str,
    /// Set once it is about to leave; all its answers say so from then on.
    pub is_leaving: Arc<AtomicBool>,
    server: Server,
}

impl Runner {
    pub fn start(
        id: &str,
        ip: Ipv4Addr,
        zone: &'static str,
        work: Duration,
        seen: &Arc<Seen>,
        record: &Arc<Record>,
    ) -> Runner {
        let is_leaving = Arc::new(AtomicBool::new(false));
        let busy = Arc::new(AtomicUsize::new(0));
        let (leaving, seen, record, own) =
            (is_leaving.clone(), seen.clone(), record.clone(), id.to_owned());
        let stamps = AtomicU64::new(0);
        let serve = move |request: &Message, stream: &mut std::net::TcpStream| {
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            let head = |more: &str| {
                let leaving = leaving.load(Ordering::SeqCst);
                let leaving = if leaving { "Server-Leaving: 1\r\n" } else { "" };
                format!("X-Request-Id: {id}\r\n{leaving}{more}")
            };
            if request.header("x-expect-instance").is_some_and(|expected| expected != own) {
                let more = format!("X-Not-Executed: 1\r\nX-Instance-Id: {own}\r\n");
                let bytes = response("421 Misdirected Request", &head(&more), b"");
                return stream.write_all(&bytes).is_ok();
            }
            let arrival = Arrival { id: id.clone(), runner: own.clone() };
            seen.arrivals.lock().unwrap().push(arrival);
            if busy.fetch_add(1, Ordering::SeqCst) >= SLOTS {
                busy.fetch_sub(1, Ordering::SeqCst);
                record.line(&format!("runner {own} rejects {id}"));
                let bytes = response("503 Service Unavailable", &head("X-Not-Executed: 1\r\n"), b"");
                return stream.write_all(&bytes).is_ok();
            }
            record.line(&format!("runner {own} runs {id}"));
            thread::sleep(work);
            busy.fetch_sub(1, Ordering::SeqCst);
            let stamp = stamps.fetch_add(1, Ordering::SeqCst);
            let more = format!("X-Server-Stamp: {own}.{stamp}\r\n");
            let bytes = response("200 OK", &head(&more), format!("done {id}").as_bytes());
            stream.write_all(&bytes).is_ok()
        };
        let server = Server::start((ip, free_port(ip)).into(), serve);
        Runner { id: id.to_owned(), addr: server.addr, zone, is_leaving, server }
    }

    /// Writes its entry to the store.
    pub fn publish(&self, store: &Store, service: &str, state: &str, sequence: u64) {
        let Runner { addr, zone, .. } = self;
        let entry = format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","slots":{SLOTS},"state":"{state}","cold_remaining_ms":0,"sequence":{sequence},"born":1700000000000}}"#
        );
        store.put(&format!("servers/{}", self.id), Some(&entry));
    }

    /// Ends it, with all its connections.
    pub fn exit(&self) {
        self.server.close();
    }
}

/// Sends unsafe requests to a gateway, one after the other, until it is told to stop.
pub fn run_client(
    name: String,
    gateway: usize,
    addr: SocketAddr,
    pause: Duration,
    stop: Arc<AtomicBool>,
    seen: Arc<Seen>,
    record: Arc<Record>,
) {
    let mut client = Client::new(addr);
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{name}-{number}");
        let body = format!("order {id}");
        let request = format!(
            "POST /orders/new HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 4000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let sent_ms = record.now_ms();
        let answer = client.call(request.as_bytes(), Duration::from_millis(4500));
        let mut call = Call {
            id: id.clone(),
            gateway,
            sent_ms,
            ended_ms: record.now_ms(),
            status: 0,
            runner: None,
            says_leaving: false,
        };
        if let Ok(answer) = &answer {
            call.status = answer.status();
            let stamp = answer.header("x-server-stamp");
            call.runner = stamp.and_then(|s| s.split('.').next()).map(str::to_owned);
            call.says_leaving = answer.header("server-leaving").is_some();
        } else {
            client = Client::new(addr);
        }
        record.line(&format!(
            "client {id} via gateway-{gateway}: sent at {sent_ms}, status {}, runner {:?}, leaving {}",
            call.status, call.runner, call.says_leaving
        ));
        seen.calls.lock().unwrap().push(call);
        thread::sleep(pause);
    }
}
