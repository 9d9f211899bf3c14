//! The JSON-RPC interface of every process.

use audit::AuditPage;
use base::VmId;
use jsonrpsee::{core::RpcResult, proc_macros::rpc};

use crate::{
    Announcement, AttemptRef, CrashRecord, DocumentReply, DocumentRequest, EndpointState,
    ExecutionStatus, Gossip, Status, UsageUpdate,
};

/// Calls between processes, and from operators to processes.
#[rpc(client, server)]
pub trait Peer {
    /// Exchanges updates on members and document revisions.
    #[method(name = "gossip")]
    async fn gossip(&self, gossip: Gossip) -> RpcResult<Gossip>;

    /// Returns a document, or its changes, if it is newer than the sender's.
    #[method(name = "document")]
    async fn document(&self, request: DocumentRequest) -> RpcResult<DocumentReply>;

    /// Asks the receiver whether it can reach `vm`.
    #[method(name = "probe")]
    async fn probe(&self, vm: VmId) -> RpcResult<bool>;

    /// Tells a peer which chunks the sender can serve.
    #[method(name = "announce")]
    async fn announce(&self, announcement: Announcement) -> RpcResult<()>;

    /// Sends an entry a part of the sender's usage sums.
    #[method(name = "usage")]
    async fn usage(&self, news: UsageUpdate) -> RpcResult<()>;

    /// Returns the state of an agent's endpoint.
    #[method(name = "endpoint")]
    async fn endpoint(&self) -> RpcResult<EndpointState>;

    /// Cancels an attempt if it has not started; after `NotRun` it can never start.
    #[method(name = "cancel")]
    async fn cancel(&self, attempt: AttemptRef) -> RpcResult<ExecutionStatus>;

    /// Returns the execution status of an attempt.
    #[method(name = "fate")]
    async fn fate(&self, attempt: AttemptRef) -> RpcResult<ExecutionStatus>;

    /// Exchanges the newest crash records between entries.
    #[method(name = "crashes")]
    async fn crashes(&self, records: Vec<CrashRecord>) -> RpcResult<Vec<CrashRecord>>;

    /// Returns the state of the process, for operators.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Status>;

    /// Returns a page of the audit trail, for operators.
    #[method(name = "audit")]
    async fn audit(&self, from: u64) -> RpcResult<AuditPage>;
}
