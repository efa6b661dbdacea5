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
    pub move_view: Option<&'a MoveView>,
    /// Whether this node has stopped the move's share on its own. Has no effect on a finished move,
    /// whose share is 1, because the service's owner may have shut down the old version.
    pub share_stopped: bool,
    /// Number of threads that divide `MoveView::max_calls_per_s` among them.
    pub threads: usize,
    pub request_id: &'a RequestId,
    /// Targets that may receive calls.
    pub ready_targets: &'a [Endpoint],
}

/// Returns the version for a call; `None` when no permitted version has a ready target.
///
/// `rate_bucket` belongs to the service's move and limits the new version to
/// `MoveView::max_calls_per_s`.
pub fn choose_version(
    input: RouteInput<'_>,
    rate_bucket: &mut TokenBucket,
    now: Millis,
) -> Option<VersionName> {
    let has_ready_target =
        |version: &VersionName| input.ready_targets.iter().any(|e| &e.version == version);
    let old_version = &input.service.version;
    let old_version_ready = has_ready_target(old_version);
    let active_move = input.declared_move.zip(input.move_view).filter(|(declared_move, view)| {
        let share_stopped = input.share_stopped && view.share < 1.0;
        !view.withdrawn && !share_stopped && view.share > 0.0 && has_ready_target(&declared_move.to)
    });
    if let Some((declared_move, view)) = active_move {
        let in_new_version_share = hash_fraction(input.request_id) < view.share;
        if (in_new_version_share || !old_version_ready)
            && try_take_token(view, input.threads, rate_bucket, now)
        {
            return Some(declared_move.to.clone());
        }
    }
    old_version_ready.then(|| old_version.clone())
}

fn try_take_token(
    view: &MoveView,
    threads: usize,
    rate_bucket: &mut TokenBucket,
    now: Millis,
) -> bool {
    let Some(rate_per_s) = view.max_calls_per_s else { return true };
    let rate_per_s = rate_per_s / threads.max(1) as f64;
    rate_bucket.try_take(now, rate_per_s, rate_per_s.max(1.0))
}

/// Maps a request id to [0, 1), with the same result on every node.
pub fn hash_fraction(id: &RequestId) -> f64 {
    let mut hasher = StableHasher::default();
    hasher.write(id.0.as_bytes());
    // The upper 53 bits, which an `f64` represents exactly.
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
