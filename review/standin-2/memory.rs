//! Case 9: many users come at once and keep their connections; a gateway with little memory exceeds it.
//!
//! Judged is the rule Fault: on a tenth of the machines in use (two at least) processes must not end three times, memory
//! over the limit included. This program acts as the platform: it kills a process that exceeds its memory and starts it
//! again after a short delay.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Message, Server, read_message, response},
    process::{Process, Record, TempDir, free_peer_port, free_port, gateway_settings, machine_ip},
    store::Store,
};

const GATEWAYS: usize = 2;
const ROUNDS: usize = 3;
/// Memory and descriptors of the small entry machines of the sheet.
const MEMORY_MB: u64 = 160;
const DESCRIPTORS: u64 = 4100;
/// Connections that users keep to each gateway at usual times.
const USUAL_CONNECTIONS: usize = 1800;
/// Factor by which a burst exceeds that.
const BURST: f64 = 1.7;
/// Size of a header that users send, and of their bodies, in bytes.
const HEADER_BYTES: usize = 12_000;
const BODY_BYTES: usize = 30_000;
/// Threads that open connections to one gateway.
const OPENERS: usize = 4;
/// Pause of such a thread between two connections: all connections of a gateway come within about 7 s.
const OPEN_PAUSE: Duration = Duration::from_millis(8);
/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Returns the exit code.
pub fn run(record: Arc<Record>, has_trouble: bool) -> i32 {
    let dir = TempDir::create();
    let store = Store::default();
    let runner = Server::start((machine_ip(20), free_port(machine_ip(20))).into(), serve_runner);
    let entry = format!(
        r#"{{"service":"order-desk","address":"{}","zone":"a","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1700000000000}}"#,
        runner.addr
    );
    store.put("servers/i-0", Some(&entry));
    store.put("op/config", Some(CONFIG));
    let path = store.open_path((machine_ip(1), free_port(machine_ip(1))).into());
    let peer_port = free_peer_port(machine_ip(10));
    let connections = match has_trouble {
        true => (USUAL_CONNECTIONS as f64 * BURST) as usize,
        false => USUAL_CONNECTIONS,
    };
    record.line(&format!(
        "{connections} connections to each of {GATEWAYS} gateways, each with one request of {HEADER_BYTES} \
         bytes of headers and a body of {BODY_BYTES} bytes"
    ));
    let mut gateways = Vec::new();
    for n in 0..GATEWAYS {
        let (name, ip) = (format!("gateway-{n}"), machine_ip(10 + n as u8));
        let (settings, addrs) = gateway_settings(&name, ip, "a", peer_port, "", path.addr);
        let settings = settings
            .replace("limits.memory_mb=260", &format!("limits.memory_mb={MEMORY_MB}"))
            .replace("limits.file_descriptors=4200", &format!("limits.file_descriptors={DESCRIPTORS}"));
        gateways.push((name, settings, addrs));
    }
    let mut ends = [0; GATEWAYS];
    let mut processes: Vec<Process> = Vec::new();
    for (name, settings, _) in &gateways {
        processes.push(Process::start("gateway", settings, &dir.0, name));
    }
    for round in 1..=ROUNDS {
        for (n, (_, _, addrs)) in gateways.iter().enumerate() {
            if !crate::wait_until_ready(addrs.ready) {
                record.line(&format!("gateway-{n} is not ready in time"));
                return 2;
            }
        }
        let users: Vec<Users> =
            gateways.iter().map(|(_, _, addrs)| Users::start(addrs.callers, connections)).collect();
        let mut peaks = [0; GATEWAYS];
        let mut is_killed = [false; GATEWAYS];
        let mut idle_rounds = 0;
        while idle_rounds < 100 {
            thread::sleep(Duration::from_millis(20));
            for n in 0..GATEWAYS {
                if is_killed[n] {
                    continue;
                }
                let Some(kilobytes) = processes[n].own_memory_kb() else { return 2 };
                peaks[n] = kilobytes.max(peaks[n]);
                if kilobytes > MEMORY_MB << 10 {
                    let (open, answered) = users[n].counts();
                    record.line(&format!(
                        "round {round}: gateway-{n} has {kilobytes} kB of its own, with {open} connections \
                         and {answered} answers; the platform kills it"
                    ));
                    processes[n].kill();
                    is_killed[n] = true;
                    ends[n] += 1;
                }
            }
            let are_done = (0..GATEWAYS).all(|n| is_killed[n] || users[n].are_all_open());
            idle_rounds += usize::from(are_done);
        }
        for n in 0..GATEWAYS {
            let (open, answered) = users[n].counts();
            record.line(&format!(
                "round {round}: gateway-{n}: {open} connections, {answered} answers, peak {} kB, killed {}",
                peaks[n], is_killed[n]
            ));
            if !is_killed[n] && answered * 10 < connections * 9 {
                record.line("result: the case could not run");
                return 2;
            }
        }
        // The users leave, and come again.
        users.into_iter().for_each(Users::stop);
        thread::sleep(RESTART_DELAY);
        for (n, (name, settings, _)) in gateways.iter().enumerate() {
            if is_killed[n] {
                processes[n] = Process::start("gateway", settings, &dir.0, name);
            }
        }
    }
    record.line(&format!("processes ended by their memory: {ends:?}"));
    let machines = ends.iter().filter(|count| **count >= 3).count();
    let is_broken = machines >= 2;
    record.line(if is_broken { "result: Fault is broken" } else { "result: Fault holds" });
    i32::from(is_broken)
}

/// Users that keep connections to one gateway.
struct Users {
    open: Arc<AtomicUsize>,
    answered: Arc<AtomicUsize>,
    ended: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

impl Users {
    fn start(addr: SocketAddr, connections: usize) -> Users {
        let users = Users {
            open: Arc::default(),
            answered: Arc::default(),
            ended: Arc::default(),
            stop: Arc::default(),
        };
        for opener in 0..OPENERS {
            let (open, answered) = (users.open.clone(), users.answered.clone());
            let (ended, stop) = (users.ended.clone(), users.stop.clone());
            thread::spawn(move || {
                let mut kept = Vec::new();
                for number in 0..connections / OPENERS {
                    if stop.load(Ordering::SeqCst) {
                        break;
                    }
                    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1))
                    else {
                        break;
                    };
                    open.fetch_add(1, Ordering::SeqCst);
                    let _ = stream.set_nodelay(true);
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
                    let is_sent = stream.write_all(&request(opener, number)).is_ok();
                    let answer = read_message(&mut stream, &mut Vec::new());
                    if is_sent && answer.is_ok_and(|a| a.is_some_and(|a| a.status() == 200)) {
                        answered.fetch_add(1, Ordering::SeqCst);
                    }
                    kept.push(stream);
                    thread::sleep(OPEN_PAUSE);
                }
                ended.fetch_add(1, Ordering::SeqCst);
                while !stop.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(20));
                }
                drop(kept);
            });
        }
        users
    }

    /// Numbers of connections and of answers.
    fn counts(&self) -> (usize, usize) {
        (self.open.load(Ordering::SeqCst), self.answered.load(Ordering::SeqCst))
    }

    fn are_all_open(&self) -> bool {
        self.ended.load(Ordering::SeqCst) == OPENERS
    }

    fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

fn request(opener: usize, number: usize) -> Vec<u8> {
    let head = format!(
        "POST /orders/find HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: u{opener}-{number}\r\n\
         X-Deadline-Ms: 4000\r\nCookie: {}\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
        "c".repeat(HEADER_BYTES)
    );
    [head.as_bytes(), &vec![b'x'; BODY_BYTES]].concat()
}

fn serve_runner(request: &Message, stream: &mut TcpStream) -> bool {
    let id = request.header("x-request-id").unwrap_or("");
    let head = format!("X-Request-Id: {id}\r\nX-Server-Stamp: i-0.1\r\n");
    stream.write_all(&response("200 OK", &head, b"found")).is_ok()
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-find","host":"desk.example","path_prefix":"/orders/","kind":"safe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"order-desk","max_attempts":2,"allow_anonymous":true,"session_affinity":false,"resume_streams":false}],"services":[{"name":"order-desk","health_check_path":"/health","max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
