use http::{HeaderMap, HeaderValue};
use tokio::time::Instant;

use super::*;

const PAGE: &[u8] = br#"{"items":[],"truncated":false,"at":9}"#;

fn response(status: StatusCode, era: u64) -> BufferedResponse {
    let mut headers = HeaderMap::new();
    headers.insert("store-era", HeaderValue::from(era));
    BufferedResponse { status, headers, body: Bytes::from_static(PAGE), begun_at: Instant::now() }
}

/// Guards against taking a watch of a restored store for one whose history was discarded, or for one
/// of a store that is away.
#[test]
fn a_newer_era_is_noticed_whatever_the_status() {
    for status in [StatusCode::OK, StatusCode::GONE, StatusCode::SERVICE_UNAVAILABLE] {
        let result = accept_response(response(status, 4), StoreEra(3));
        assert!(matches!(result, Err(ReadError::Restored(StoreEra(4)))), "{status}: {result:?}");
    }
}

#[test]
fn a_response_of_an_older_era_is_rejected_whatever_the_status() {
    for status in [StatusCode::OK, StatusCode::GONE] {
        let result = accept_response(response(status, 2), StoreEra(3));
        assert!(matches!(result, Err(ReadError::OlderEra { .. })), "{status}: {result:?}");
    }
}

#[test]
fn within_an_era_the_status_decides() {
    let accept = |status| accept_response(response(status, 3), StoreEra(3));
    assert_eq!(accept(StatusCode::OK).unwrap(), PAGE);
    assert!(matches!(accept(StatusCode::GONE), Err(ReadError::HistoryGone)));
    assert!(matches!(accept(StatusCode::TOO_MANY_REQUESTS), Err(ReadError::Status(429))));
}

#[test]
fn pages_of_different_eras_are_not_combined() {
    let mut read = PagedRead::new(StoreEra(3));
    assert_eq!(read.add_page(response(StatusCode::OK, 3)).unwrap(), None);
    let result = read.add_page(response(StatusCode::OK, 4));
    assert!(matches!(result, Err(ReadError::Restored(StoreEra(4)))), "{result:?}");
}

#[test]
fn a_snapshot_is_watched_from_the_lowest_revision_of_its_pages() {
    let mut read = PagedRead::new(StoreEra(3));
    for at in [9, 7, 8] {
        let body = format!(r#"{{"items":[],"truncated":false,"at":{at}}}"#);
        let page = BufferedResponse { body: body.into(), ..response(StatusCode::OK, 3) };
        read.add_page(page).unwrap();
    }
    let position = StorePosition { era: StoreEra(3), revision: StoreRevision(7) };
    assert_eq!(read.finish().position, position);
}
