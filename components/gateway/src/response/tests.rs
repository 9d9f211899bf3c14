use http_body_util::BodyExt;

use super::*;

/// Callers would get a stream as complete whose forwarding task ended without a word, for example as it
/// panicked.
#[tokio::test]
async fn a_stream_whose_sender_is_gone_is_aborted() {
    let (sender, parts) = mpsc::channel(1);
    let mut body = ResponseBody::Stream(parts);
    sender.send(Ok(Bytes::from_static(b"id: 1\n\n"))).await.unwrap();
    drop(sender);
    assert!(body.frame().await.unwrap().is_ok());
    assert!(body.frame().await.is_some_and(|end| end.is_err()));
}
