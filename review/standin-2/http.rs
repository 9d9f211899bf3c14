//! A small HTTP/1.1 server and client on threads, enough for the stand-ins.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A message: a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message. `Ok(None)` is the end of the connection before it.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0; 16 << 10];
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut chunk)? {
            0 if buffer.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    };
    let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = text.split("\r\n");
    let mut message =
        Message { line: lines.next().unwrap_or("").to_owned(), ..Message::default() };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    buffer.drain(..end + 4);
    if message.line.contains(" 100 ") {
        return read_message(stream, buffer);
    }
    let length: usize =
        message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

/// Builds a response with a body.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// A listener whose connections can be closed all at once, as when its process ends.
pub struct Server {
    pub addr: SocketAddr,
    is_open: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves each connection in a thread of its own. `serve` handles one request on the stream and returns
    /// whether the connection goes on.
    pub fn start<F>(addr: SocketAddr, serve: F) -> Server
    where
        F: Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(addr).expect("bind");
        let addr = listener.local_addr().expect("local address");
        listener.set_nonblocking(true).expect("nonblocking");
        let is_open = Arc::new(AtomicBool::new(true));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (open, kept, serve) = (is_open.clone(), streams.clone(), Arc::new(serve));
        thread::spawn(move || {
            while open.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).expect("blocking");
                stream.set_nodelay(true).expect("nodelay");
                kept.lock().unwrap().push(stream.try_clone().expect("clone"));
                let serve = serve.clone();
                thread::spawn(move || {
                    let (mut stream, mut buffer) = (stream, Vec::new());
                    while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
                        if !serve(&request, &mut stream) {
                            break;
                        }
                    }
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                });
            }
        });
        Server { addr, is_open, streams }
    }

    /// Closes the listener and all connections.
    pub fn close(&self) {
        self.is_open.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// A client connection that is kept for further requests.
pub struct Client {
    addr: SocketAddr,
    kept: Option<(TcpStream, Vec<u8>)>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Client {
        Client { addr, kept: None }
    }

    /// Sends a request on a new connection and reads until the peer closes it.
    pub fn read_all(&mut self, request: &[u8], limit: Duration) -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(request)?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Sends a request and waits for the response, up to a time.
    pub fn call(&mut self, request: &[u8], limit: Duration) -> io::Result<Message> {
        let (mut stream, mut buffer) = match self.kept.take() {
            Some(kept) => kept,
            None => {
                let stream = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1))?;
                stream.set_nodelay(true)?;
                (stream, Vec::new())
            }
        };
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(request)?;
        let message = read_message(&mut stream, &mut buffer)?
            .ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let closes = message.header("connection").is_some_and(|value| value.contains("close"));
        if !closes {
            self.kept = Some((stream, buffer));
        }
        Ok(message)
    }
}
