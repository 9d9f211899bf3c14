//! Guards against answers that are lost because the client counts their bodies as a part of their heads: a
//! client that was idle reads the head and much of a large body at once.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use bytes::Bytes;
use http::Method;
use tokio::{
    join,
    runtime::Builder,
    task::{JoinSet, LocalSet, yield_now},
    time::{Instant, sleep},
};
use transport::{BodyLimit, ConnectSettings, Connection, TransportError, request};

/// Number of connections that are used side by side.
const CONNECTIONS: usize = 20;
/// Number of answers on each connection after its first one.
const ANSWERS: usize = 50;
/// Sizes of the answers' bodies in bytes.
const SIZES: [usize; 9] =
    [1 << 10, 10 << 10, 50 << 10, 65 << 10, 100 << 10, 200 << 10, 500 << 10, 1 << 20, 4 << 20];
/// Idle times of a connection before a request, in milliseconds.
const IDLE_MS: [u64; 7] = [0, 20, 100, 200, 300, 600, 1000];
/// Times for which the client is busy after a request, in milliseconds. A client that was busy finds much of
/// the answer at once.
const BUSY_MS: [u64; 2] = [0, 5];
/// Time within which each answer must have arrived.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes of a client's request that are read at once.
const REQUEST_BYTES: usize = 4096;

/// Runs `future` on one thread, as the processes do.
fn run(future: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, future);
}

/// Starts a server that hands each of its connections to `answer`, in a thread of its own.
fn start(answer: impl Fn(TcpStream) + Copy + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            thread::spawn(move || answer(stream));
        }
    });
    addr
}

/// Reads the next request, whose path is the size of the body that it asks for.
fn read_size(stream: &mut TcpStream) -> Option<usize> {
    let mut buffer = [0; REQUEST_BYTES];
    let count = stream.read(&mut buffer).ok()?;
    let text = std::str::from_utf8(&buffer[..count]).ok()?;
    text.strip_prefix("GET /")?.split(' ').next()?.parse().ok()
}

fn answer_with_bodies(mut stream: TcpStream) {
    while let Some(size) = read_size(&mut stream) {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
        let sent = stream.write_all(head.as_bytes());
        if sent.and_then(|()| stream.write_all(&vec![b'x'; size])).is_err() {
            return;
        }
    }
}

async fn open(addr: SocketAddr) -> Connection {
    Connection::open(addr, &ConnectSettings::default()).await.unwrap()
}

/// Asks for a body of `size` bytes and returns its length and the connection. The client is busy for
/// `busy_time` once the request is written.
async fn get(
    connection: Connection,
    size: usize,
    busy_time: Duration,
) -> Result<(usize, Connection), TransportError> {
    let until = Instant::now() + TIMEOUT;
    let request = request(Method::GET, connection.addr(), &format!("/{size}"), Bytes::new());
    let busy = async {
        // The request is written first.
        yield_now().await;
        yield_now().await;
        thread::sleep(busy_time);
    };
    let (exchange, ()) = join!(connection.send(request, until), busy);
    let exchange = exchange?;
    let (response, connection) = exchange.read_body(size, BodyLimit::Until(until)).await?;
    Ok((response.body().len(), connection))
}

/// Gets an answer after each idle time in turn, and returns what was lost.
async fn use_connection(addr: SocketAddr, offset: usize) -> Vec<String> {
    let mut lost = Vec::new();
    let (_, mut connection) = get(open(addr).await, 1, Duration::ZERO).await.unwrap();
    for n in 0..ANSWERS {
        let size = SIZES[(offset + n / BUSY_MS.len()) % SIZES.len()];
        let idle_ms = IDLE_MS[(offset + n) % IDLE_MS.len()];
        let busy_ms = BUSY_MS[n % BUSY_MS.len()];
        sleep(Duration::from_millis(idle_ms)).await;
        connection = match get(connection, size, Duration::from_millis(busy_ms)).await {
            Ok((length, connection)) if length == size => connection,
            result => {
                let what = result.map(|(length, _)| length).map_err(|err| err.to_string());
                lost.push(format!("{size} bytes after {idle_ms} ms: {what:?}"));
                open(addr).await
            }
        };
    }
    lost
}

#[test]
fn answers_of_all_sizes_arrive_after_all_idle_times() {
    run(async {
        let addr = start(answer_with_bodies);
        let mut connections = JoinSet::new();
        for offset in 0..CONNECTIONS {
            connections.spawn_local(use_connection(addr, offset));
        }
        let lost = connections.join_all().await.concat();
        assert!(lost.is_empty(), "{} of {}: {lost:#?}", lost.len(), CONNECTIONS * ANSWERS);
    });
}

/// Sends `filler` after `start` until the client closes the connection.
fn answer_without_end(mut stream: TcpStream, start: &str, filler: &str) {
    let filler = filler.repeat(REQUEST_BYTES / filler.len());
    if read_size(&mut stream).is_none() || stream.write_all(start.as_bytes()).is_err() {
        return;
    }
    while stream.write_all(filler.as_bytes()).is_ok() {}
}

/// Guards against a request that waits until its deadline while its endpoint sends heads without end.
#[test]
fn heads_without_end_fail_at_once() {
    run(async {
        let heads = [
            ("HTTP/1.1 200 OK\r\nx-long: ", "a"),
            ("HTTP/1.1 200 OK\r\n", "x-many: a\r\n"),
            ("", "HTTP/1.1 100 Continue\r\n\r\n"),
            ("", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"),
        ];
        for (head, filler) in heads {
            let addr = start(move |stream| answer_without_end(stream, head, filler));
            let failed = get(open(addr).await, 1, Duration::ZERO).await.unwrap_err();
            assert!(matches!(failed, TransportError::Invalid(_)), "{head:?} {filler:?}: {failed}");
        }
    });
}
