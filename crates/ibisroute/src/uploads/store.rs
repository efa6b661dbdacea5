//! Stores the body of an upload as chunk objects, then its row.

use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use futures_util::StreamExt;
use futures_util::stream;
use futures_util::stream::LocalBoxStream;
use smol_str::SmolStr;

use super::row::UploadMeta;
use super::row::UploadRow;
use super::upload_settings::UploadSettings;
use crate::platform::Platform;
use crate::platform::PlatformFuture;
use crate::platform::model::Condition;
use crate::platform::model::Outcome;
use crate::platform::model::PlatformError;
use crate::platform::model::Put;
use crate::platform::model::PutOutcome;
use crate::platform::model::Transaction;
use crate::traffic::call::BodyTruncated;
use crate::traffic::call::CallBody;
use crate::types::Digest;
use crate::types::Millis;
use crate::types::UnixMillis;

/// Pause between two attempts of a write to the platform.
pub const STORE_RETRY_PAUSE: Millis = Millis(100);

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
    let attempt = SmolStr::new(format!("{:016x}", rand::random::<u64>()));
    let unix_ms = UnixMillis::now();
    let mut row = UploadRow { meta, chunks: 0, bytes: 0, unix_ms, attempt, digest: None };
    let result = store_body(&platform, &cfg, &mut row, body).await;
    // After an unconfirmed write, the upload may still be delivered.
    if !matches!(result, Ok(RowOwner::Own) | Err(StoreError::Unconfirmed(_))) {
        delete_chunks(&platform, &row).await;
    }
    result.map(|_| row)
}

/// Attempt whose chunks the row of a stored upload names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowOwner {
    Own,
    /// Another attempt stored the same upload, or it is delivered already.
    Other,
}

/// Writes the chunks and the row, and counts the chunks and bytes in `row`.
async fn store_body(
    platform: &Rc<dyn Platform>,
    cfg: &UploadSettings,
    row: &mut UploadRow,
    body: CallBody,
) -> Result<RowOwner, StoreError> {
    let mut body = body_into_stream(body);
    let mut buf = BytesMut::new();
    let mut chunk_digests = String::new();
    while let Some(data) = body.next().await {
        let data = data.map_err(StoreError::Body)?;
        row.bytes += data.len() as u64;
        buf.extend_from_slice(&data);
        while buf.len() >= cfg.chunk_bytes {
            let chunk = buf.split_to(cfg.chunk_bytes).freeze();
            chunk_digests.push_str(&Digest::of(&chunk).to_string());
            put_chunk(platform, cfg, row, chunk).await?;
        }
    }
    if !buf.is_empty() {
        chunk_digests.push_str(&Digest::of(&buf).to_string());
        put_chunk(platform, cfg, row, buf.freeze()).await?;
    }
    row.digest = Some(Digest::of(chunk_digests.as_bytes()));
    put_row(platform, cfg, row).await
}

/// Deletes the chunks of an attempt without a row; chunks that cannot be deleted remain as garbage.
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
    let name = row.chunk_name(row.chunks);
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
) -> Result<RowOwner, StoreError> {
    let key = SmolStr::new(row.meta.row_key());
    let absent = |key: SmolStr| Condition { key, revision: None };
    let transaction = Transaction {
        conditions: vec![absent(key.clone()), absent(row.meta.delivered_key().into())],
        puts: vec![Put { key: key.clone(), value: serde_json::json!(row) }],
        deletes: Vec::new(),
    };
    let outcome = retry_request(cfg, || platform.transact(transaction.clone())).await;
    let conflicts = match outcome.map_err(StoreError::Unconfirmed)? {
        Outcome::Committed => return Ok(RowOwner::Own),
        Outcome::Conflicts(conflicts) => conflicts,
    };
    // One of the rows exists when the response to an earlier attempt was lost, or when the caller
    // retries the upload because it did not receive the 202.
    let existing_rows = conflicts
        .into_iter()
        .filter_map(|c| Some((c.key, serde_json::from_value::<UploadRow>(c.value?).ok()?)));
    let same_upload = existing_rows.into_iter().find(|(_, existing)| existing.is_same_upload(row));
    match same_upload {
        Some((k, existing)) if k == key && existing.attempt == row.attempt => Ok(RowOwner::Own),
        Some(_) => Ok(RowOwner::Other),
        None => Err(StoreError::IdTaken),
    }
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
