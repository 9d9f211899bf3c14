//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::{
    cell::RefCell,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

/// A request or a response.
#[derive(Debug, Clone)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Path of a request, without the query.
    pub fn path(&self) -> &str {
        let target = self.start.split(' ').nth(1).unwrap_or("");
        target.split('?').next().unwrap_or("")
    }

    /// A value of the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let target = self.start.split(' ').nth(1).unwrap_or("");
        let pairs = target.split_once('?')?.1.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, value)| value)
    }
}

/// Reads messages from a connection.
pub struct Reader<'a> {
    stream: &'a TcpStream,
    buffer: Vec<u8>,
}

impl<'a> Reader<'a> {
    pub fn new(stream: &'a TcpStream) -> Reader<'a> {
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads the next head; `None` if the connection ended before it.
    fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(n, v)| (n.to_owned(), v.trim().to_owned())).collect();
        Ok(Some(Message { start, headers, body: Vec::new(), is_complete: false }))
    }

    /// Takes `count` bytes; `None` if the connection ends before.
    fn take(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..count).collect()))
    }

    fn take_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..at]).into_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a message with its body. A body that breaks off leaves `is_complete` false.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        if message.header("transfer-encoding").is_some() {
            message.is_complete = self.read_chunks(&mut message.body).unwrap_or(false);
            return Ok(Some(message));
        }
        let length = message.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        if let Ok(Some(body)) = self.take(length) {
            message.body = body;
            message.is_complete = true;
        }
        Ok(Some(message))
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.take_line()? else { return Ok(false) };
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let Some(chunk) = self.take(size + 2)? else { return Ok(false) };
            if size == 0 {
                return Ok(true);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}

/// The bytes of a response with a length.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Whether each connection that the stand-ins serve has gone silent.
static CONNECTIONS: Mutex<Vec<Weak<AtomicBool>>> = Mutex::new(Vec::new());

thread_local! {
    /// The same of the connection that this thread serves.
    static IS_SILENT: RefCell<Option<Arc<AtomicBool>>> = const { RefCell::new(None) };
}

/// Lets all open connections to the stand-ins go silent for good. New ones work. Returns their number.
pub fn silence_all() -> usize {
    let open: Vec<_> = CONNECTIONS.lock().unwrap().drain(..).filter_map(|c| c.upgrade()).collect();
    open.iter().for_each(|is_silent| is_silent.store(true, SeqCst));
    open.len()
}

/// Does not return if the connection that this thread serves has gone silent.
pub fn hold_if_silent() {
    let is_silent = || {
        IS_SILENT.with_borrow(|silent| silent.as_ref().is_some_and(|silent| silent.load(SeqCst)))
    };
    while is_silent() {
        thread::sleep(Duration::from_secs(1));
    }
}

/// Answers a request by writing to its connection. An error closes the connection.
pub type Handler = Arc<dyn Fn(&Message, &TcpStream) -> io::Result<()> + Send + Sync>;

/// Interval at which a listener that can be closed looks for connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// Serves requests on an address, each connection on a thread of its own.
pub fn serve(addr: SocketAddr, handler: Handler) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr)?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            serve_connection(stream, handler.clone());
        }
    });
    Ok(addr)
}

/// The same, until `closed` is set: then the listener is closed, and new connections are refused.
pub fn serve_until(
    closed: Arc<AtomicBool>,
    addr: SocketAddr,
    handler: Handler,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        while !closed.load(SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => serve_connection(stream, handler.clone()),
                Err(_) => thread::sleep(ACCEPT_INTERVAL),
            }
        }
    });
    Ok(addr)
}

fn serve_connection(stream: TcpStream, handler: Handler) {
    let is_silent = Arc::new(AtomicBool::new(false));
    CONNECTIONS.lock().unwrap().push(Arc::downgrade(&is_silent));
    thread::spawn(move || {
        IS_SILENT.set(Some(is_silent));
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(&stream);
        while let Ok(Some(request)) = reader.read() {
            hold_if_silent();
            if handler(&request, &stream).is_err() {
                break;
            }
        }
    });
}

/// What a client sees of a request.
#[derive(Debug)]
pub enum Outcome {
    /// No connection could be opened.
    NotConnected,
    /// The connection ended before the head of an answer.
    NoAnswer,
    /// An answer, perhaps incomplete.
    Answer(Message),
}

/// Sends a request on a connection of its own and reads the answer.
pub fn send(addr: SocketAddr, request: &[u8], patience: Duration) -> Outcome {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
        return Outcome::NotConnected;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience));
    if stream.write_all(request).is_err() {
        return Outcome::NoAnswer;
    }
    match Reader::new(&stream).read() {
        Ok(Some(answer)) => Outcome::Answer(answer),
        _ => Outcome::NoAnswer,
    }
}
