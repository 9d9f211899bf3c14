//! Guards against a process that is killed for the memory that it holds for callers who read slowly, and against
//! responses that wait for each other's memory for ever.

use std::time::Duration;

use tokio::time::timeout;

use super::*;

const LIMIT: usize = 1000;
const WAIT: Duration = Duration::from_secs(1);

fn body(size: usize) -> Bytes {
    Bytes::from(vec![0; size])
}

#[tokio::test(start_paused = true)]
async fn memory_is_released_once_the_bytes_are_dropped() {
    let memory = Arc::new(ResponseMemory::default());
    let mut reservation = memory.reserve();
    reservation.grow(600, LIMIT).await;
    let held = reservation.hold(body(600));
    let part = held.slice(10..20);
    drop(held);
    assert_eq!(memory.held(), 600);
    drop(part);
    assert_eq!(memory.held(), 0);
    drop(memory.reserve().hold(Bytes::new()));
    assert_eq!(memory.held(), 0);
}

#[tokio::test(start_paused = true)]
async fn of_responses_that_wait_for_each_other_one_goes_on_at_a_time() {
    let memory = Arc::new(ResponseMemory::default());
    let mut all: Vec<ResponseReservation> = (0..4).map(|_| memory.reserve()).collect();
    for reservation in &mut all {
        reservation.grow(LIMIT / 4, LIMIT).await;
    }
    // The first one goes beyond the limit, and no other one while it is held.
    all[0].grow(LIMIT / 4, LIMIT).await;
    assert!(timeout(WAIT, all[1].grow(LIMIT / 4, LIMIT)).await.is_err() && all[1].has_waited);
    let held = all.remove(0).hold(body(LIMIT / 2));
    assert!(timeout(WAIT, all[0].grow(LIMIT / 4, LIMIT)).await.is_err());
    assert_eq!(memory.held(), LIMIT + LIMIT / 4);
    let waiting = all[0].grow(LIMIT / 4, LIMIT);
    let (grown, ()) = tokio::join!(timeout(WAIT, waiting), async { drop(held) });
    assert!(grown.is_ok());
    drop(all);
    assert_eq!(memory.held(), 0);
}
