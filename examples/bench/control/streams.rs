//! Requests in progress: threads and memory of an entry, agents and stand-in engines together.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use base::ByteSize;
use standins::EngineSettings;
use testbed::{CALLER_KEY, Testbed, TestbedSettings, Weights};

use crate::{
    control::host::{resident, threads},
    fit::{Slope, fit},
};

const TIMEOUT: Duration = Duration::from_secs(30);
const SETTLE: Duration = Duration::from_millis(1500);
const SIZES: [usize; 4] = [16, 32, 64, 128];
const AGENTS: usize = 4;

/// Opens streams that go on for longer than the run and counts what they hold.
pub fn slopes(seed: u64) -> anyhow::Result<Vec<Slope>> {
    let token_time = Duration::from_millis(200);
    let engine = EngineSettings { slots: 64, token_time, ..EngineSettings::default() };
    let settings = TestbedSettings { agents: AGENTS, engine, seed, ..TestbedSettings::default() };
    let mut bed = Testbed::start(settings)?;
    bed.add_version(&Weights::generate("v1", ByteSize(1 << 20), ByteSize(64 << 10), seed));
    bed.roll_out("v1", AGENTS, 1);
    bed.wait_until("rollout", TIMEOUT, |bed| bed.serving_count("base@v1") == AGENTS)?;
    std::thread::sleep(SETTLE);
    let (memory, tasks) = (resident()?, threads()?);
    let mut open: Vec<TcpStream> = Vec::new();
    let (mut bytes, mut threads_of) = (Vec::new(), Vec::new());
    for size in SIZES {
        while open.len() < size {
            open.push(stream(bed.caller_addr(0))?);
        }
        std::thread::sleep(SETTLE);
        bytes.push((size as f64, (resident()? - memory).max(0.0)));
        threads_of.push((size as f64, threads()? - tasks));
    }
    drop(open);
    bed.stop();
    Ok(vec![
        fit("stream_memory", "bytes", "stream", bytes),
        fit("stream_threads", "threads", "stream", threads_of),
    ])
}

/// Sends a request and waits for the head of its answer.
fn stream(entry: SocketAddr) -> anyhow::Result<TcpStream> {
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
    anyhow::ensure!(&head == b"HTTP/1.1 200", "answer begins with {:?}", head.escape_ascii());
    Ok(socket)
}
