//! A runner of a plain service, and the entries by which runners are listed.

use std::{
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicBool, AtomicU64,
            Ordering::{Relaxed, SeqCst},
        },
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Message, response, serve_until},
    process::wait_until,
    record::Record,
    store::Store,
};

/// Requests that run at the same time.
const SLOTS: u64 = 6;
/// Time in which a runner that ends finishes what it runs.
const END_TIME: Duration = Duration::from_secs(2);

/// The entry of a runner in the store.
pub fn entry(service: &str, addr: SocketAddr, state: &str, more: &str) -> String {
    format!(
        r#"{{"service":"{service}","address":"{addr}","zone":"north","version":"v1","slots":{SLOTS},"state":"{state}","cold_remaining_ms":0,"sequence":1{more}}}"#
    )
}

/// A runner that answers after a work time which varies by request.
pub struct Runner {
    pub id: String,
    pub addr: SocketAddr,
    service: &'static str,
    store: Store,
    record: Record,
    mean_work: Duration,
    running: AtomicU64,
    /// Whether its answers say that it leaves.
    leaving: AtomicBool,
    /// Whether new connections are refused.
    closed: Arc<AtomicBool>,
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    random: AtomicU64,
    /// Number of requests that it has run.
    pub run_count: AtomicU64,
}

impl Runner {
    /// Starts a runner and lists it as ready.
    pub fn start(
        id: &str,
        ip: Ipv4Addr,
        service: &'static str,
        mean_work: Duration,
        store: &Store,
        record: &Record,
    ) -> io::Result<Arc<Runner>> {
        let slot: Arc<Mutex<Option<Arc<Runner>>>> = Arc::default();
        let found = slot.clone();
        let handler = Arc::new(move |request: &Message, stream: &TcpStream| {
            let runner = found.lock().unwrap().clone();
            runner.ok_or(io::ErrorKind::NotConnected)?.handle(request, stream)
        });
        let closed = Arc::new(AtomicBool::default());
        let addr = serve_until(closed.clone(), (ip, 0).into(), handler)?;
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            addr,
            service,
            store: store.clone(),
            record: record.clone(),
            mean_work,
            running: AtomicU64::default(),
            leaving: AtomicBool::default(),
            closed,
            ended: AtomicBool::default(),
            connections: Mutex::default(),
            random: AtomicU64::new(u64::from(ip.to_bits()) | 1),
            run_count: AtomicU64::default(),
        });
        *slot.lock().unwrap() = Some(runner.clone());
        runner.list("ready");
        Ok(runner)
    }

    fn list(&self, state: &str) {
        let entry = entry(self.service, self.addr, state, "");
        self.store.put(&format!("servers/{}", self.id), Some(&entry));
    }

    /// Reports that it leaves, to the store and in its answers.
    pub fn leave(&self) {
        self.leaving.store(true, SeqCst);
        self.list("draining");
        self.record.line(format!("leaving  runner={} (the store has accepted it)", self.id));
    }

    /// Ends as a sound runner does: it refuses new connections, finishes what it runs and closes the others.
    pub fn end(&self) {
        self.closed.store(true, SeqCst);
        self.record.line(format!("closes   runner={}", self.id));
        wait_until(END_TIME, || self.running.load(SeqCst) == 0);
        self.ended.store(true, SeqCst);
        self.store.put(&format!("servers/{}", self.id), None);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        self.record.line(format!("ended    runner={}", self.id));
    }

    /// Half to one and a half times the mean.
    fn work(&self) -> Duration {
        let next =
            |x: u64| Some(x.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407));
        let drawn = self.random.fetch_update(Relaxed, Relaxed, next).unwrap_or(0) >> 33;
        self.mean_work.mul_f64(0.5 + (drawn % 1000) as f64 / 1000.0)
    }

    fn handle(&self, request: &Message, mut stream: &TcpStream) -> io::Result<()> {
        if self.ended.load(SeqCst) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        self.connections.lock().unwrap().push(stream.try_clone()?);
        let id = request.header("x-request-id").unwrap_or("");
        let leaving = match self.leaving.load(SeqCst) {
            true => "server-leaving: 1\r\nconnection: close\r\n",
            false => "",
        };
        let common = format!("x-request-id: {id}\r\n{leaving}");
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            let headers = format!("{common}x-instance-id: {}\r\n", self.id);
            return stream.write_all(&response("421 Misdirected Request", &headers, b""));
        }
        if self.running.fetch_add(1, SeqCst) >= SLOTS {
            self.running.fetch_sub(1, SeqCst);
            let headers = format!("{common}x-not-executed: 1\r\n");
            return stream.write_all(&response("503 Service Unavailable", &headers, b""));
        }
        self.run_count.fetch_add(1, Relaxed);
        self.record.run_began(id, &self.id);
        thread::sleep(self.work());
        self.running.fetch_sub(1, SeqCst);
        if self.ended.load(SeqCst) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        self.record.run_answered(id, &self.id);
        let headers = format!("{common}x-server-stamp: {}.{id}\r\n", self.id);
        stream.write_all(&response("200 OK", &headers, &[b'x'; 800]))
    }
}
