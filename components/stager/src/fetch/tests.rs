use std::{cell::Cell, future::pending};

use super::*;

/// Counts when it is dropped.
struct Connection(Rc<Cell<u32>>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

/// Guards against pieces of an older version that share the origin's link with those of a newer one until
/// they are through: nobody will load them.
#[tokio::test(start_paused = true)]
async fn a_fetch_is_given_up_once_its_download_is_replaced() {
    let closed = Rc::new(Cell::new(0));
    let sender = watch::Sender::new(());
    let connection = Connection(closed.clone());
    let request = async move {
        let _connection = connection;
        pending::<()>().await;
    };
    let fetch = until_closed(sender.subscribe(), request);
    tokio::pin!(fetch);
    let waiting = timeout(Duration::from_secs(5), &mut fetch).await;
    assert!(waiting.is_err() && closed.get() == 0);
    drop(sender);
    assert_eq!(fetch.await, None);
    assert_eq!(closed.get(), 1);
    // What is already here is used.
    let sender = watch::Sender::new(());
    let receiver = sender.subscribe();
    drop(sender);
    assert_eq!(until_closed(receiver, async { 7 }).await, Some(7));
}
