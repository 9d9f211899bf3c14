use super::*;

/// Starts a server that echoes each byte.
fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut from, mut to) = (stream.unwrap(), [0; 1]);
            std::thread::spawn(move || {
                while from.read_exact(&mut to).is_ok() && from.write_all(&to).is_ok() {}
            });
        }
    });
    addr
}

#[test]
fn blackholed_connections_are_silent_and_new_ones_work() {
    let relay = Relay::start(start_echo_server()).unwrap();
    let send_byte = |stream: &mut TcpStream| {
        stream.write_all(b"x").unwrap();
        stream.read_exact(&mut [0; 1])
    };
    let mut old = TcpStream::connect(relay.addr()).unwrap();
    send_byte(&mut old).unwrap();
    relay.blackhole();
    old.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    assert!(matches!(send_byte(&mut old).unwrap_err().kind(), ErrorKind::WouldBlock));
    send_byte(&mut TcpStream::connect(relay.addr()).unwrap()).unwrap();
}
