use http_body_util::BodyExt;

use super::*;

/// Callers would get a stream as complete whose forwarding task ended without a word, for example as it
/// panicked.
#[tokio::test]
async fn a_stream_whose_sender_is_gone_is_aborted() {
    let (sender, parts) = mpsc::unbounded_channel();
    let mut body = ResponseBody::Stream(parts);
    sender.send(StreamPart::Events(Bytes::from_static(b"id: 1\n\n"))).unwrap();
    drop(sender);
    assert!(body.frame().await.unwrap().is_ok());
    assert!(body.frame().await.is_some_and(|end| end.is_err()));
}

/// A stream is complete once its sender says so.
#[tokio::test]
async fn a_stream_with_an_end_is_complete() {
    let (sender, parts) = mpsc::unbounded_channel();
    let mut body = ResponseBody::Stream(parts);
    sender.send(StreamPart::Events(Bytes::from_static(b"id: 1\n\n"))).unwrap();
    sender.send(StreamPart::End).unwrap();
    drop(sender);
    assert!(body.frame().await.unwrap().is_ok());
    assert!(body.frame().await.is_none());
}
