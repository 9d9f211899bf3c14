//! Tests of gateways that stop while answers are on their way to callers.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};
use standin::{
    ReceivedRequest, Reply, STAMP_HEADER, Store, endpoint_entry, free_port, response, run, serve,
    settings, wait_until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// Size of the response, more than the sockets' buffers hold.
const BODY_BYTES: usize = 4 << 20;
/// Receive buffer of the caller.
const RECEIVE_BYTES: u32 = 4096;
const CONFIG: &str = r#"{"version":1,"routes":[
    {"name":"safe","host":"h","path_prefix":"/safe/","kind":"safe","timeout_ms":4000,
     "target_latency_ms":300,"service":"plain","max_attempts":1,"allow_anonymous":true}],
    "services":[{"name":"plain"}]}"#;

/// A gateway as a process; it is killed on drop.
struct Gateway {
    child: Child,
    log: PathBuf,
    caller_addr: SocketAddr,
}

impl Gateway {
    async fn start(ip: Ipv4Addr, store: SocketAddr) -> Gateway {
        let caller_addr = SocketAddr::from((ip, free_port()));
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let (file, log) = (dir.join("stop.conf"), dir.join("stop.log"));
        let more = format!(
            "serves=frontend\nlisten_addresses.frontend_address={caller_addr}\n\
             bounds.grace_period_s=4\n"
        );
        std::fs::write(&file, settings(ip, store, &more)).unwrap();
        let output = File::create(&log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_carawaypaddle"))
            .args(["gateway", "--node", file.to_str().unwrap()])
            .stderr(Stdio::from(output.try_clone().unwrap()))
            .stdout(Stdio::from(output))
            .spawn()
            .unwrap();
        let gateway = Gateway { child, log, caller_addr };
        wait_until("the gateway listens", async || TcpStream::connect(caller_addr).await.is_ok())
            .await;
        gateway
    }

    /// The logged lines that contain `text`.
    fn logged(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    /// Stops the gateway and waits until it has ended.
    async fn stop(&mut self) {
        kill_process(Pid::from_child(&self.child), Signal::TERM).unwrap();
        wait_until("the gateway ends", async || self.child.try_wait().unwrap().is_some()).await;
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // Both calls fail if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn reply(request: &ReceivedRequest) -> Reply {
    let body = if request.line.contains("/safe/large") { BODY_BYTES } else { 1 };
    Reply::Send(response("200 OK", STAMP_HEADER, "x".repeat(body)))
}

/// Sends a request on a connection that stays open.
async fn send(addr: SocketAddr, path: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BYTES).unwrap();
    let mut stream = socket.connect(addr).await.unwrap();
    let text = format!("GET {path} HTTP/1.1\r\nhost: h\r\nx-request-id: q1\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Guards against callers that get a part of an answer from a process that stopped: it ended as idle
/// while the answer was not written yet.
#[test]
fn a_gateway_that_ends_as_idle_has_written_all_answers() {
    run(async {
        let ip = Ipv4Addr::new(127, 71, 1, 1);
        let (store, store_addr) = Store::start(ip).await;
        let handler = |request: ReceivedRequest| async move { reply(&request) };
        let addr = serve((ip, 0).into(), handler).await;
        store.put("op/config", Some(CONFIG.as_bytes()));
        store.put("servers/i-1", Some(endpoint_entry("plain", addr, "ready", "").as_bytes()));
        let mut gateway = Gateway::start(ip, store_addr).await;
        wait_until("requests are served", async || {
            let mut head = [0; 12];
            let mut stream = send(gateway.caller_addr, "/safe/probe").await;
            stream.read_exact(&mut head).await.is_ok() && head.ends_with(b"200")
        })
        .await;
        let answered = gateway.logged("answered").len();
        let mut caller = send(gateway.caller_addr, "/safe/large").await;
        wait_until("the request is answered", async || gateway.logged("answered").len() > answered)
            .await;
        gateway.stop().await;
        let mut received = Vec::new();
        // Fails if the connection was reset.
        let _ = caller.read_to_end(&mut received).await;
        let stopped = gateway.logged("stopped");
        let is_idle = stopped.iter().any(|line| line.contains("connections=0 busy=0"));
        assert!(!is_idle || received.len() > BODY_BYTES, "{} bytes, {stopped:?}", received.len());
    });
}
