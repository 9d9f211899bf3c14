//! Guards against memory that is held for ever for callers that never read, and against slow ones that are cut.

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, duplex},
    time::Instant,
};

use super::*;

const TIMEOUT: Duration = Duration::from_secs(10);
const BUFFER: usize = 16;

#[tokio::test(start_paused = true)]
async fn a_write_fails_once_the_peer_has_read_nothing_for_too_long() {
    let (stream, _peer) = duplex(BUFFER);
    let begun = Instant::now();
    let written = WriteTimeout::new(stream, TIMEOUT).write_all(&[0; 2 * BUFFER]).await;
    assert_eq!(written.unwrap_err().kind(), io::ErrorKind::TimedOut);
    assert!(begun.elapsed() >= TIMEOUT);
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_reads_slowly_gets_everything() {
    let (stream, mut peer) = duplex(BUFFER);
    let mut stream = WriteTimeout::new(stream, TIMEOUT);
    let writing = stream.write_all(&[0; 10 * BUFFER]);
    let reading = async {
        for _ in 0..10 * BUFFER {
            sleep(TIMEOUT / 2).await;
            peer.read_u8().await.unwrap();
        }
    };
    let (written, ()) = tokio::join!(writing, reading);
    written.unwrap();
}
