//! Tests that a gateway process that is told to stop completes the responses that are on their way.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use standin::{
    ReceivedRequest, Reply, STAMP_HEADER, Store, endpoint_entry, free_port, response, run, serve,
    settings, wait_until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::sleep,
};

/// Size of a response that no socket buffer holds as a whole, in bytes.
const LARGE_BYTES: usize = 4 << 20;
/// End of a large response that is not a stream.
const END: &str = "the end";
/// Number of events of a stream.
const EVENTS: usize = 22;
/// Size of an event in bytes.
const EVENT_BYTES: usize = 200 << 10;
/// Receive buffer of a slow caller in bytes.
const SMALL_BUFFER: u32 = 4096;
/// Maximum number of bytes that a slow caller reads at once.
const SLOW_READ: usize = 32 << 10;
/// Pause of a slow caller after each read.
const SLOW_PAUSE: Duration = Duration::from_millis(5);

const CONFIG: &str = r#"{"version":1,"routes":[
    {"name":"safe","host":"h","path_prefix":"/safe/","kind":"safe","timeout_ms":60000,
     "service":"plain","max_attempts":1},
    {"name":"stream","host":"h","path_prefix":"/stream/","kind":"streaming","timeout_ms":60000,
     "service":"plain","max_attempts":1}],
    "services":[{"name":"plain"}]}"#;

/// A gateway process, its store and one endpoint.
struct TestSystem {
    child: Child,
    caller_addr: SocketAddr,
}

impl Drop for TestSystem {
    fn drop(&mut self) {
        // Both calls fail if the process has already exited and been reaped.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl TestSystem {
    /// Starts everything and waits until requests are served. Each test uses its own address.
    async fn start(last_octet: u8) -> TestSystem {
        let ip = Ipv4Addr::new(127, 73, 0, last_octet);
        let (store, store_addr) = Store::start(ip).await;
        store.put("op/config", Some(CONFIG.as_bytes()));
        let endpoint = serve((ip, 0).into(), async |request| reply(&request)).await;
        let entry = endpoint_entry("plain", endpoint, "ready", "");
        store.put("servers/i-1", Some(entry.as_bytes()));
        let caller_addr = SocketAddr::from((ip, free_port()));
        let more = format!(
            "serves=frontend\nlisten_addresses.frontend_address={caller_addr}\n\
             bounds.grace_period_s=20\n"
        );
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("stopping-{last_octet}"));
        std::fs::create_dir_all(&dir).unwrap();
        std::fs::write(dir.join("node.conf"), settings(ip, store_addr, &more)).unwrap();
        let log = File::create(dir.join("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_carawaypaddle"))
            .arg("gateway")
            .arg("--node")
            .arg(dir.join("node.conf"))
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .unwrap();
        let system = TestSystem { child, caller_addr };
        wait_until("requests are served", async || system.is_served().await).await;
        system
    }

    async fn is_served(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.caller_addr).await else { return false };
        let request = "GET /safe/small HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.is_ok() && response.starts_with(b"HTTP/1.1 200")
    }

    /// Connects with a small receive buffer, so that a response stays at the gateway for long.
    async fn connect_slowly(&self) -> TcpStream {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(SMALL_BUFFER).unwrap();
        socket.connect(self.caller_addr).await.unwrap()
    }

    fn terminate(&self) {
        kill_process(Pid::from_child(&self.child), Signal::TERM).unwrap();
    }

    async fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("exit of the process", async || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        })
        .await;
        status.unwrap()
    }
}

/// The response of the endpoint.
fn reply(request: &ReceivedRequest) -> Reply {
    Reply::Send(match request.line.split(' ').nth(1).unwrap() {
        "/safe/large" => {
            response("200 OK", STAMP_HEADER, "x".repeat(LARGE_BYTES - END.len()) + END)
        }
        "/stream/large" => {
            let head = format!("{STAMP_HEADER}content-type: text/event-stream\r\n");
            response("200 OK", &head, events())
        }
        _ => response("200 OK", STAMP_HEADER, "small"),
    })
}

fn events() -> Vec<u8> {
    let event = |n| format!("id: {n}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
    (1..=EVENTS).map(event).collect::<String>().into_bytes()
}

/// Reads up to `end` as a slow caller and returns the number of bytes. Fails if the connection ends
/// first.
async fn read_slowly(stream: &mut TcpStream, end: &str) -> std::io::Result<usize> {
    let (mut count, mut tail) = (0, Vec::new());
    let mut buffer = vec![0; SLOW_READ];
    while !tail.ends_with(end.as_bytes()) {
        let read = stream.read(&mut buffer).await?;
        if read == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        count += read;
        tail.extend_from_slice(&buffer[..read]);
        tail.drain(..tail.len().saturating_sub(end.len()));
        sleep(SLOW_PAUSE).await;
    }
    Ok(count)
}

/// Sends a request for a large response and stops the process. Checks that a caller that reads slowly,
/// and only once idle connections are closed, gets the whole response, which ends with `end`.
async fn check_slow_caller(last_octet: u8, path: &str, end: &str, min_bytes: usize) {
    let mut system = TestSystem::start(last_octet).await;
    let mut idle = TcpStream::connect(system.caller_addr).await.unwrap();
    let mut slow = system.connect_slowly().await;
    slow.write_all(format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n").as_bytes()).await.unwrap();
    slow.readable().await.unwrap();
    system.terminate();
    // The process now closes idle connections.
    assert_eq!(idle.read(&mut [0]).await.unwrap_or(0), 0);
    let count = read_slowly(&mut slow, end).await;
    assert!(count.as_ref().is_ok_and(|count| *count >= min_bytes), "{count:?}");
    assert!(system.wait_for_exit().await.success());
}

/// A process that stopped ended while a response was still in its buffers, as a request counted as
/// done once its response was handed to the connection.
#[test]
fn a_response_that_is_read_slowly_is_complete_although_the_process_stops() {
    run(check_slow_caller(1, "/safe/large", END, LARGE_BYTES));
}

/// The same with the last parts of a stream, which wait in a channel.
#[test]
fn a_stream_that_is_read_slowly_is_complete_although_the_process_stops() {
    run(check_slow_caller(2, "/stream/large", "\r\n0\r\n\r\n", EVENTS * EVENT_BYTES));
}
