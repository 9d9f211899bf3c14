//! The JSON-RPC interface of every process.

use audit::AuditPage;
use base::VmId;
use jsonrpsee::{core::RpcResult, proc_macros::rpc};

use crate::{
    Announcement, AttemptRef, CrashRecord, DocumentReply, DocumentRequest, EndpointState, Fate,
    Gossip, Status, UsageNews,
};

/// Calls that processes make to each other, and operators to processes.
#[rpc(client, server)]
pub trait Peer {
    /// Exchanges news about members and revisions.
    #[method(name = "gossip")]
    async fn gossip(&self, gossip: Gossip) -> RpcResult<Gossip>;

    /// Gives a document that is newer than the one the sender has.
    #[method(name = "document")]
    async fn document(&self, request: DocumentRequest) -> RpcResult<DocumentReply>;

    /// Asks whether the sender's peer `vm` answers the receiver.
    #[method(name = "probe")]
    async fn probe(&self, vm: VmId) -> RpcResult<bool>;

    /// Tells a peer which chunks the sender can give.
    #[method(name = "announce")]
    async fn announce(&self, announcement: Announcement) -> RpcResult<()>;

    /// Gives an entry a part of the sender's sums of usage.
    #[method(name = "usage")]
    async fn usage(&self, news: UsageNews) -> RpcResult<()>;

    /// Asks an agent about its endpoint.
    #[method(name = "endpoint")]
    async fn endpoint(&self) -> RpcResult<EndpointState>;

    /// Makes an attempt final: after `NotRun` it can never start.
    #[method(name = "cancel")]
    async fn cancel(&self, attempt: AttemptRef) -> RpcResult<Fate>;

    /// Asks what became of an attempt.
    #[method(name = "fate")]
    async fn fate(&self, attempt: AttemptRef) -> RpcResult<Fate>;

    /// Exchanges the newest crash records between entries.
    #[method(name = "crashes")]
    async fn crashes(&self, records: Vec<CrashRecord>) -> RpcResult<Vec<CrashRecord>>;

    /// The state of the process, for operators.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Status>;

    /// A part of the audit trail, for operators.
    #[method(name = "audit")]
    async fn audit(&self, from: u64) -> RpcResult<AuditPage>;
}
