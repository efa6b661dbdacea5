//! Rows of stored uploads.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::types::EntryName;
use crate::types::RequestId;
use crate::types::UnixMillis;

/// Prefix of the keys of upload rows and of the names of chunk objects.
pub const UPLOAD_PREFIX: &str = "upload/";

/// Data other than the body that is needed to deliver an upload to a target later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UploadMeta {
    /// Request id of the call; identifies the upload and is sent to the target on delivery.
    pub id: RequestId,
    pub entry: EntryName,
    pub method: SmolStr,
    /// Path and query.
    pub path: String,
    /// End-to-end headers; those whose values are not UTF-8 are left out.
    pub headers: Vec<(SmolStr, String)>,
}

impl UploadMeta {
    /// Returns the key of the upload's row.
    pub fn row_key(&self) -> String {
        format!("{UPLOAD_PREFIX}{}", self.id)
    }
}

/// Value of an upload row. The row exists from the acceptance of the upload until its delivery.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UploadRow {
    pub meta: UploadMeta,
    /// Number of chunk objects.
    pub chunks: u32,
    /// Length of the body in bytes.
    pub bytes: u64,
    /// Wall-clock time at which the node began to store the upload.
    pub unix_ms: UnixMillis,
}

impl UploadRow {
    /// Returns the name of chunk object `n`.
    pub fn chunk_name(&self, n: u32) -> String {
        chunk_name(&self.meta.id, n)
    }
}

/// Returns the name of chunk object `n` of an upload.
pub fn chunk_name(id: &RequestId, n: u32) -> String {
    format!("{UPLOAD_PREFIX}{id}/{n}")
}
