//! Threads and memory of requests in progress, for an entry, agents and simulated engines together.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use base::ByteSize;
use standins::EngineSettings;
use testbed::{CALLER_KEY, Testbed, TestbedSettings, Weights};

use crate::{
    control::host::{resident_bytes, thread_count},
    fit::{Slope, fit},
};

const TIMEOUT: Duration = Duration::from_secs(30);
const SETTLE: Duration = Duration::from_millis(1500);
const SIZES: [usize; 4] = [16, 32, 64, 128];
const AGENTS: usize = 4;

/// Opens streams that outlast the run, and measures the memory and threads that they use.
pub fn slopes(seed: u64) -> anyhow::Result<Vec<Slope>> {
    let token_time = Duration::from_millis(200);
    let engine = EngineSettings { slots: 64, token_time, ..EngineSettings::default() };
    let settings = TestbedSettings { agents: AGENTS, engine, seed, ..TestbedSettings::default() };
    let mut bed = Testbed::start(settings)?;
    bed.add_version(&Weights::generate("v1", ByteSize(1 << 20), ByteSize(64 << 10), seed));
    bed.roll_out("v1", AGENTS, 1);
    bed.wait_until("rollout", TIMEOUT, |bed| bed.serving_count("base@v1") == AGENTS)?;
    std::thread::sleep(SETTLE);
    let (memory_before, threads_before) = (resident_bytes()?, thread_count()?);
    let mut streams: Vec<TcpStream> = Vec::new();
    let (mut memory_points, mut thread_points) = (Vec::new(), Vec::new());
    for size in SIZES {
        while streams.len() < size {
            streams.push(open_stream(bed.caller_addr(0))?);
        }
        std::thread::sleep(SETTLE);
        memory_points.push((size as f64, (resident_bytes()? - memory_before).max(0.0)));
        thread_points.push((size as f64, thread_count()? - threads_before));
    }
    drop(streams);
    bed.stop();
    Ok(vec![
        fit("stream_memory", "bytes", "stream", memory_points),
        fit("stream_threads", "threads", "stream", thread_points),
    ])
}

/// Sends a request and waits for the status line of its response.
fn open_stream(entry: SocketAddr) -> anyhow::Result<TcpStream> {
    let body = r#"{"model":"base","stream":true,"max_tokens":600,"messages":[{"role":"user","content":"hello"}]}"#;
    let mut socket = TcpStream::connect(entry)?;
    socket.set_read_timeout(Some(TIMEOUT))?;
    write!(
        socket,
        "POST /assistant/v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer \
         {CALLER_KEY}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut head = [0; 12];
    socket.read_exact(&mut head)?;
    anyhow::ensure!(&head == b"HTTP/1.1 200", "response begins with {:?}", head.escape_ascii());
    Ok(socket)
}
