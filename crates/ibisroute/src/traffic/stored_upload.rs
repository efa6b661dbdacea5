//! Uploads that no target can accept: stored before the caller gets a response, delivered later.

use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::time::timeout_at;

use super::headers;
use super::refusal::Execution;
use super::refusal::Refusal;
use super::request;
use super::request::RequestBody;
use super::retry::BodyState;
use super::worker::Worker;
use crate::catalogue::model::Class;
use crate::catalogue::model::Entry;
use crate::types::RequestId;
use crate::uploads::actor::STORED_UPLOAD_HEADER;
use crate::uploads::row::UploadMeta;
use crate::uploads::store::StoreError;

/// Body of the 202 response to a stored upload.
#[derive(Serialize)]
struct StoredResponse<'a> {
    outcome: &'static str,
    upload_id: &'a str,
}

/// Whether a call with this refusal can be stored instead: it is an upload that provably did not
/// run, its body has not been read, and it is not itself a delivery of a stored upload.
pub(super) fn can_store(
    req: &HttpRequest,
    entry: &Entry,
    request_body: &RequestBody,
    refusal: &Refusal,
) -> bool {
    entry.class == Class::Upload
        && refusal.execution == Execution::NotRun
        && refusal.status == StatusCode::SERVICE_UNAVAILABLE
        && request_body.body_state() == BodyState::Replayable
        && !req.headers().contains_key(STORED_UPLOAD_HEADER)
}

/// Stores an upload and returns the 202 response once it is durable. After a refusal as "may have
/// run" the upload may still be delivered, after one as "not run" it is not.
pub(super) async fn store(
    worker: &Worker,
    (req, path, id): (&HttpRequest, &str, &RequestId),
    entry: &Entry,
    request_body: &RequestBody,
    deadline: Instant,
) -> Result<HttpResponse, Refusal> {
    let meta = UploadMeta {
        id: id.clone(),
        entry: entry.name.clone(),
        method: SmolStr::new(req.method().as_str()),
        path: path.to_string(),
        headers: utf8_headers(req),
    };
    let (body, _copy_task) = request_body.body_for_attempt();
    let store_result =
        timeout_at(deadline.into(), worker.shared.control.store_upload(meta, body)).await;
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let refusal = match store_result {
        Ok(Ok(Ok(()))) => return Ok(accepted_response(id)),
        Ok(Ok(Err(e @ StoreError::Unconfirmed(_)))) => {
            Refusal::may_have_run(status, "store", e.to_string())
        }
        Ok(Ok(Err(e))) => Refusal::not_run(status, "store", e.to_string()),
        Ok(Err(e)) => Refusal::not_run(status, "store", e.to_string()),
        // The store may still finish after the deadline and deliver the upload.
        Err(_) => Refusal::may_have_run(status, "store", "not stored before the deadline"),
    };
    Err(request_body.too_large_refusal().unwrap_or(refusal))
}

fn accepted_response(id: &RequestId) -> HttpResponse {
    HttpResponse::Accepted()
        .insert_header((headers::REQUEST_ID, id.0.as_str()))
        .json(StoredResponse { outcome: "stored", upload_id: id.0.as_str() })
}

/// Returns the end-to-end headers whose values are UTF-8; a row cannot hold others.
fn utf8_headers(req: &HttpRequest) -> Vec<(SmolStr, String)> {
    let headers = request::end_to_end_headers(req).into_iter();
    headers.filter_map(|(name, value)| Some((name, String::from_utf8(value).ok()?))).collect()
}
