//! Case 6: the ninth of ten shared parts of prompts crashes each runner that begins to write an answer on it.
//!
//! Judged is the rule BUDGET of the news: no more than three requests with such a part, new ones or repeats, may reach
//! runners that machines in touch send later than `contact_window_ms` after the fifth crash.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    model_fleet::{
        CONTACT_WINDOW_MS, DEADLY_PART, Deployment, Fleet, StreamEnd, read_stream, stream_request,
    },
    process::Record,
};

const RUNNERS: usize = 6;
const MAX_REQUESTS: usize = 3;
/// Number of parts that requests share, before their own one.
const SHARED_PARTS: usize = 10;
/// Position of the part that crashes runners, counted from 1; the variable `POSITION` changes it.
const DEADLY_POSITION: usize = 9;
/// Pause between two requests with the part.
const POISON_PAUSE: Duration = Duration::from_millis(700);
/// How long such requests come.
const POISON_TIME: Duration = Duration::from_secs(22);

/// Returns the exit code.
pub fn run(record: Arc<Record>, has_trouble: bool) -> i32 {
    let Some(deployment) = Deployment::start(&record, RUNNERS) else { return 2 };
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<Counts> = Arc::default();
    let clients: Vec<_> = (0..12)
        .map(|n| {
            let (stop, counts) = (stop.clone(), counts.clone());
            let addr = deployment.callers[n % 3];
            thread::spawn(move || run_client(n, addr, &stop, &counts))
        })
        .collect();
    thread::sleep(Duration::from_millis(1000));
    let mut sent: Vec<(String, u64)> = Vec::new();
    let end_ms = record.now_ms() + POISON_TIME.as_millis() as u64;
    while record.now_ms() < end_ms {
        if has_trouble {
            let (n, id) = (sent.len() % 3, format!("poison-{}", sent.len() + 1));
            let sent_ms = record.now_ms();
            sent.push((id.clone(), sent_ms));
            let request = stream_request(&id, &parts(sent.len(), true));
            let answer = read_stream(deployment.callers[n], &request);
            record.line(&format!("{id} sent to gateway-{n} at {sent_ms}: {answer:?}"));
        }
        thread::sleep(POISON_PAUSE);
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    judge(&record, &deployment.fleet, &sent, &counts)
}

/// The parts of a prompt. Requests share some of the parts and differ in others, no two are alike.
fn parts(number: usize, is_deadly: bool) -> String {
    let chosen = std::env::var("POSITION").ok().and_then(|text| text.parse().ok());
    let deadly = chosen.unwrap_or(DEADLY_POSITION);
    let part = |position: usize| match position {
        position if is_deadly && position == deadly => format!("{DEADLY_PART}:40"),
        // The first part is shared by all, the others by fewer.
        1 => "5c1e0701:40".to_owned(),
        position => format!("{:04x}{:04x}:20", position, number % (3 + position)),
    };
    let shared: Vec<String> = (1..=SHARED_PARTS).map(part).collect();
    format!("{},{:08x}:200", shared.join(","), 0x1000_0000 + number)
}

/// How the streams of the other clients ended.
#[derive(Default)]
struct Counts {
    complete: AtomicUsize,
    refused: AtomicUsize,
    /// Broken off, or answered 502 or 504.
    lost: AtomicUsize,
}

fn run_client(n: usize, addr: SocketAddr, stop: &AtomicBool, counts: &Counts) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let request = stream_request(&format!("c{n}-{number}"), &parts(n * 1000 + number, false));
        let count = match read_stream(addr, &request) {
            StreamEnd::Complete => &counts.complete,
            StreamEnd::Status(503) => &counts.refused,
            StreamEnd::Status(_) | StreamEnd::BrokenOff => &counts.lost,
        };
        count.fetch_add(1, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(100 + 11 * n as u64));
    }
}

fn judge(record: &Record, fleet: &Fleet, sent: &[(String, u64)], counts: &Counts) -> i32 {
    let reached = fleet.reached.lock().unwrap();
    let crashes = fleet.crashes.lock().unwrap();
    let late: Vec<&str> = match crashes.get(4) {
        Some(fifth_ms) => {
            record.line(&format!("the fifth crash was at {fifth_ms}"));
            let late = sent.iter().filter(|(id, sent_ms)| {
                *sent_ms > fifth_ms + CONTACT_WINDOW_MS && reached.contains(id)
            });
            late.map(|(id, _)| id.as_str()).collect()
        }
        None => Vec::new(),
    };
    record.line(&format!(
        "{} requests with the part, {} crashes; requests with the part that reached a runner later than \
         {CONTACT_WINDOW_MS} ms after the fifth crash: {} {late:?}",
        sent.len(),
        crashes.len(),
        late.len()
    ));
    let (complete, refused, lost) = (
        counts.complete.load(Ordering::SeqCst),
        counts.refused.load(Ordering::SeqCst),
        counts.lost.load(Ordering::SeqCst),
    );
    record.line(&format!(
        "sound streams: {complete} complete, {refused} refused, {lost} broken off or lost"
    ));
    if complete < 100 {
        record.line("result: the case could not run");
        return 2;
    }
    let is_broken = late.len() > MAX_REQUESTS;
    record.line(if is_broken { "result: BUDGET is broken" } else { "result: BUDGET holds" });
    i32::from(is_broken)
}
