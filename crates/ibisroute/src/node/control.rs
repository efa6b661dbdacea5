//! Forwards work from the traffic threads and listeners to the actors that handle it.

use actix::Addr;
use actix::Recipient;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::control_handle::ControlWork;
use super::messages::CountsCollected;
use super::targets::AnnounceTarget;
use super::targets::DispatchTargetEvent;
use super::targets::DrainTarget;
use super::targets::TargetsActor;
use crate::claims::actor::Claim;
use crate::claims::actor::ClaimOrigin;
use crate::claims::actor::ClaimsActor;
use crate::claims::actor::RecordResult;
use crate::claims::actor::ReleaseClaim;
use crate::distribution::actor::DistributionActor;
use crate::distribution::actor::ServeCatalogue;
use crate::distribution::actor::ServeHead;
use crate::membership::actor::MembershipActor;
use crate::membership::actor::ServeJoin;
use crate::membership::target::TargetEvent;
use crate::moves::actor::ConsecutiveFailuresDetected;
use crate::moves::actor::MovesActor;
use crate::moves::actor::MovesRequest;
use crate::uploads::actor::StoreUpload;
use crate::uploads::actor::UploadsActor;
use crate::wire::ClaimReply;
use crate::wire::ClaimWire;
use crate::wire::ControlReply;
use crate::wire::ControlRequest;

/// Addresses of the actors that run on the control thread.
#[derive(Clone)]
pub struct ControlActors {
    pub membership: Addr<MembershipActor>,
    pub distribution: Addr<DistributionActor>,
    pub moves: Addr<MovesActor>,
    pub claims: Addr<ClaimsActor>,
    pub uploads: Addr<UploadsActor>,
    /// Life cycle of the targets on this host.
    pub targets: Addr<TargetsActor>,
    /// Actors that receive the counters of the traffic threads.
    pub count_subscribers: Vec<Recipient<CountsCollected>>,
}

impl ControlActors {
    /// Forwards work until every sender of the channel is dropped.
    pub async fn run(self, mut rx: mpsc::UnboundedReceiver<ControlWork>) {
        while let Some(work) = rx.recv().await {
            self.dispatch_work(work);
        }
    }

    fn dispatch_work(&self, work: ControlWork) {
        match work {
            ControlWork::PeerRequest { request, reply } => self.handle_peer_request(request, reply),
            ControlWork::Claim { claim, reply } => {
                self.claims.do_send(Claim { claim, origin: ClaimOrigin::Local, reply_tx: reply });
            }
            ControlWork::RecordResult { claim, result } => {
                self.claims.do_send(RecordResult { claim, origin: ClaimOrigin::Local, result });
            }
            ControlWork::ReleaseClaim(claim) => {
                self.claims.do_send(ReleaseClaim { claim, origin: ClaimOrigin::Local });
            }
            ControlWork::Counts(counts) => {
                let counts = CountsCollected(std::sync::Arc::new(counts));
                self.count_subscribers.iter().for_each(|actor| actor.do_send(counts.clone()));
            }
            ControlWork::ConsecutiveFailures(id) => {
                self.moves.do_send(ConsecutiveFailuresDetected(id))
            }
            ControlWork::Announce { target, reply } => {
                self.targets.do_send(AnnounceTarget { target, reply });
            }
            ControlWork::Leave { instance, reply } => {
                self.targets.do_send(DrainTarget { instance, reply });
            }
            ControlWork::TargetReachabilityChanged { instance, reachable } => {
                self.targets
                    .do_send(DispatchTargetEvent(TargetEvent::Reachable { instance, reachable }));
            }
            ControlWork::TargetIdle(instance) => {
                self.targets.do_send(DispatchTargetEvent(TargetEvent::Idle(instance)));
            }
            ControlWork::StoreUpload { meta, body, reply } => {
                self.uploads.do_send(StoreUpload { meta, body, reply_tx: reply });
            }
        }
    }

    fn handle_peer_request(&self, request: ControlRequest, reply: oneshot::Sender<ControlReply>) {
        match request {
            ControlRequest::Join(record) => {
                forward_reply(self.membership.send(ServeJoin(record)), reply);
            }
            ControlRequest::FetchCatalogue { have, want } => {
                forward_reply(self.distribution.send(ServeCatalogue { have, want }), reply);
            }
            ControlRequest::FetchHead => forward_reply(self.distribution.send(ServeHead), reply),
            ControlRequest::FetchMoves | ControlRequest::Evidence(_) => {
                forward_reply(self.moves.send(MovesRequest(request)), reply);
            }
            ControlRequest::Claim(claim) => self.handle_peer_claim(claim, reply),
            ControlRequest::RecordResult { claim, result } => {
                self.claims.do_send(RecordResult { claim, origin: ClaimOrigin::Peer, result });
                let _ = reply.send(ControlReply::Done);
            }
            ControlRequest::ReleaseClaim(claim) => {
                self.claims.do_send(ReleaseClaim { claim, origin: ClaimOrigin::Peer });
                let _ = reply.send(ControlReply::Done);
            }
        }
    }

    fn handle_peer_claim(&self, claim: ClaimWire, reply: oneshot::Sender<ControlReply>) {
        let (tx, rx) = oneshot::channel();
        self.claims.do_send(Claim {
            claim: claim.clone(),
            origin: ClaimOrigin::Peer,
            reply_tx: tx,
        });
        let claims = self.claims.clone();
        actix::spawn(async move {
            let Ok(outcome) = rx.await else { return };
            let granted = outcome == ClaimReply::Granted;
            if reply.send(ControlReply::Claim(outcome)).is_err() && granted {
                // The peer disconnected before it received the grant, so the request has not run.
                claims.do_send(ReleaseClaim { claim, origin: ClaimOrigin::Peer });
            }
        });
    }
}

/// Sends the reply of an actor to the peer, when it arrives. Does nothing if the peer has
/// disconnected or the actor has ended.
fn forward_reply<F>(pending_reply: F, reply: oneshot::Sender<ControlReply>)
where
    F: Future<Output = Result<ControlReply, actix::MailboxError>> + 'static,
{
    actix::spawn(async move {
        if let Ok(actor_reply) = pending_reply.await {
            let _ = reply.send(actor_reply);
        }
    });
}
