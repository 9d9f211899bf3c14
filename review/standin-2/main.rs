//! Drives the cases of the second review: starts the stand-ins and the project's programs, and judges what was seen.
//! Usage: `standin CASE RECORD`, in the repository's root. With `TROUBLE=0` the disruption is left out.

mod blame;
mod http;
mod model_fleet;
mod parts;
mod poison;
mod process;
mod store;
mod weights;

use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use http::Client;
use process::Record;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match args.get(1..) {
        Some([case, path]) => {
            let record = Arc::new(Record::create(Path::new(path)));
            record.line(if has_trouble { "with the disruption" } else { "without the disruption" });
            match case.as_str() {
                "blame" => blame::run(record, has_trouble),
                "parts" => parts::run(record, has_trouble),
                "poison" => poison::run(record, has_trouble),
                _ => 2,
            }
        }
        _ => 2,
    };
    std::process::exit(code);
}

/// Waits until a gateway says that it accepts connections.
fn wait_until_ready(addr: SocketAddr) -> bool {
    let end = Instant::now() + Duration::from_secs(10);
    let request = format!("GET /v1/ready HTTP/1.1\r\nHost: {addr}\r\n\r\n");
    while Instant::now() < end {
        let answer = Client::new(addr).call(request.as_bytes(), Duration::from_secs(1));
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
