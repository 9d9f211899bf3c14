//! Metric names.

use metrics::{Unit, describe_counter, describe_gauge, describe_histogram};

/// Finished requests, by `outcome`: `answered`, `not-run`, `run`, `unknown` or `caller-gone`.
pub const REQUESTS: &str = "carawaypaddle_requests_total";
/// Attempts to run a request.
pub const ATTEMPTS: &str = "carawaypaddle_attempts_total";
/// Requests with at least one attempt.
pub const STARTED: &str = "carawaypaddle_started_total";
/// Retries, by `allowed`: whether the retry budget allowed them.
pub const RETRIES: &str = "carawaypaddle_retries_total";
/// Responses of endpoints whose weights should have been replaced by then.
pub const OVERDUE_VERSIONS: &str = "carawaypaddle_overdue_versions_total";
/// Requests sent to weights older than required, as no endpoint with the required ones could take them.
pub const OLDER_WEIGHTS: &str = "carawaypaddle_older_weights_total";
/// Parts of prompts that were refused because they crash endpoints.
pub const REFUSED_PARTS: &str = "carawaypaddle_refused_parts_total";
/// Requests that were refused after their admission, by `reason`.
pub const REFUSALS: &str = "carawaypaddle_refusals_total";
/// Availability zones that the operator evacuated.
pub const EVACUATED_ZONES: &str = "carawaypaddle_evacuated_zones";
/// Requests for cold endpoints, by `allowed`: whether this gateway's share allowed them.
pub const COLD_REQUESTS: &str = "carawaypaddle_cold_requests_total";
/// Requests sent to endpoints of other availability zones, by `zone`.
pub const ZONE_EXITS: &str = "carawaypaddle_zone_exits_total";
/// Fraction of a `service`'s requests that may leave the zone although it expects to serve them.
pub const ZONE_EXIT_SHARE: &str = "carawaypaddle_zone_exit_share";
/// Time by which the requests of a `service` begin later in another `zone` than at home.
pub const ZONE_EXTRA_LATENCY: &str = "carawaypaddle_zone_extra_latency_seconds";
/// Time from a request's arrival to the first byte of its response.
pub const FIRST_BYTE: &str = "carawaypaddle_first_byte_seconds";
/// Requests in progress.
pub const IN_FLIGHT: &str = "carawaypaddle_in_flight";
/// Requests queued for an endpoint.
pub const QUEUED: &str = "carawaypaddle_queued";
/// Revision of the active manifest.
pub const MANIFEST: &str = "carawaypaddle_manifest_revision";
/// Revision of the active VM list.
pub const VMS: &str = "carawaypaddle_vms_revision";
/// Era of the platform's store: how often it came back from an older copy.
pub const STORE_ERA: &str = "carawaypaddle_store_era";
/// Version of the configuration in force at a gateway.
pub const CONFIG_VERSION: &str = "carawaypaddle_config_version";
/// Revision of the platform's store up to which a gateway knows it.
pub const STORE_REVISION: &str = "carawaypaddle_store_revision";
/// Rejected documents.
pub const REFUSED: &str = "carawaypaddle_documents_refused_total";
/// Gossip calls, by `result`: `replied` or `missed`.
pub const GOSSIP: &str = "carawaypaddle_gossip_total";
/// Bytes of fetched chunks, by `source`: `peer`, `store` or `origin`.
pub const CHUNK_BYTES: &str = "carawaypaddle_chunk_bytes_total";
/// Failed chunk fetches, by `error`.
pub const CHUNK_ERRORS: &str = "carawaypaddle_chunk_errors_total";
/// Orders to the engine, by `order` and `accepted`.
pub const ORDERS: &str = "carawaypaddle_orders_total";
/// Audit trail entries, by `kind`.
pub const AUDIT: &str = "carawaypaddle_audit_total";

/// Registers a description of each metric with the recorder.
pub(crate) fn describe() {
    describe_counter!(REQUESTS, "requests that ended, by outcome");
    describe_counter!(ATTEMPTS, "attempts that were made");
    describe_counter!(STARTED, "requests with at least one attempt");
    describe_counter!(RETRIES, "retries, by whether the budget allowed them");
    describe_counter!(OVERDUE_VERSIONS, "responses from weights that should have been replaced");
    describe_counter!(OLDER_WEIGHTS, "requests sent to weights older than required");
    describe_counter!(REFUSED_PARTS, "parts of prompts that were refused, as they crash endpoints");
    describe_counter!(REFUSALS, "requests that were refused after their admission, by reason");
    describe_gauge!(EVACUATED_ZONES, "availability zones that the operator evacuated");
    describe_counter!(
        COLD_REQUESTS,
        "requests for cold endpoints, by whether the share allowed them"
    );
    describe_counter!(ZONE_EXITS, "requests sent to other availability zones, by zone");
    describe_gauge!(
        ZONE_EXIT_SHARE,
        "fraction of requests that may leave a zone that expects to serve them"
    );
    describe_gauge!(
        ZONE_EXTRA_LATENCY,
        Unit::Seconds,
        "time by which requests begin later in another zone"
    );
    describe_histogram!(FIRST_BYTE, Unit::Seconds, "time to the first byte of an answer");
    describe_gauge!(IN_FLIGHT, "requests in progress");
    describe_gauge!(QUEUED, "requests that wait for an endpoint");
    describe_gauge!(MANIFEST, "revision of the manifest in force");
    describe_gauge!(VMS, "revision of the VM list in force");
    describe_gauge!(
        STORE_ERA,
        "era of the store, which rises when it comes back from an older copy"
    );
    describe_gauge!(CONFIG_VERSION, "version of the configuration in force");
    describe_gauge!(STORE_REVISION, "revision of the store up to which it is known");
    describe_counter!(REFUSED, "documents that were refused");
    describe_counter!(GOSSIP, "gossip calls, by result");
    describe_counter!(CHUNK_BYTES, Unit::Bytes, "bytes of chunks fetched, by source");
    describe_counter!(CHUNK_ERRORS, "fetches that failed, by error");
    describe_counter!(ORDERS, "orders to the engine");
    describe_counter!(AUDIT, "entries of the audit trail, by kind");
}
