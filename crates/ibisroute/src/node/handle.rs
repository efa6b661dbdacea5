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
    /// A control request of a peer.
    Peer {
        /// The request.
        request: ControlRequest,
        /// Takes the reply; dropped when the peer went away.
        reply: oneshot::Sender<ControlReply>,
    },
    /// Claims the key of a request that may not be repeated.
    Claim {
        /// The claim.
        claim: ClaimWire,
        /// Takes the outcome. A dropped sender counts as [`ClaimReply::Unavailable`].
        reply: oneshot::Sender<ClaimReply>,
    },
    /// Records the answer to a claimed request.
    RecordResult {
        /// The claim.
        claim: ClaimWire,
        /// The answer.
        result: RecordedResponse,
    },
    /// Releases the claim of a request that provably did not run.
    ReleaseClaim(ClaimWire),
    /// Stores an upload that no target can take.
    StoreUpload {
        /// The upload.
        meta: UploadMeta,
        /// Its body.
        body: CallBody,
        /// Takes the outcome; `Ok` means that the upload is durable.
        reply: oneshot::Sender<Result<(), StoreError>>,
    },
    /// What a traffic thread counted since its last report.
    Counts(TrafficCounts),
    /// A traffic thread saw a run of failures of a move's new version and stopped its own share.
    FailureRun(MoveId),
    /// A target announces itself or renews its lease.
    Announce {
        /// The announcement.
        target: TargetAnnouncement,
        /// Takes the answer.
        reply: oneshot::Sender<AnnounceReply>,
    },
    /// A target leaves.
    Leave {
        /// The run of the target.
        instance: InstanceId,
        /// Takes how far the leave is.
        reply: oneshot::Sender<LeaveReply>,
    },
    /// The dispatch thread found a target unreachable, or reachable again.
    TargetReachable {
        /// The run of the target.
        instance: InstanceId,
        /// Whether connections succeed.
        reachable: bool,
    },
    /// A target that was told to drain has no calls in flight left.
    TargetIdle(InstanceId),
}

/// A target's announcement, as it arrives over HTTP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncement {
    /// Service.
    pub service: ServiceName,
    /// Version.
    pub version: VersionName,
    /// Run of the target; a restarted target chooses another.
    pub instance: InstanceId,
    /// Where the target serves HTTP.
    pub address: SocketAddr,
    /// Calls that it runs at a time, at least 1.
    pub slots: u32,
    /// Connections that it accepts, at least 1.
    pub connections: u32,
}

/// Answer to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// The target must announce itself again within this time.
    pub lease_ms: u64,
}

/// How far the leave of a target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveReply {
    /// It gets no new calls; calls are in flight.
    Draining,
    /// Its calls have ended.
    Gone,
    /// No such target has announced itself to this node.
    Unknown,
}

/// The control thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("the control thread has ended")]
pub struct ControlEnded;

impl std::error::Error for ControlEnded {}

/// Sends work to the control thread; cheap to clone, never blocks.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    tx: mpsc::UnboundedSender<ControlWork>,
}

impl ControlHandle {
    /// Makes a handle and the receiving end for the control thread.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<ControlWork>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self { tx }, rx)
    }

    /// Sends work.
    pub fn send(&self, work: ControlWork) -> Result<(), ControlEnded> {
        self.tx.send(work).map_err(|_| ControlEnded)
    }

    /// Sends a control request of a peer and waits for the reply.
    pub async fn peer(&self, request: ControlRequest) -> Result<ControlReply, ControlEnded> {
        let (reply, rx) = oneshot::channel();
        self.send(ControlWork::Peer { request, reply })?;
        rx.await.map_err(|_| ControlEnded)
    }

    /// Stores an upload and waits until it is durable.
    pub async fn store_upload(
        &self,
        meta: UploadMeta,
        body: CallBody,
    ) -> Result<Result<(), StoreError>, ControlEnded> {
        let (reply, rx) = oneshot::channel();
        self.send(ControlWork::StoreUpload { meta, body, reply })?;
        rx.await.map_err(|_| ControlEnded)
    }

    /// Claims a key and waits for the outcome.
    pub async fn claim(&self, claim: ClaimWire) -> Result<ClaimReply, ControlEnded> {
        let (reply, rx) = oneshot::channel();
        self.send(ControlWork::Claim { claim, reply })?;
        rx.await.map_err(|_| ControlEnded)
    }
}
