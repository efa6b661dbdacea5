//! Choice of the version that serves a call, old or new, while a move is in progress.

use std::hash::Hasher;

use crate::catalogue::model::Move;
use crate::catalogue::model::Service;
use crate::membership::record::StableHasher;
use crate::snapshot::Endpoint;
use crate::snapshot::MoveView;
use crate::traffic::token_bucket::TokenBucket;
use crate::types::Millis;
use crate::types::RequestId;
use crate::types::VersionName;

/// Input of [`choose_version`].
#[derive(Clone, Copy, Debug)]
pub struct RouteInput<'a> {
    pub service: &'a Service,
    /// Move of the service that the catalogue declares, if any.
    pub declared_move: Option<&'a Move>,
    /// State of `declared_move` as this node knows it. With `None` the new version receives no
    /// calls.
    pub view: Option<&'a MoveView>,
    /// Whether this node has stopped the move's share on its own. Has no effect on a finished move,
    /// whose share is 1, because the service's owner may have shut down the old version.
    pub stopped: bool,
    /// Number of threads that divide `MoveView::max_calls_per_s` among them.
    pub threads: usize,
    pub request_id: &'a RequestId,
    /// Targets that may receive calls.
    pub ready: &'a [Endpoint],
}

/// Returns the version for a call; `None` when no permitted version has a ready target.
///
/// `bucket` belongs to the service's move and limits the new version to
/// `MoveView::max_calls_per_s`.
pub fn choose_version(
    input: RouteInput<'_>,
    bucket: &mut TokenBucket,
    now: Millis,
) -> Option<VersionName> {
    let has_ready_target =
        |version: &VersionName| input.ready.iter().any(|e| &e.version == version);
    let old_version = &input.service.version;
    let old_is_ready = has_ready_target(old_version);
    let active_move = input.declared_move.zip(input.view).filter(|(declared_move, view)| {
        let stopped = input.stopped && view.share < 1.0;
        !view.withdrawn && !stopped && view.share > 0.0 && has_ready_target(&declared_move.to)
    });
    if let Some((declared_move, view)) = active_move {
        let in_share = hash_fraction(input.request_id) < view.share;
        if (in_share || !old_is_ready) && try_take_rate(view, input.threads, bucket, now) {
            return Some(declared_move.to.clone());
        }
    }
    old_is_ready.then(|| old_version.clone())
}

fn try_take_rate(view: &MoveView, threads: usize, bucket: &mut TokenBucket, now: Millis) -> bool {
    let Some(rate) = view.max_calls_per_s else { return true };
    let rate = rate / threads.max(1) as f64;
    bucket.try_take(now, rate, rate.max(1.0))
}

/// Maps a request id to [0, 1), with the same result on every node.
pub fn hash_fraction(id: &RequestId) -> f64 {
    let mut hasher = StableHasher::default();
    hasher.write(id.0.as_bytes());
    // The upper 53 bits, which an `f64` represents exactly.
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
