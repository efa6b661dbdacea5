//! Choice of the target version of a call.

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

/// What the choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct RouteInput<'a> {
    /// The service.
    pub service: &'a Service,
    /// Its declared move, if any.
    pub declared: Option<&'a Move>,
    /// State of that move; without one the new version gets no calls.
    pub view: Option<&'a MoveView>,
    /// Whether this node stopped the move's share by itself. It has no effect on a finished move,
    /// whose share is 1: the owner may have stopped the old version.
    pub stopped: bool,
    /// Threads that share `MoveView::max_rate`.
    pub threads: usize,
    /// Identity of the call.
    pub request_id: &'a RequestId,
    /// Targets that may get calls.
    pub ready: &'a [Endpoint],
}

/// The version for a call; `None` when no permitted version has a ready target.
///
/// The bucket belongs to the service's move and holds it to `MoveView::max_rate`.
pub fn choose_version(
    input: RouteInput<'_>,
    bucket: &mut TokenBucket,
    now: Millis,
) -> Option<VersionName> {
    let has_ready = |version: &VersionName| input.ready.iter().any(|e| &e.version == version);
    let old = &input.service.version;
    let old_ready = has_ready(old);
    let new = input.declared.zip(input.view).filter(|(declared, view)| {
        let stopped = input.stopped && view.share < 1.0;
        !view.withdrawn && !stopped && view.share > 0.0 && has_ready(&declared.to)
    });
    if let Some((declared, view)) = new {
        let selected = hash_fraction(input.request_id) < view.share;
        if (selected || !old_ready) && take_rate(view, input.threads, bucket, now) {
            return Some(declared.to.clone());
        }
    }
    old_ready.then(|| old.clone())
}

fn take_rate(view: &MoveView, threads: usize, bucket: &mut TokenBucket, now: Millis) -> bool {
    let Some(rate) = view.max_rate else { return true };
    let rate = rate / threads.max(1) as f64;
    bucket.take(now, rate, rate.max(1.0))
}

/// Maps a request id to [0, 1), equal on every node.
pub fn hash_fraction(id: &RequestId) -> f64 {
    let mut hasher = StableHasher::default();
    hasher.write(id.0.as_bytes());
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
