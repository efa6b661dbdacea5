//! Stores the body of an upload as chunk objects, then its row.

use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use futures_util::StreamExt;
use futures_util::stream;
use futures_util::stream::LocalBoxStream;

use super::row::UploadMeta;
use super::row::UploadRow;
use super::row::chunk_name;
use super::upload_settings::UploadSettings;
use crate::platform::Platform;
use crate::platform::PlatformFuture;
use crate::platform::model::Condition;
use crate::platform::model::Conflict;
use crate::platform::model::Outcome;
use crate::platform::model::PlatformError;
use crate::platform::model::Put;
use crate::platform::model::PutOutcome;
use crate::platform::model::Transaction;
use crate::traffic::call::BodyTruncated;
use crate::traffic::call::CallBody;
use crate::types::Millis;
use crate::types::UnixMillis;

/// Pause between two attempts of a write to the platform.
const STORE_RETRY_PAUSE: Millis = Millis(100);

/// Reason why an upload was not stored. Except after [`StoreError::Unconfirmed`], the upload is
/// never delivered, because its row does not exist.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum StoreError {
    /// The request body from the caller ended early.
    #[display("{_0}")]
    Body(BodyTruncated),
    /// A chunk could not be written.
    #[display("{_0}")]
    Platform(PlatformError),
    /// The write of the row was not confirmed, so the upload may be stored and delivered.
    #[display("the write of the upload's row was not confirmed: {_0}")]
    Unconfirmed(PlatformError),
    /// Another body is stored under the upload's id.
    #[display("another upload has the same id")]
    IdTaken,
    /// The node already stores as many uploads as the settings allow.
    #[display("too many uploads are being stored")]
    Busy,
}

impl std::error::Error for StoreError {}

/// Stores the body as chunks, then the row. On success, the upload is durable and will be
/// delivered.
pub async fn store(
    platform: Rc<dyn Platform>,
    cfg: UploadSettings,
    meta: UploadMeta,
    body: CallBody,
) -> Result<UploadRow, StoreError> {
    let mut row = UploadRow { meta, chunks: 0, bytes: 0, unix_ms: UnixMillis::now() };
    let result = store_body(&platform, &cfg, &mut row, body).await;
    match result {
        Ok(()) => Ok(row),
        // The chunks must stay: the upload may still be delivered, or they belong to another
        // upload.
        Err(e @ (StoreError::Unconfirmed(_) | StoreError::IdTaken)) => Err(e),
        Err(e) => {
            delete_chunks(&platform, &row).await;
            Err(e)
        }
    }
}

/// Writes the chunks and the row, and counts the chunks and bytes in `row`.
async fn store_body(
    platform: &Rc<dyn Platform>,
    cfg: &UploadSettings,
    row: &mut UploadRow,
    body: CallBody,
) -> Result<(), StoreError> {
    let mut body = body_into_stream(body);
    let mut buf = BytesMut::new();
    while let Some(data) = body.next().await {
        let data = data.map_err(StoreError::Body)?;
        row.bytes += data.len() as u64;
        buf.extend_from_slice(&data);
        while buf.len() >= cfg.chunk_bytes {
            let chunk = buf.split_to(cfg.chunk_bytes).freeze();
            put_chunk(platform, cfg, row, chunk).await?;
        }
    }
    if !buf.is_empty() {
        put_chunk(platform, cfg, row, buf.freeze()).await?;
    }
    put_row(platform, cfg, row).await
}

/// Deletes the chunks of an upload without a row; chunks that cannot be deleted remain as garbage.
async fn delete_chunks(platform: &Rc<dyn Platform>, row: &UploadRow) {
    for n in 0..row.chunks {
        if platform.delete_object(&row.chunk_name(n)).await.is_err() {
            return;
        }
    }
}

fn body_into_stream(body: CallBody) -> LocalBoxStream<'static, Result<Bytes, BodyTruncated>> {
    match body {
        CallBody::Whole(bytes) => stream::iter([Ok(bytes)]).boxed_local(),
        CallBody::Stream(reader) => reader.boxed_local(),
    }
}

async fn put_chunk(
    platform: &Rc<dyn Platform>,
    cfg: &UploadSettings,
    row: &mut UploadRow,
    chunk: Bytes,
) -> Result<(), StoreError> {
    let name = chunk_name(&row.meta.id, row.chunks);
    // Storing the same bytes twice is harmless, so a write whose response was lost is retried.
    let outcome = retry_request(cfg, || platform.put_object(&name, chunk.clone())).await;
    let outcome = outcome.map_err(StoreError::Platform)?;
    if outcome == PutOutcome::Different {
        return Err(StoreError::IdTaken);
    }
    row.chunks += 1;
    Ok(())
}

async fn put_row(
    platform: &Rc<dyn Platform>,
    cfg: &UploadSettings,
    row: &UploadRow,
) -> Result<(), StoreError> {
    let key = row.meta.row_key();
    let transaction = Transaction {
        conditions: vec![Condition { key: key.as_str().into(), revision: None }],
        puts: vec![Put { key: key.as_str().into(), value: serde_json::json!(row) }],
        deletes: Vec::new(),
    };
    let outcome = retry_request(cfg, || platform.transact(transaction.clone())).await;
    match outcome.map_err(StoreError::Unconfirmed)? {
        Outcome::Committed => Ok(()),
        // The row exists when the response to an earlier attempt was lost, or when the caller
        // retries the upload because it did not receive the 202.
        Outcome::Conflicts(conflicts) if conflicts.iter().any(|c| is_same_upload(c, row)) => Ok(()),
        Outcome::Conflicts(_) => Err(StoreError::IdTaken),
    }
}

/// Whether the existing row is equal to `row`, apart from the time at which storing began.
fn is_same_upload(conflict: &Conflict, row: &UploadRow) -> bool {
    let existing_row =
        conflict.value.clone().and_then(|v| serde_json::from_value::<UploadRow>(v).ok());
    existing_row.is_some_and(|existing| UploadRow { unix_ms: row.unix_ms, ..existing } == *row)
}

/// Makes a request to the platform up to `store_attempts` times, until it succeeds.
async fn retry_request<T>(
    cfg: &UploadSettings,
    send_request: impl Fn() -> PlatformFuture<T>,
) -> Result<T, PlatformError> {
    let mut attempt_number = 1;
    loop {
        match send_request().await {
            Ok(value) => return Ok(value),
            Err(e) if attempt_number >= cfg.store_attempts => return Err(e),
            Err(_) => tokio::time::sleep(STORE_RETRY_PAUSE.to_duration()).await,
        }
        attempt_number += 1;
    }
}
