//! Case 7: a request that crashes each runner that runs it comes again while the gateways are stopped and started in
//! turn.
//!
//! Judged is the rule BUDGET: such a request must not reach runners in more than three retries that machines in touch
//! send later than `contact_window_ms` after it has crashed the third.

use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Client, Message, Server, response},
    process::{Process, Record, TempDir, free_peer_port, free_port, gateway_settings, machine_ip, stager_settings},
    store::Store,
};

const SERVICE: &str = "order-desk";
const MODEL_SERVICE: &str = "assistant";
const CONTACT_WINDOW_MS: u64 = 3000;
const MAX_RETRIES: usize = 3;
const GRACE: Duration = Duration::from_secs(8);
const WORK: Duration = Duration::from_millis(120);
const SLOTS: usize = 6;
/// Time until a runner that crashed is back.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Time after which the store removes the entry of a silent runner: three heartbeats.
const LAPSE_TIME: Duration = Duration::from_millis(3600);
/// The body of the request that crashes runners.
const POISON: &[u8] = b"stamp order 4711";
/// How often the request comes again at each gateway.
const RETURNS: usize = 5;

/// A runner that crashes when it runs the request.
struct Runner {
    zone: &'static str,
    ip: Ipv4Addr,
    number: usize,
    run: AtomicUsize,
    current: Mutex<Option<(String, Arc<Server>)>>,
}

/// All that the runners share.
struct Fleet {
    store: Store,
    record: Arc<Record>,
    runners: Vec<Runner>,
    stamps: AtomicU64,
    /// Times of the crashes.
    crashes: Mutex<Vec<u64>>,
    /// Ids of the poisonous requests that reached a runner.
    reached: Mutex<Vec<String>>,
    /// Ids of other requests that were in progress at a crash, with its time.
    cut: Mutex<Vec<(String, u64)>>,
}

impl Fleet {
    fn start_runner(self: &Arc<Fleet>, at: usize) {
        let runner = &self.runners[at];
        let run = runner.run.fetch_add(1, Ordering::SeqCst);
        let id = format!("i-{}-{run}", runner.number);
        let (fleet, own) = (self.clone(), id.clone());
        let busy: Arc<Mutex<Vec<String>>> = Arc::default();
        let has_crashed = AtomicBool::new(false);
        let serve = move |request: &Message, stream: &mut TcpStream| {
            if has_crashed.load(Ordering::SeqCst) {
                return false;
            }
            fleet.serve(at, &own, &busy, &has_crashed, request, stream)
        };
        let server = Server::start((runner.ip, free_port(runner.ip)).into(), serve);
        let addr = server.addr;
        *runner.current.lock().unwrap() = Some((id.clone(), Arc::new(server)));
        let entry = format!(
            r#"{{"service":"{SERVICE}","address":"{addr}","zone":"{}","version":"v1","slots":{SLOTS},"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1700000000000}}"#,
            runner.zone
        );
        self.store.put(&format!("servers/{id}"), Some(&entry));
    }

    /// Serves one request. Returns whether the connection goes on.
    fn serve(
        self: &Arc<Fleet>,
        at: usize,
        own: &str,
        busy: &Mutex<Vec<String>>,
        has_crashed: &AtomicBool,
        request: &Message,
        stream: &mut TcpStream,
    ) -> bool {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        if request.header("x-expect-instance").is_some_and(|expected| expected != own) {
            let head = format!("X-Request-Id: {id}\r\nX-Not-Executed: 1\r\nX-Instance-Id: {own}\r\n");
            let bytes = response("421 Misdirected Request", &head, b"");
            return stream.write_all(&bytes).is_ok();
        }
        {
            let mut busy = busy.lock().unwrap();
            if busy.len() >= SLOTS {
                let head = format!("X-Request-Id: {id}\r\nX-Not-Executed: 1\r\n");
                let bytes = response("503 Service Unavailable", &head, b"");
                return stream.write_all(&bytes).is_ok();
            }
            busy.push(id.clone());
        }
        if request.body == POISON {
            has_crashed.store(true, Ordering::SeqCst);
            self.reached.lock().unwrap().push(id.clone());
            self.crash(at, own, &id, busy);
            return false;
        }
        thread::sleep(WORK);
        busy.lock().unwrap().retain(|other| *other != id);
        if has_crashed.load(Ordering::SeqCst) {
            return false;
        }
        let stamp = self.stamps.fetch_add(1, Ordering::SeqCst);
        let head = format!("X-Request-Id: {id}\r\nX-Server-Stamp: {own}.{stamp}\r\n");
        stream.write_all(&response("200 OK", &head, b"done")).is_ok()
    }

    fn crash(self: &Arc<Fleet>, at: usize, own: &str, id: &str, busy: &Mutex<Vec<String>>) {
        let cut: Vec<String> =
            busy.lock().unwrap().iter().filter(|other| *other != id).cloned().collect();
        self.record.line(&format!("runner {own} runs {id} and crashes, with {cut:?} in progress"));
        let now_ms = self.record.now_ms();
        self.cut.lock().unwrap().extend(cut.into_iter().map(|cut| (cut, now_ms)));
        self.crashes.lock().unwrap().push(now_ms);
        let current = self.runners[at].current.lock().unwrap().take();
        let (fleet, own) = (self.clone(), own.to_owned());
        thread::spawn(move || {
            if let Some((_, server)) = current {
                server.close();
            }
            thread::sleep(DOWN_TIME);
            fleet.start_runner(at);
            thread::sleep(LAPSE_TIME - DOWN_TIME);
            fleet.store.put(&format!("servers/{own}"), None);
        });
    }
}

/// A gateway, and whether the platform sends new connections to it.
struct Gateway {
    callers: SocketAddr,
    ready: SocketAddr,
    settings: String,
    in_rotation: AtomicBool,
}

/// Returns the exit code.
pub fn run(record: Arc<Record>, has_trouble: bool) -> i32 {
    let dir = TempDir::create();
    let store = Store::default();
    let zones = ["a", "b", "c"];
    let runner = |(number, zone): (usize, &'static str)| Runner {
        zone,
        ip: machine_ip(20 + number as u8),
        number,
        run: AtomicUsize::default(),
        current: Mutex::default(),
    };
    let fleet = Arc::new(Fleet {
        store: store.clone(),
        record: record.clone(),
        runners: zones.into_iter().enumerate().map(runner).collect(),
        stamps: AtomicU64::default(),
        crashes: Mutex::default(),
        reached: Mutex::default(),
        cut: Mutex::default(),
    });
    for at in 0..fleet.runners.len() {
        fleet.start_runner(at);
    }
    store.put("op/config", Some(CONFIG));
    let path = store.open_path((machine_ip(1), free_port(machine_ip(1))).into());
    let peer_port = free_peer_port(machine_ip(10));
    let seeds: Vec<String> =
        (0..3).map(|n| format!("{}:{}", machine_ip(10 + n), peer_port - 1)).collect();
    let seeds = seeds.join(",");
    // Model runners with their stagers, through which gateways learn of each other.
    let mut engines = Vec::new();
    let mut stagers = Vec::new();
    for (n, zone) in zones.into_iter().enumerate() {
        let ip = machine_ip(40 + n as u8);
        let engine = Server::start((ip, free_port(ip)).into(), serve_engine);
        let entry = format!(
            r#"{{"service":"{MODEL_SERVICE}","address":"{}","zone":"{zone}","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"stage":"both","models":[{{"name":"m1","version":1,"adapters":[]}}],"sequence":0,"born":1700000000000}}"#,
            engine.addr
        );
        store.put(&format!("servers/e-{n}"), Some(&entry));
        let name = format!("stager-{n}");
        let app = (engine.addr, MODEL_SERVICE);
        let settings = stager_settings(&name, ip, zone, peer_port, &seeds, path.addr, app);
        stagers.push(Process::start("stager", &settings, &dir.0, &name));
        engines.push(engine);
    }
    let mut processes = Vec::new();
    let mut gateways = Vec::new();
    for (n, zone) in zones.into_iter().enumerate() {
        let (name, ip) = (format!("gateway-{n}"), machine_ip(10 + n as u8));
        let (settings, addrs) = gateway_settings(&name, ip, zone, peer_port, &seeds, path.addr);
        processes.push(Process::start("gateway", &settings, &dir.0, &name));
        gateways.push(Gateway {
            callers: addrs.callers,
            ready: addrs.ready,
            settings,
            in_rotation: AtomicBool::new(true),
        });
    }
    let gateways = Arc::new(gateways);
    if gateways.iter().any(|gateway| !crate::wait_until_ready(gateway.ready)) {
        record.line("a gateway is not ready in time");
        return 2;
    }
    // Gateways learn of each other from the stagers' reports.
    thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<Counts> = Arc::default();
    let clients: Vec<_> = (0..9)
        .map(|n| {
            let (stop, gateways, counts) = (stop.clone(), gateways.clone(), counts.clone());
            thread::spawn(move || run_client(n, &stop, &gateways, &counts))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    // The request comes for the first time, until it has crashed three runners.
    let mut poison = Poison { number: 0, record: record.clone(), sent: Vec::new() };
    for n in 0..9 {
        poison.send(n % 3, &gateways[n % 3]);
        thread::sleep(Duration::from_millis(900));
        if fleet.crashes.lock().unwrap().len() >= 3 {
            break;
        }
    }
    let Some(third_ms) = fleet.crashes.lock().unwrap().get(2).copied() else {
        record.line("the request has not crashed three runners");
        return 2;
    };
    record.line(&format!("the request has crashed the third runner at {third_ms}"));
    thread::sleep(Duration::from_millis(CONTACT_WINDOW_MS + 300));
    for n in 0..gateways.len() {
        if has_trouble {
            gateways[n].in_rotation.store(false, Ordering::SeqCst);
            record.line(&format!("SIGTERM to gateway-{n}"));
            let ended = processes[n].stop(GRACE);
            record.line(&format!("gateway-{n} has ended by itself: {ended}"));
            thread::sleep(Duration::from_millis(300));
            let name = format!("gateway-{n}");
            processes[n] = Process::start("gateway", &gateways[n].settings, &dir.0, &name);
            record.line(&format!("gateway-{n} is started"));
            if !crate::wait_until_ready(gateways[n].ready) {
                return 2;
            }
            gateways[n].in_rotation.store(true, Ordering::SeqCst);
        }
        // From then on the gateway is in touch.
        thread::sleep(Duration::from_millis(CONTACT_WINDOW_MS + 400));
        for _ in 0..RETURNS {
            poison.send(n, &gateways[n]);
            thread::sleep(Duration::from_millis(900));
        }
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(stagers);
    judge(&record, &fleet, &poison, third_ms, &counts)
}

/// Sends the request that crashes runners.
struct Poison {
    number: usize,
    record: Arc<Record>,
    /// Ids with the times at which they were sent.
    sent: Vec<(String, u64)>,
}

impl Poison {
    fn send(&mut self, n: usize, gateway: &Gateway) {
        self.number += 1;
        let id = format!("poison-{}", self.number);
        let sent_ms = self.record.now_ms();
        self.sent.push((id.clone(), sent_ms));
        let answer =
            Client::new(gateway.callers).call(&order(&id, POISON), Duration::from_secs(5));
        let status = answer.map_or(0, |answer| answer.status());
        self.record.line(&format!("{id} sent to gateway-{n} at {sent_ms}: status {status}"));
    }
}

fn order(id: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /orders/new HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 4000\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Answers to the other clients.
#[derive(Default)]
struct Counts {
    served: AtomicUsize,
    refused: AtomicUsize,
    /// Answered 502 or 504, or not at all.
    lost: AtomicUsize,
}

/// Sends sound orders one after the other, on connections that the platform leads to gateways in rotation.
fn run_client(n: usize, stop: &AtomicBool, gateways: &[Gateway], counts: &Counts) {
    let mut number = 0;
    let mut kept: Option<Client> = None;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let first = n + number;
        let chosen = (0..gateways.len()).map(|k| &gateways[(first + k) % gateways.len()]);
        let chosen = chosen.into_iter().find(|gateway| gateway.in_rotation.load(Ordering::SeqCst));
        let mut client = match (kept.take(), chosen) {
            (Some(client), _) => client,
            (None, Some(gateway)) => Client::new(gateway.callers),
            (None, None) => continue,
        };
        let id = format!("c{n}-{number}");
        let answer = client.call(&order(&id, id.as_bytes()), Duration::from_millis(4500));
        let count = match answer.as_ref().map(Message::status) {
            Ok(200) => &counts.served,
            Ok(503) => &counts.refused,
            _ => &counts.lost,
        };
        count.fetch_add(1, Ordering::SeqCst);
        let closes = answer.as_ref().map_or(true, |answer| answer.header("connection").is_some());
        if !closes && number % 10 != 0 {
            kept = Some(client);
        }
        thread::sleep(Duration::from_millis(60 + 7 * n as u64));
    }
}

/// Serves what a stager asks of its engine.
fn serve_engine(request: &Message, stream: &mut TcpStream) -> bool {
    let body = match request.target() {
        "/v1/report" => {
            r#"{"stage":"both","models":[{"name":"m1","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_cache_used":0,"kv_cache_total":317000,"handles":0,"born":1700000000000}"#
        }
        _ => r#"{"held":[]}"#,
    };
    let headers = "Content-Type: application/json\r\n";
    stream.write_all(&response("200 OK", headers, body.as_bytes())).is_ok()
}

fn judge(record: &Record, fleet: &Fleet, poison: &Poison, third_ms: u64, counts: &Counts) -> i32 {
    let reached = fleet.reached.lock().unwrap();
    // Each gateway was left alone for the contact window after its start, so that it was in touch.
    let late = poison.sent.iter().filter(|(id, sent_ms)| {
        *sent_ms > third_ms + CONTACT_WINDOW_MS && reached.contains(id)
    });
    let late: Vec<&str> = late.map(|(id, _)| id.as_str()).collect();
    let (served, refused, lost) = (
        counts.served.load(Ordering::SeqCst),
        counts.refused.load(Ordering::SeqCst),
        counts.lost.load(Ordering::SeqCst),
    );
    let cut = fleet.cut.lock().unwrap();
    let cut_late = cut.iter().filter(|(_, at_ms)| *at_ms > third_ms).count();
    record.line(&format!(
        "retries that reached a runner later than {CONTACT_WINDOW_MS} ms after the third crash: {late:?}; \
         {} crashes in all",
        fleet.crashes.lock().unwrap().len()
    ));
    record.line(&format!(
        "sound orders: {served} served, {refused} refused, {lost} ended with 502 or no answer; {} were in \
         progress at crashes, {cut_late} of them at crashes after the third",
        cut.len()
    ));
    if served < 200 {
        record.line("result: the case could not run");
        return 2;
    }
    let is_broken = late.len() > MAX_RETRIES;
    record.line(if is_broken { "result: BUDGET is broken" } else { "result: BUDGET holds" });
    i32::from(is_broken)
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-orders","host":"desk.example","path_prefix":"/orders/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"order-desk","max_attempts":1,"allow_anonymous":true,"session_affinity":false,"resume_streams":false},{"name":"r-help","host":"help.example","path_prefix":"/ask/","kind":"streaming","timeout_ms":6000,"target_latency_ms":400,"priority":1,"service":"assistant","max_attempts":2,"allow_anonymous":true,"session_affinity":true,"resume_streams":true,"gap_target_ms":400}],"services":[{"name":"order-desk","health_check_path":"/health","max_connections":100,"protocol":"h1","tls":false},{"name":"assistant","health_check_path":"/health","max_connections":424,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_cache_tokens":317000,"kv_token_bytes":262144,"stride":5,"models":[{"name":"m1","pace":1.0,"load_time_s":4.0,"warm_s":0.3}],"step_ms":9.27,"per_seq_ms":0.0232,"context_per_k":0.0322,"read_per_s":20700.0,"pairs_per_m":1.18,"chunk":2048,"report_lag_ms":200.0,"usual":{"prompt":979,"answer":92},"layers":16}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
