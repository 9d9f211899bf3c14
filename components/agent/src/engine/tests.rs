use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
};

use rollout::OrderKind;

use super::*;

const REFUSED: &str = "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n";
const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n";

/// Starts an engine that answers the first request of its n-th connection with `answers[n]`, and each further
/// one on a connection with a late copy of that answer.
fn start_engine(answers: &'static [&'static str]) -> Engine {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let engine = Engine::new(listener.local_addr().unwrap());
    std::thread::spawn(move || {
        for (stream, answer) in listener.incoming().map_while(Result::ok).zip(answers) {
            std::thread::spawn(move || {
                let mut requests = BufReader::new(&stream);
                while read_request(&mut requests).is_some() {
                    (&stream).write_all(answer.as_bytes()).unwrap();
                }
            });
        }
    });
    engine
}

fn read_request(requests: &mut BufReader<&TcpStream>) -> Option<()> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        requests.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line.is_empty() {
            break;
        }
    }
    requests.read_exact(&mut vec![0; length]).ok()
}

/// Guards against releases that are served incomplete, or not at all: an engine that sent the answer to one
/// order once more, on a connection that was in use again, had it taken for the answer to the next order.
#[test]
fn a_late_copy_of_an_answer_is_not_taken_for_that_of_the_next_order() {
    let engine = start_engine(&[REFUSED, ACCEPTED, REFUSED]);
    let release: ReleaseId = "base@v1".parse().unwrap();
    let order = |order| Order { order, release: release.clone(), fence: Fence(1) };
    assert!(!engine.order(&order(OrderKind::Prepare), &[]));
    assert!(engine.order(&order(OrderKind::Prepare), &[]));
    assert!(!engine.stage(&release, Digest::of(b"chunk"), &Bytes::from_static(b"chunk")));
}
