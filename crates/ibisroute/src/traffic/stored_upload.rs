//! Uploads that no target can take: stored first, delivered later.

use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::time::timeout_at;

use super::headers;
use super::refusal::Ran;
use super::refusal::Refusal;
use super::request;
use super::request::Source;
use super::retry::BodyState;
use super::worker::Worker;
use crate::catalogue::model::Class;
use crate::catalogue::model::Entry;
use crate::types::RequestId;
use crate::uploads::actor::STORED_UPLOAD_HEADER;
use crate::uploads::row::UploadMeta;
use crate::uploads::store::StoreError;

/// Answer to an upload that was stored.
#[derive(Serialize)]
struct StoredAnswer<'a> {
    outcome: &'static str,
    upload_id: &'a str,
}

/// Whether an upload that got `refusal` can be stored instead: it provably did not run, its body is
/// untouched, and it does not come from the store itself.
pub(super) fn can_store(
    req: &HttpRequest,
    entry: &Entry,
    source: &Source,
    refusal: &Refusal,
) -> bool {
    entry.class == Class::Upload
        && refusal.ran == Ran::NotRun
        && refusal.status == StatusCode::SERVICE_UNAVAILABLE
        && source.state() == BodyState::Whole
        && !req.headers().contains_key(STORED_UPLOAD_HEADER)
}

/// Stores an upload and answers 202 when it is durable. After a failure nothing was accepted.
pub(super) async fn store(
    worker: &Worker,
    (req, path, id): (&HttpRequest, &str, &RequestId),
    entry: &Entry,
    source: &Source,
    deadline: Instant,
) -> Result<HttpResponse, Refusal> {
    let meta = UploadMeta {
        id: id.clone(),
        entry: entry.name.clone(),
        method: SmolStr::new(req.method().as_str()),
        path: path.to_string(),
        headers: text_headers(req),
    };
    let (body, _copying) = source.open();
    let stored = timeout_at(deadline.into(), worker.shared.control.store_upload(meta, body)).await;
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let refusal = match stored {
        Ok(Ok(Ok(()))) => return Ok(accepted(id)),
        Ok(Ok(Err(e @ StoreError::Unconfirmed(_)))) => {
            Refusal::may_have_run(unavailable, "store", e.to_string())
        }
        Ok(Ok(Err(e))) => Refusal::not_run(unavailable, "store", e.to_string()),
        Ok(Err(e)) => Refusal::not_run(unavailable, "store", e.to_string()),
        // The store may still finish after the deadline and deliver the upload.
        Err(_) => Refusal::may_have_run(unavailable, "store", "not stored before the deadline"),
    };
    Err(source.overrun().unwrap_or(refusal))
}

fn accepted(id: &RequestId) -> HttpResponse {
    HttpResponse::Accepted()
        .insert_header((headers::REQUEST_ID, id.0.as_str()))
        .json(StoredAnswer { outcome: "stored", upload_id: id.0.as_str() })
}

fn text_headers(req: &HttpRequest) -> Vec<(SmolStr, String)> {
    let headers = request::end_to_end_headers(req).into_iter();
    headers.filter_map(|(name, value)| Some((name, String::from_utf8(value).ok()?))).collect()
}
