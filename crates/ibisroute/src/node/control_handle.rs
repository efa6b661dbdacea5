//! The channel from traffic threads and listeners to the control thread.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::telemetry::TrafficCounts;
use crate::traffic::call::CallBody;
use crate::types::InstanceId;
use crate::types::MoveId;
use crate::types::ServiceName;
use crate::types::VersionName;
use crate::uploads::row::UploadMeta;
use crate::uploads::store::StoreError;
use crate::wire::ClaimReply;
use crate::wire::ClaimWire;
use crate::wire::ControlReply;
use crate::wire::ControlRequest;
use crate::wire::RecordedResponse;

/// Work for the control thread.
#[derive(Debug)]
pub enum ControlWork {
    /// A control request from a peer.
    PeerRequest {
        request: ControlRequest,
        /// The receiving end is dropped when the peer disconnects.
        reply: oneshot::Sender<ControlReply>,
    },
    /// Claims the idempotency key of a request that must not run twice.
    Claim {
        claim: ClaimWire,
        /// Receives the outcome. A dropped sender counts as [`ClaimReply::Unavailable`].
        reply: oneshot::Sender<ClaimReply>,
    },
    /// Records the response to a claimed request.
    RecordResult { claim: ClaimWire, result: RecordedResponse },
    /// Releases the claim of a request that provably did not run.
    ReleaseClaim(ClaimWire),
    /// Stores an upload that no target can accept at present, for later delivery.
    StoreUpload {
        meta: UploadMeta,
        body: CallBody,
        /// Receives the outcome; `Ok` means that the upload is durable.
        reply: oneshot::Sender<Result<(), StoreError>>,
    },
    /// Counters of a traffic thread since its last report.
    Counts(TrafficCounts),
    /// A traffic thread detected consecutive failures of a move's new version and stopped sending
    /// calls to it.
    ConsecutiveFailures(MoveId),
    /// A target announces itself or renews its lease.
    Announce { target: TargetAnnouncement, reply: oneshot::Sender<AnnounceReply> },
    /// A target requests to leave.
    Leave {
        /// Incarnation of the target.
        instance: InstanceId,
        /// Receives whether the target still has calls in flight.
        reply: oneshot::Sender<LeaveReply>,
    },
    /// The dispatch thread found a target unreachable, or reachable again.
    TargetReachabilityChanged {
        /// Incarnation of the target.
        instance: InstanceId,
        /// Whether connections to the target succeed.
        reachable: bool,
    },
    /// A draining target has no calls in flight left.
    TargetIdle(InstanceId),
}

/// Body of `POST /targets/announce`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncement {
    pub service: ServiceName,
    pub version: VersionName,
    /// Incarnation of the target; a restarted target chooses another one.
    pub instance: InstanceId,
    /// Address of the target's HTTP server.
    pub address: SocketAddr,
    /// Number of calls that the target processes concurrently, at least 1.
    pub slots: u32,
    /// Number of connections that the target accepts, at least 1.
    pub connections: u32,
}

/// Response to `POST /targets/announce`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Time within which the target must announce itself again, in milliseconds.
    pub lease_ms: u64,
}

/// Reply to a target that requests to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveReply {
    /// The target receives no new calls, but still has calls in flight.
    Draining,
    /// The target has been removed: its calls have ended, or its drain timeout has expired.
    Removed,
    /// No target with this incarnation has announced itself to this node.
    Unknown,
}

/// Error of [`ControlHandle`]: the control thread has ended, so the work is not done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("the control thread has ended")]
pub struct ControlThreadEnded;

impl std::error::Error for ControlThreadEnded {}

/// Sends work to the control thread. Cheap to clone; never blocks.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    tx: mpsc::UnboundedSender<ControlWork>,
}

impl ControlHandle {
    /// Creates a handle, and the receiver from which the control thread takes the work.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<ControlWork>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self { tx }, rx)
    }

    /// Queues work for the control thread without waiting for its result.
    pub fn send(&self, work: ControlWork) -> Result<(), ControlThreadEnded> {
        self.tx.send(work).map_err(|_| ControlThreadEnded)
    }

    /// Forwards a control request from a peer and waits for the reply.
    pub async fn forward_peer_request(
        &self,
        request: ControlRequest,
    ) -> Result<ControlReply, ControlThreadEnded> {
        let (reply, rx) = oneshot::channel();
        self.send(ControlWork::PeerRequest { request, reply })?;
        rx.await.map_err(|_| ControlThreadEnded)
    }

    /// Stores an upload and waits until it is durable.
    pub async fn store_upload(
        &self,
        meta: UploadMeta,
        body: CallBody,
    ) -> Result<Result<(), StoreError>, ControlThreadEnded> {
        let (reply, rx) = oneshot::channel();
        self.send(ControlWork::StoreUpload { meta, body, reply })?;
        rx.await.map_err(|_| ControlThreadEnded)
    }

    /// Claims an idempotency key and waits for the outcome.
    pub async fn claim(&self, claim: ClaimWire) -> Result<ClaimReply, ControlThreadEnded> {
        let (reply, rx) = oneshot::channel();
        self.send(ControlWork::Claim { claim, reply })?;
        rx.await.map_err(|_| ControlThreadEnded)
    }
}
