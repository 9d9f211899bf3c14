//! Tests of the listener with many simultaneous callers and with misbehaving ones.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Barrier, mpsc},
    time::{Duration, Instant},
};

use net::{HandlerTracker, Latch, Listener, Request, StreamWriter};

/// Number of connections opened at the same time.
const BURST: usize = 64;
/// Time that a streamed response takes.
const RESPONSE_TIME: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_secs(10);

struct Server {
    addr: SocketAddr,
    stop: Latch,
    handlers: HandlerTracker,
}

fn serve(handle: impl Fn(Request) + Send + Sync + 'static) -> Server {
    serve_with(TIMEOUT, 1024, handle)
}

fn serve_with(
    idle: Duration,
    limit: usize,
    handle: impl Fn(Request) + Send + Sync + 'static,
) -> Server {
    let listener = Listener::bind(([127, 0, 0, 1], 0).into(), idle, limit).unwrap();
    let stop = Latch::default();
    let handlers = listener.serve(stop.clone(), handle);
    Server { addr: listener.addr(), stop, handlers }
}

fn not_found(request: Request) {
    net::respond_with_error(request, 404, "as expected", "not-run");
}

fn send_raw(addr: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let mut answer = vec![0; 4096];
    let length = stream.read(&mut answer).unwrap_or(0);
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

#[test]
fn connections_of_a_burst_are_served_concurrently() {
    let barrier = Arc::new(Barrier::new(BURST));
    let all_handled = barrier.clone();
    let server = serve(move |request| {
        // Passes only once all connections of the burst have a handler.
        all_handled.wait();
        not_found(request);
    });
    let (done, finished) = mpsc::channel();
    for _ in 0..BURST {
        let (addr, done) = (server.addr, done.clone());
        std::thread::spawn(move || done.send(send_raw(addr, "GET / HTTP/1.1\r\nhost: x\r\n\r\n")));
    }
    for n in 0..BURST {
        let answer = finished.recv_timeout(TIMEOUT);
        assert!(answer.is_ok_and(|a| a.starts_with("HTTP/1.1 404")), "{n} were answered");
    }
}

#[test]
fn a_huge_declared_body_does_not_end_the_process() {
    let Server { addr, .. } = serve(|mut request| {
        let body = net::read_body(&mut request, base::ByteSize(1024));
        assert!(body.is_none());
        net::respond_with_error(request, 413, "send less", "not-run");
    });
    for length in [1u64 << 40, 1 << 50, 1 << 62, u64::MAX] {
        let text = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\nx");
        let answer = send_raw(addr, &text);
        assert!(answer.starts_with("HTTP/1.1 4"), "{length}: {answer}");
    }
}

#[test]
fn slow_senders_are_disconnected_and_leave_no_handler_running() {
    let idle = Duration::from_millis(300);
    let server = serve_with(idle, 1024, |mut request| {
        assert!(net::read_body(&mut request, base::ByteSize(1024)).is_none());
        net::respond_with_error(request, 408, "send faster", "not-run");
    });
    let head = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n";
    let mut streams: Vec<TcpStream> = ["", "POST / HT", head, &format!("{head}part")]
        .map(|text| {
            let mut stream = TcpStream::connect(server.addr).unwrap();
            stream.write_all(text.as_bytes()).unwrap();
            stream
        })
        .into();
    let answers = streams.iter_mut().map(|stream| {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    });
    let answers: Vec<String> = answers.collect();
    assert!(answers[2].starts_with("HTTP/1.1 408"), "{answers:?}");
    assert!(answers[3].starts_with("HTTP/1.1 408"), "{answers:?}");
    let start = Instant::now();
    // The accept task still counts.
    while server.handlers.count() > 1 {
        assert!(start.elapsed() < TIMEOUT, "{} handlers are left", server.handlers.count());
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn connections_above_the_limit_are_rejected_until_others_close() {
    let server = serve_with(TIMEOUT, 2, not_found);
    let held: Vec<TcpStream> = (0..2).map(|_| TcpStream::connect(server.addr).unwrap()).collect();
    let request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    let refused = send_raw(server.addr, request);
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    let (head, body) = refused.split_once("\r\n\r\n").unwrap();
    assert!(head.contains("retry-after: 1"), "{refused}");
    assert!(head.ends_with(&format!("content-length: {}", body.len())), "{refused}");
    drop(held);
    let start = Instant::now();
    while !send_raw(server.addr, request).starts_with("HTTP/1.1 404") {
        assert!(start.elapsed() < TIMEOUT, "the connections that ended still count");
    }
}

#[test]
fn a_stopped_listener_completes_each_response() {
    let server = serve(|request| {
        let mut out = StreamWriter::start(request, 200, &[]).unwrap();
        for _ in 0..20 {
            std::thread::sleep(RESPONSE_TIME / 20);
            out.write_all(&[b'x'; 1000]).unwrap();
            out.flush().unwrap();
        }
        out.finish().unwrap();
    });
    let addr = server.addr;
    let send = || std::thread::spawn(move || get(addr));
    let threads: Vec<_> = (0..8).map(|_| send()).collect();
    std::thread::sleep(RESPONSE_TIME / 2);
    server.stop.close();
    assert!(server.handlers.wait(Instant::now() + TIMEOUT));
    for thread in threads {
        assert_eq!(thread.join().unwrap().unwrap().len(), 20_000);
    }
}

#[test]
fn an_unfinished_stream_is_received_as_an_error() {
    let server = serve(|request| {
        let mut out = StreamWriter::start(request, 200, &[]).unwrap();
        out.write_all(b"part").unwrap();
    });
    assert!(get(server.addr).is_err());
}

/// A caller of HTTP/1.0 sees the end of a response in the end of the connection alone, so that only a reset
/// tells it that a response was aborted.
#[test]
fn an_unfinished_stream_ends_with_a_reset_for_a_caller_of_an_older_protocol() {
    for (is_finished, is_whole) in [(true, true), (false, false)] {
        let server = serve(move |request| {
            let mut out = StreamWriter::start(request, 200, &[]).unwrap();
            out.write_all(b"part").unwrap();
            if is_finished {
                out.finish().unwrap();
            }
        });
        let mut stream = TcpStream::connect(server.addr).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(b"GET / HTTP/1.0\r\nhost: x\r\n\r\n").unwrap();
        let read = stream.read_to_string(&mut String::new());
        assert_eq!(read.is_ok(), is_whole, "{read:?}");
    }
}

/// What was written before a response was aborted got lost with it.
#[test]
fn an_unfinished_stream_delivers_what_was_written() {
    let server = serve(|request| {
        let mut out = StreamWriter::start(request, 200, &[]).unwrap();
        out.write_all(b"part").unwrap();
    });
    let mut stream = TcpStream::connect(server.addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    assert!(text.contains("part") && !text.ends_with("0\r\n\r\n"), "{text:?}");
}

fn get(addr: SocketAddr) -> Result<Vec<u8>, ureq::Error> {
    let mut response = net::unpooled_client(TIMEOUT).get(format!("http://{addr}/")).call()?;
    response.body_mut().read_to_vec()
}
